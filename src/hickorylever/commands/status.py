"""The command that tells the state of the fleet, one section a part."""

import argparse
from collections.abc import Awaitable, Callable

import curio

from ..registry import Registry
from . import add_platform, command, make_platform

Section = Callable[[argparse.Namespace, object], Awaitable[list[str]]]
sections: Registry[Section] = Registry("status section")


def add_status(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_platform(parser)
    parser.add_argument(
        "--unresolved", action="store_true", help="only guarded requests with an unknown end"
    )


@command("status", "show the state of the fleet", add_status)
def run_status(arguments: argparse.Namespace) -> None:
    """Print every section, or one."""

    async def run() -> None:
        platform = make_platform(arguments.platform)
        names = ["unresolved"] if arguments.unresolved else list(sections)
        for name in names:
            print("\n".join(await sections[name](arguments, platform)))

    curio.run(run)
