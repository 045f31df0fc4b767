"""Commands on the configuration: check, apply and what goes with them."""

import argparse
import getpass

import curio

from . import add_directory, add_platform, command, make_platform


def add_apply(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``apply``."""
    add_directory(parser)
    add_platform(parser)
    parser.add_argument("--reason", required=True, help="why, for the audit trail")
    parser.add_argument("--author", default=getpass.getuser(), help="who (default: %(default)s)")


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


@command("apply", "put a fleet directory in force", add_apply)
def apply(arguments: argparse.Namespace) -> None:
    """Accept a fleet directory as the next revision."""
    from ..fleet import compile_fleet, heads

    fleet = compile_fleet(arguments.directory)

    async def run() -> None:
        platform = make_platform(arguments.platform)
        base = await heads.read_head(platform)
        revision = await heads.apply(platform, fleet, base, arguments.author, arguments.reason)
        print(f"revision {revision.number} accepted")

    curio.run(run)
