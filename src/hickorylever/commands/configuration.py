"""Commands that change the configuration: check, plan, apply and rollback."""

import argparse
import getpass
import sys

import curio

from . import (
    EXIT_FAILED,
    EXIT_LAGGING,
    EXIT_RACED,
    EXIT_UNKNOWN,
    add_directory,
    add_platform,
    add_ports,
    command,
    make_platform,
)


def add_reason(parser: argparse.ArgumentParser) -> None:
    """Add what every change needs."""
    add_platform(parser)
    add_ports(parser)
    parser.add_argument("--reason", required=True, help="why, for the audit trail")
    parser.add_argument("--author", default=getpass.getuser(), help="who (default: %(default)s)")
    parser.add_argument("--base", type=int, help="the revision that plan showed")
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait until every router has it in force",
    )


def add_plan(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``plan``."""
    add_directory(parser)
    add_platform(parser)
    parser.add_argument("--each", action="store_true", help="one line for every object")


def add_apply(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``apply``."""
    add_directory(parser)
    add_reason(parser)


def add_rollback(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``rollback``."""
    parser.add_argument("revision", type=int, help="the revision whose content is wanted again")
    add_reason(parser)


@command("check", "check a fleet directory", add_directory)
def check(arguments: argparse.Namespace) -> None:
    """Compile a fleet directory and report what it holds."""
    from ..fleet import compile_fleet

    fleet = compile_fleet(arguments.directory)
    print(
        f"{fleet.name}: {len(fleet.vms)} VMs, {len(fleet.endpoints)} endpoints, "
        f"{len(fleet.applications)} applications, {len(fleet.client_accounts)} client accounts, "
        f"{len(fleet.guards)} rules on requests that never repeat"
    )


@command("plan", "show what applying a fleet directory would change", add_plan)
def plan(arguments: argparse.Namespace) -> None:
    """Print the difference to what is in force, and its revision."""
    from ..fleet import compile_fleet, heads
    from ..fleet import plan as plans

    fleet = compile_fleet(arguments.directory)

    async def run() -> None:
        platform = make_platform(arguments.platform)
        head = await heads.read_head(platform)
        changes = plans.compare(await heads.read_fleet(platform, head.revision), fleet)
        lines = map(str, changes) if arguments.each else plans.group(changes)
        print(f"base revision {head.number}{describe_head(head)}")
        print("\n".join(lines) if changes else "nothing changes")
        if changes:
            print(f"to accept: hickorylever apply {arguments.directory} --base {head.number} ...")

    curio.run(run)


def describe_head(head) -> str:
    """Return who accepted a head, when and why."""
    revision = head.revision
    if revision is None:
        return ""
    return f", accepted by {revision.author} at {revision.time}: {revision.reason}"


@command("apply", "accept a fleet directory as the next revision", add_apply)
def apply(arguments: argparse.Namespace) -> int:
    """Accept a fleet directory on the base that plan showed."""
    from ..fleet import compile_fleet

    fleet = compile_fleet(arguments.directory)

    async def choose(platform, head):
        return fleet

    return curio.run(change, arguments, choose)


@command("rollback", "accept an earlier revision's content as the next revision", add_rollback)
def rollback(arguments: argparse.Namespace) -> int:
    """Accept the content of an earlier revision."""
    from ..fleet import audit, heads

    async def choose(platform, head):
        revision = await audit.find(platform, head.chain, arguments.revision)
        return await heads.read_fleet(platform, revision)

    return curio.run(change, arguments, choose)


async def change(arguments: argparse.Namespace, choose) -> int:
    """Accept a change, say for sure what came of it, and wait for the routers if asked.

    :param choose: awaited with platform and head; returns the new configuration.
    """
    from ..exceptions import ContentError, PlatformError
    from ..fleet import heads

    platform = make_platform(arguments.platform)
    try:
        base = await heads.read_head(platform)
        fleet = await choose(platform, base)
        if arguments.base not in (None, base.number):
            raise heads.Raced(base)
        number = await accept(arguments, platform, base, fleet)
    except heads.Raced as raced:
        await report_race(platform, raced.head, arguments.base)
        return EXIT_RACED
    except heads.Unsettled as error:
        print(f"not known whether accepted: {error}; run `hickorylever audit`", file=sys.stderr)
        return EXIT_UNKNOWN
    except (PlatformError, ContentError) as error:
        print(f"not accepted: {error}", file=sys.stderr)
        return EXIT_FAILED
    return await wait_in_force(arguments, platform, fleet, number)


async def accept(arguments: argparse.Namespace, platform, base, fleet) -> int:
    """Accept a configuration, unless it is in force already, and return its number."""
    from ..exceptions import ContentError
    from ..fleet import digest, encode, heads
    from ..fleet import plan as plans

    if base.revision and digest(encode(fleet)) == base.revision.digest:
        print(f"unchanged: revision {base.number} holds this already; nothing was written")
        return base.number
    try:
        changes = plans.compare(await heads.read_fleet(platform, base.revision), fleet)
        words = plans.summary(changes)
        print("\n".join(plans.group(changes)))
    except ContentError as error:
        words = (f"differs from a content that can't be read: {error}",)
        print(words[0], file=sys.stderr)
    revision = await heads.apply(platform, fleet, base, arguments.author, arguments.reason, words)
    print(f"accepted: revision {revision.number}")
    return revision.number


async def report_race(platform, head, base: int | None) -> None:
    """Say what another operator has changed in the meantime."""
    print("not accepted: another change was accepted first", file=sys.stderr)
    for revision in head.chain:
        if base is None and revision is not head.revision:
            continue
        if base is not None and revision.number <= base:
            continue
        print(
            f"revision {revision.number} by {revision.author} at {revision.time}: "
            f"{revision.reason}",
            file=sys.stderr,
        )
        for line in revision.changes:
            print(f"  {line}", file=sys.stderr)
    print("run `hickorylever plan` again", file=sys.stderr)


async def wait_in_force(arguments: argparse.Namespace, platform, fleet, number: int) -> int:
    """Wait until every router has a revision in force; name those that lag."""
    from ..peer_configuration import is_behind, query_states

    if not arguments.wait:
        return 0
    routers = [vm for vm in fleet.vms if vm.role == "entry"]
    late = routers
    async with curio.ignore_after(arguments.wait):
        while late:
            states = await query_states(platform.client, late, arguments.admin_port)
            late = [vm for vm in late if is_behind(states[vm.name], number)]
            if late:
                await curio.sleep(0.1)
    if not late:
        print(f"in force: revision {number} on {len(routers)} routers")
        return 0
    names = ", ".join(vm.name for vm in late)
    print(f"accepted, but not in force after {arguments.wait} s on: {names}", file=sys.stderr)
    return EXIT_LAGGING
