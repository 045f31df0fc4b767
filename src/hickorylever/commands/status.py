"""The command that shows the state of the fleet; other modules register sections."""

import argparse
import sys
from collections.abc import Awaitable, Callable

import curio

from ..exceptions import HickoryleverError
from ..registry import Registry
from . import EXIT_FAILED, add_platform, add_ports, command, make_platform

Section = Callable[[argparse.Namespace, object], Awaitable[list[str]]]
sections: Registry[Section] = Registry("status section")


def add_status(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_platform(parser)
    add_ports(parser)
    parser.add_argument("--fleet", metavar="DIR", help="inventory to use during an outage")
    parser.add_argument("--section", metavar="NAME", help="only this section")
    parser.add_argument(
        "--unresolved",
        action="store_const",
        const="unresolved",
        dest="section",
        help="only guarded requests with an unknown end",
    )


@command("status", "show what is in force on each node, and what needs attention", add_status)
def status(arguments: argparse.Namespace) -> int:
    """Print every section, or one."""
    return curio.run(show, arguments)


async def show(arguments: argparse.Namespace) -> int:
    """Print the sections and return the exit code."""
    platform = make_platform(arguments.platform)
    code = 0
    for name in [arguments.section] if arguments.section else list(sections):
        print(f"{name}:")
        try:
            for line in await sections[name](arguments, platform):
                print(f"  {line}")
        except HickoryleverError as error:
            print(f"  not known: {error}", file=sys.stderr)
            code = EXIT_FAILED
    return code


@sections.register("configuration")
async def show_configuration(arguments: argparse.Namespace, platform) -> list[str]:
    """Return the revision in force on each node, those that lag first."""
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
    late = [vm for vm in fleet.vms if is_behind(states[vm.name], number)]
    lines.append(
        f"in force: revision {number} on {len(states) - len(late)} of {len(states)} nodes"
    )
    return lines + [describe_lag(vm, states[vm.name]) for vm in late]


def describe_lag(vm, state) -> str:
    """Return what is known of a node that does not have the highest revision in force."""
    if state is None:
        return f"lags: {vm.name} ({vm.role}) does not answer"
    ready = "ready" if state.ready else "not ready"
    return f"lags: {vm.name} ({vm.role}) has revision {state.revision}, {ready}"
