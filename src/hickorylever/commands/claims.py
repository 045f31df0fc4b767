"""The ``unresolved`` section of ``status``: guarded requests with an unknown outcome."""

import argparse

from .. import defaults
from ..decisions.claims import Claim, Outcome
from .status import sections


async def read_claims(platform, shard: int) -> dict[bytes, Claim]:
    """Return the claim in force for each key of a shard, from its segments and then its head."""
    from ..controllers.claims import read_segment, read_shard

    _, head = await read_shard(platform, shard)
    table = {}
    for number in range(head.first_segment, head.next_segment):
        segment = await read_segment(platform, shard, head.segment_name(number))
        table.update((claim.key, claim) for claim in segment.claims)
    table.update((claim.key, claim) for claim in head.claims)
    return table


def format_claim(claim: Claim) -> str:
    """Return the line of text for a claim."""
    return (
        f"{claim.key.hex()}  endpoint {claim.endpoint}  attempt {claim.attempt}"
        f"  generation {claim.generation}"
    )


@sections.register("unresolved")
async def unresolved_section(arguments: argparse.Namespace, platform) -> list[str]:
    """Return the guarded requests of which it is not known whether they ran."""
    lines = []
    for shard in range(defaults.CLAIM_SHARDS):
        claims = (await read_claims(platform, shard)).values()
        lines += [format_claim(claim) for claim in claims if claim.outcome == Outcome.UNKNOWN]
    return [f"{len(lines)} guarded requests are unresolved", *sorted(lines)]
