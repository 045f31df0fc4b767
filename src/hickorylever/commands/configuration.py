"""The commands that check and change the configuration: check, plan, apply and rollback."""

import argparse
import getpass
import sys

import curio

from . import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_LAGGING,
    EXIT_UNKNOWN,
    add_admin_port,
    add_directory,
    add_platform,
    command,
    make_object_client,
)


def add_change_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the commands that change the configuration."""
    add_platform(parser)
    add_admin_port(parser)
    parser.add_argument(
        "--reason", required=True, help="reason for the change, for the audit trail"
    )
    parser.add_argument(
        "--author", default=getpass.getuser(), help="author of the change (default: %(default)s)"
    )
    parser.add_argument(
        "--base",
        type=int,
        help="base revision that plan showed; refuse if it is no longer the latest",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait up to this long until every router has it in force",
    )


def add_plan(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``plan``."""
    add_directory(parser)
    add_platform(parser)
    parser.add_argument(
        "--each",
        action="store_true",
        help="print one line for each object instead of grouping equal changes",
    )


def add_apply(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``apply``."""
    add_directory(parser)
    add_change_arguments(parser)


def add_rollback(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``rollback``."""
    parser.add_argument("revision", type=int, help="revision whose content is accepted again")
    add_change_arguments(parser)


@command("check", "check a fleet directory", add_directory)
def check(arguments: argparse.Namespace) -> None:
    """Compile a fleet directory and print the number of its objects."""
    from ..fleet import compile_fleet

    fleet = compile_fleet(arguments.directory)
    print(
        f"{fleet.name}: {len(fleet.vms)} VMs, {len(fleet.endpoints)} endpoints, "
        f"{len(fleet.applications)} applications, {len(fleet.client_accounts)} client accounts, "
        f"{len(fleet.guards)} rules on requests that never repeat"
    )


@command("plan", "show what applying a fleet directory would change", add_plan)
def plan(arguments: argparse.Namespace) -> None:
    """Print the changes against the accepted configuration, and its revision."""
    from ..fleet import compile_fleet, heads
    from ..fleet import plan as plans

    fleet = compile_fleet(arguments.directory)

    async def run() -> None:
        platform = make_object_client(arguments.platform)
        head = await heads.read_head(platform)
        changes = plans.compare(await heads.read_fleet(platform, head.revision), fleet)
        lines = map(str, changes) if arguments.each else plans.group_changes(changes)
        print(f"base revision {head.number}{describe_head(head)}")
        print("\n".join(lines) if changes else "nothing changes")
        if changes:
            print(f"to accept: hickorylever apply {arguments.directory} --base {head.number} ...")

    curio.run(run)


def describe_head(head) -> str:
    """Return by whom, when and why the head was accepted; empty before the first revision."""
    revision = head.revision
    if revision is None:
        return ""
    return f", accepted by {revision.author} at {revision.time}: {revision.reason}"


@command("apply", "accept a fleet directory as the next revision", add_apply)
def apply(arguments: argparse.Namespace) -> int:
    """Accept a fleet directory as the next revision and return the exit code."""
    from ..fleet import compile_fleet

    fleet = compile_fleet(arguments.directory)

    async def load_fleet(platform, head):
        return fleet

    return curio.run(accept_change, arguments, load_fleet)


@command("rollback", "accept an earlier revision's content as the next revision", add_rollback)
def rollback(arguments: argparse.Namespace) -> int:
    """Accept the content of an earlier revision as the next one and return the exit code."""
    from ..fleet import audit, heads

    async def load_fleet(platform, head):
        revision = await audit.find(platform, head.chain, arguments.revision)
        return await heads.read_fleet(platform, revision)

    return curio.run(accept_change, arguments, load_fleet)


async def accept_change(arguments: argparse.Namespace, load_fleet) -> int:
    """Accept a change, report its outcome, and wait for the routers if requested.

    Returns the exit code: accepted, not accepted, conflict, outcome unknown, or accepted but not
    in force on every router within the requested time.

    :param load_fleet: coroutine function that takes the platform client and the head, and returns
        the new configuration.
    """
    from ..exceptions import ContentError, PlatformError
    from ..fleet import heads

    platform = make_object_client(arguments.platform)
    try:
        base = await heads.read_head(platform)
        fleet = await load_fleet(platform, base)
        if arguments.base not in (None, base.number):
            raise heads.RevisionConflict(base)
        number = await accept(arguments, platform, base, fleet)
    except heads.RevisionConflict as conflict:
        await print_conflict(platform, conflict.head, arguments.base)
        return EXIT_CONFLICT
    except heads.OutcomeUnknown as error:
        print(f"not known whether accepted: {error}; run `hickorylever audit`", file=sys.stderr)
        return EXIT_UNKNOWN
    except (PlatformError, ContentError) as error:
        print(f"not accepted: {error}", file=sys.stderr)
        return EXIT_FAILED
    return await wait_in_force(arguments, platform, fleet, number)


async def accept(arguments: argparse.Namespace, platform, base, fleet) -> int:
    """Accept a configuration, unless it equals the base, and return its revision number."""
    from ..exceptions import ContentError
    from ..fleet import digest, encode, heads
    from ..fleet import plan as plans

    if base.revision and digest(encode(fleet)) == base.revision.digest:
        print(f"unchanged: revision {base.number} holds this already; nothing was written")
        return base.number
    try:
        changes = plans.compare(await heads.read_fleet(platform, base.revision), fleet)
        change_lines = plans.summary(changes)
        print("\n".join(plans.group_changes(changes)))
    except ContentError as error:
        change_lines = (f"differs from a content that can't be read: {error}",)
        print(change_lines[0], file=sys.stderr)
    revision = await heads.apply(
        platform, fleet, base, arguments.author, arguments.reason, change_lines
    )
    print(f"accepted: revision {revision.number}")
    return revision.number


async def print_conflict(platform, head, base: int | None) -> None:
    """Print the revisions that were accepted since the base."""
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
    """Wait until every router has a revision in force, print those that lag, return the exit code.

    The limit is ``arguments.wait`` seconds; 0 returns at once.
    """
    from ..peer_configuration import is_behind, query_states

    if not arguments.wait:
        return 0
    routers = [vm for vm in fleet.vms if vm.role == "entry"]
    lagging_vms = routers
    async with curio.ignore_after(arguments.wait):
        while lagging_vms:
            states = await query_states(platform.client, lagging_vms, arguments.admin_port)
            lagging_vms = [vm for vm in lagging_vms if is_behind(states[vm.name], number)]
            if lagging_vms:
                await curio.sleep(0.1)
    if not lagging_vms:
        print(f"in force: revision {number} on {len(routers)} routers")
        return 0
    names = ", ".join(vm.name for vm in lagging_vms)
    print(f"accepted, but not in force after {arguments.wait} s on: {names}", file=sys.stderr)
    return EXIT_LAGGING
