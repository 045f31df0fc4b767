"""Entry point of a router on the users' platform; imports little, so that it starts soon."""

import argparse
import socket
import sys

import curio

from .. import events, platform
from ..exceptions import SettingsError
from . import process

EXIT_USAGE = 2
LOG_RATE = 60  # Lines a second of each kind of event.


def run(arguments: argparse.Namespace, listener: socket.socket | None = None) -> None:
    """Run a router that forwards to endpoints itself, until SIGTERM.

    :param listener: a socket that listens for callers already.
    """
    settings = platform.load(arguments.settings)
    events.configure_rate_limited(arguments.log_level, LOG_RATE)
    curio.run(process.main, settings, platform, platform.Store, listener)


def main(argv: list[str] | None = None, listener: socket.socket | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m hickorylever.direct", description="Run a router on the users' platform."
    )
    parser.add_argument("--settings", default=None, metavar="FILE", help="TOML settings file")
    parser.add_argument("--log-level", default="info", help="debug, info, warning or error")
    try:
        run(parser.parse_args(argv), listener)
    except SettingsError as error:
        print(f"hickorylever: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0
