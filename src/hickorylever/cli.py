"""The command line interface."""

import argparse
import sys

from . import defaults
from .commands import EXIT_FAILED, EXIT_USAGE, commands
from .exceptions import HickoryleverError, SettingsError


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="hickorylever",
        description="A router fleet for model engines and plain services.",
        epilog="exit codes: 0 done, 1 failed or not accepted, 2 wrong usage, settings or fleet "
        "directory, 3 another change was accepted first, 4 not known whether accepted, "
        "5 accepted but not yet in force everywhere",
    )
    parser.add_argument("--version", action="version", version=f"hickorylever {defaults.VERSION}")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in commands:
        summary, arguments, run = commands[name]
        subparser = subparsers.add_parser(name, help=summary, description=summary)
        arguments(subparser)
        subparser.set_defaults(run=run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.run(arguments) or 0
    except SettingsError as error:
        for fault in error.faults:
            print(f"hickorylever: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except HickoryleverError as error:
        print(f"hickorylever: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED
