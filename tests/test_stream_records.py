"""Streams that callers take up after all routers have stopped and started again."""

import random

import curio
import pytest
from direct_harness import versions_in
from stream_fleet import StreamFleet, kind
from test_peer_sync import play

STREAMS_PER_FLEET = 24
CALLER_SECONDS = 1.5  # For which a caller tries again.


def part(number):
    """Return a prompt part; the same one in all broken streams would be put in quarantine."""
    return f"{number + 1:x}:10"


class BreakingFleet(StreamFleet):
    """A fleet whose endpoints of both versions break off streams until told otherwise."""

    def __init__(self, count, **more):
        names = ("v1", "v1", "v1", "v2", "v2", "v2")
        super().__init__(count, scripts=(("broken",),) * len(names), names=names, **more)

    async def begin_all(self, rng, seconds):
        """Let callers begin streams at all routers within some seconds, and return these."""
        firsts = []
        for number in range(STREAMS_PER_FLEET):
            node = rng.choice(self.nodes)
            firsts.append(await self.send(node, parts=part(number)))
            await curio.sleep(seconds / STREAMS_PER_FLEET)
        assert all(len(versions_in(first)) == 2 for first in firsts)
        return firsts

    async def restart_all(self):
        """End all routers as by a loss of power and start them with empty memory."""
        numbers = range(len(self.nodes))
        for node in list(self.nodes):
            await self.end(node)
        for number in numbers:
            await self.start(number)

    async def resume_with_retries(self, rng, number, first):
        """Take a stream up at random routers as its caller would, and return the last response."""
        async with curio.ignore_after(CALLER_SECONDS):
            while True:
                node = rng.choice(self.nodes)
                fields = {"last-event-id": "2", "resumes": first.request_id}
                rest = await self.send(node, parts=part(number), **fields)
                if rest.status != 503:
                    return rest
                assert kind(rest) in ("stream_unknown", "not_ready", "overloaded")
                assert not self.runs_of(rest)
                await curio.sleep(min(float(rest.headers[b"retry-after"]), CALLER_SECONDS / 3))
        return rest


async def count_continued(fleet, rng, firsts):
    """Take all streams up at once; check that no two versions are joined, and count the whole."""
    tasks = [
        await curio.spawn(fleet.resume_with_retries, rng, number, first)
        for number, first in enumerate(firsts)
    ]
    rests = [await task.join() for task in tasks]
    continued = [pair for pair in zip(firsts, rests, strict=True) if pair[1].status == 200]
    for first, rest in continued:
        assert versions_in(first, rest) == versions_in(first)[:1] * 6
        assert rest.body is not None
    return len(continued)


@pytest.mark.parametrize("count", [3, 12, 24])
def test_half_of_the_streams_continue_after_the_end_of_all_routers(count, record_property):
    """The versions that began the streams are lost with all routers unless the store has them."""

    async def scenario(fleet):
        rng = random.Random(count)
        firsts = await fleet.begin_all(rng, 2.0)
        for origin in fleet.origins:
            origin.script = ["well"]
        await fleet.restart_all()
        continued = await count_continued(fleet, rng, firsts)
        record_property("continued", continued)
        print(f"{count} routers: {continued} of {STREAMS_PER_FLEET} streams continued")
        assert 2 * continued >= len(firsts)

    play(scenario, count, BreakingFleet)
