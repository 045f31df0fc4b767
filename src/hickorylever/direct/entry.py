"""Command-line entry point of the direct router, with few imports for a fast start."""

import argparse
import socket
import sys

import curio

from .. import events, platform
from ..exceptions import SettingsError
from . import process

EXIT_USAGE = 2
MAX_LOG_LINES_PER_SECOND = 60  # Per second and kind of event.


def run(arguments: argparse.Namespace, listener: socket.socket | None = None) -> None:
    """Run a direct router until SIGTERM.

    :param listener: socket that already listens for callers.
    :raises SettingsError: if the settings are not valid.
    """
    settings = platform.load(arguments.settings)
    events.configure_rate_limited(arguments.log_level, MAX_LOG_LINES_PER_SECOND)
    curio.run(process.main, settings, platform, platform.Store, listener)


def main(argv: list[str] | None = None, listener: socket.socket | None = None) -> int:
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m hickorylever.direct",
        description="Run a router that forwards directly to endpoints.",
    )
    parser.add_argument("--settings", default=None, metavar="FILE", help="TOML settings file")
    parser.add_argument("--log-level", default="info", help="debug, info, warning or error")
    try:
        run(parser.parse_args(argv), listener)
    except SettingsError as error:
        print(f"hickorylever: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0
