"""The ``audit`` command, which prints and verifies the audit trail."""

import argparse
import sys

import curio

from . import EXIT_FAILED, add_platform, command, make_object_client


def add_audit(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``audit``."""
    add_platform(parser)
    parser.add_argument(
        "--since", type=int, default=1, metavar="N", help="oldest revision to show"
    )
    parser.add_argument(
        "--object", default="", metavar="NAME", help="show only revisions that change this object"
    )


@command("audit", "show and verify the chain of accepted revisions", add_audit)
def audit(arguments: argparse.Namespace) -> int:
    """Print the audit trail, newest revision first, and where its chain of digests breaks."""
    return curio.run(print_audit_trail, arguments)


async def print_audit_trail(arguments: argparse.Namespace) -> int:
    """Print the audit trail and return the exit code."""
    from ..exceptions import ContentError
    from ..fleet import audit as audit_trail
    from ..fleet import heads, plan

    platform = make_object_client(arguments.platform)
    verified = 0
    try:
        head = await heads.read_head(platform)
        async for revision in audit_trail.iter_newest_first(
            platform, head.chain, max(1, arguments.since)
        ):
            verified += 1
            if not arguments.object or plan.mentions(revision.changes, arguments.object):
                print(format_revision(revision))
    except ContentError as error:
        print(f"BROKEN: {error}", file=sys.stderr)
        return EXIT_FAILED
    print(f"{verified} revisions, the chain of digests holds")
    return 0


def format_revision(revision) -> str:
    """Return the text of a revision: a heading, then a line for each change."""
    head = f"revision {revision.number}  {revision.time}  {revision.author}  {revision.reason}"
    return "\n".join([head, *(f"    {line}" for line in revision.changes)])
