"""The ``status`` command, which prints the state of the fleet in registered sections."""

import argparse
import sys
from collections.abc import Awaitable, Callable

import curio

from ..exceptions import HickoryleverError
from ..registry import Registry
from . import EXIT_FAILED, add_admin_port, add_platform, command, make_object_client

Section = Callable[[argparse.Namespace, object], Awaitable[list[str]]]
sections: Registry[Section] = Registry("status section")


def add_status(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_platform(parser)
    add_admin_port(parser)
    parser.add_argument(
        "--fleet", metavar="DIR", help="fleet directory to use if the object API is not available"
    )
    parser.add_argument("--section", metavar="NAME", help="print only this section")
    parser.add_argument(
        "--unresolved",
        action="store_const",
        const="unresolved",
        dest="section",
        help="print only guarded requests with an unknown outcome",
    )


@command(
    "status", "show the configuration in force on each node, and unresolved requests", add_status
)
def status(arguments: argparse.Namespace) -> int:
    """Print all sections, or the requested one, and return the exit code."""
    return curio.run(print_sections, arguments)


async def print_sections(arguments: argparse.Namespace) -> int:
    """Print the sections and return the exit code; a section that fails does not stop others."""
    platform = make_object_client(arguments.platform)
    exit_code = 0
    for name in [arguments.section] if arguments.section else list(sections):
        print(f"{name}:")
        try:
            for line in await sections[name](arguments, platform):
                print(f"  {line}")
        except HickoryleverError as error:
            print(f"  not known: {error}", file=sys.stderr)
            exit_code = EXIT_FAILED
    return exit_code


@sections.register("configuration")
async def configuration_section(arguments: argparse.Namespace, platform) -> list[str]:
    """Return the accepted revision, and which nodes lag behind the highest known revision.

    The highest known revision is the highest of the accepted one and those in force. The lines
    also say on how many nodes it is in force.

    During an outage of the object API the nodes are taken from ``--fleet``.

    :raises PlatformError: if the object API cannot be reached and ``--fleet`` is not given.
    """
    from ..exceptions import PlatformError
    from ..fleet import compile_fleet, heads
    from ..peer_configuration import is_behind, query_states

    try:
        head = await heads.read_head(platform)
        number = head.number
        fleet = await heads.read_fleet(platform, head.revision)
        lines = [f"accepted: revision {number}"]
    except PlatformError as error:
        if not arguments.fleet:
            raise
        number = 0
        fleet = compile_fleet(arguments.fleet)
        lines = [f"accepted: not known ({error}); the highest in force counts below"]
    states = await query_states(platform.client, fleet.vms, arguments.admin_port)
    number = max([number, *(state.revision for state in states.values() if state)])
    lagging_vms = [vm for vm in fleet.vms if is_behind(states[vm.name], number)]
    lines.append(
        f"in force: revision {number} on {len(states) - len(lagging_vms)} of {len(states)} nodes"
    )
    return lines + [describe_lag(vm, states[vm.name]) for vm in lagging_vms]


def describe_lag(vm, state) -> str:
    """Return the line for a node that does not have the highest known revision in force.

    :param state: None if the node does not respond.
    """
    if state is None:
        return f"lags: {vm.name} ({vm.role}) does not answer"
    ready = "ready" if state.ready else "not ready"
    return f"lags: {vm.name} ({vm.role}) has revision {state.revision}, {ready}"
