"""The subcommands; importing the modules at the end registers them."""

import argparse
from collections.abc import Callable

from .. import defaults
from ..exceptions import SettingsError
from ..registry import Registry

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_LAGGING = 5

Command = Callable[[argparse.Namespace], int | None]
commands: Registry[tuple[str, Callable, Command]] = Registry("command")


def command(name: str, summary: str, arguments: Callable = lambda parser: None):
    """Return a decorator that registers a function as a subcommand.

    The function returns the exit code, or None for 0.

    :param summary: help text.
    :param arguments: function that adds the subcommand's arguments to its parser.
    """

    def decorate(run: Command) -> Command:
        commands.register(name)((summary, arguments, run))
        return run

    return decorate


def add_directory(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the fleet directory."""
    parser.add_argument("directory", help="fleet directory with the inventory and rules.toml")


def add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the option for the address of the object API."""
    parser.add_argument(
        "--platform",
        default=f"127.0.0.1:{defaults.OBJECT_API_PORT}",
        metavar="ADDRESS:PORT",
        help="address of the object API (default: %(default)s)",
    )


def add_admin_port(parser: argparse.ArgumentParser) -> None:
    """Add the option for the port on which nodes are queried for their state."""
    parser.add_argument(
        "--admin-port",
        type=int,
        default=defaults.ADMIN_PORT,
        metavar="PORT",
        help="port of the admin listener, the same on every node (default: %(default)s)",
    )


def make_object_client(text: str):
    """Return a client of the object API at ``address:port``.

    :raises SettingsError: if the text is malformed.
    """
    from ..addresses import split_address
    from ..http import Client
    from ..metrics import Metrics
    from ..objects import ObjectClient

    try:
        address, port = split_address(text)
    except ValueError as error:
        raise SettingsError([f"--platform: {error}"]) from None
    return ObjectClient(address, port, Client(), Metrics())


from . import (  # noqa: E402
    audit,  # noqa: F401
    bench,  # noqa: F401
    claims,  # noqa: F401
    configuration,  # noqa: F401
    demo,  # noqa: F401
    explain,  # noqa: F401
    roles,  # noqa: F401
    soak,  # noqa: F401
    status,  # noqa: F401
    trace,  # noqa: F401
    where,  # noqa: F401
)
