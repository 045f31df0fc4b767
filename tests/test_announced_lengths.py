"""Endpoints that announce a body which they don't send, and who waits for it."""

import random

import curio
import h11
import pytest
from direct_harness import run_scenario

from hickorylever import defaults
from hickorylever.direct.held_bytes import BODY_COPIES, HeldBytes, Holder
from hickorylever.platform.standins.origin import behaviours

MEBIBYTE = 1024 * 1024
BLOCK_BYTES = defaults.RECEIVE_BUFFER_BYTES


@behaviours.register("announces")
async def announce(origin, exchange, body):
    """Answer with a head and `origin.sends` bytes of the body that it announces."""
    origin.record_run(exchange, body)
    length = (b"content-length", b"%d" % origin.announces)
    headers = [*origin.response_headers(exchange), length]
    await exchange.channel.send(h11.Response(status_code=200, headers=headers))
    await exchange.channel.sock.sendall(b"x" * origin.sends)
    await curio.sleep(60.0)


def run(scenario, announces, sends=0):
    async def prepared(harness):
        faulty = harness.origins[0]
        faulty.announces, faulty.sends = announces, sends
        await scenario(harness)

    run_scenario(prepared, ("announces",), ("well",))


@pytest.mark.parametrize("sends", [0, 1, 1000])
@pytest.mark.parametrize("announces", [MEBIBYTE, 14 * MEBIBYTE, 16 * MEBIBYTE, 250_000_000])
def test_what_one_endpoint_announces_takes_no_room_from_another(announces, sends, monkeypatch):
    """Complete answers of all endpoints waited until the announcing one's time limit."""
    had_room = []
    reserve = HeldBytes.reserve

    def record(held, *arguments):
        had_room.append(reserve(held, *arguments))
        return had_room[-1]

    async def scenario(harness):
        endpoints = harness.node.directory.endpoints
        endpoints["i-1"].paused_until = float("inf")
        waiting = [
            await curio.spawn(harness.send_request, "/unsafe/x", daemon=True) for _ in range(6)
        ]
        await harness.until(lambda: harness.origins[0].arrivals == 6)
        await curio.sleep(0.1)
        endpoints["i-1"].paused_until = 0.0
        endpoints["i-0"].paused_until = float("inf")
        monkeypatch.setattr(HeldBytes, "reserve", record)
        for _ in range(20):
            assert (await harness.send_request("/unsafe/x")).status == 200
        assert len(had_room) >= 20
        assert all(had_room)
        for task in waiting:
            await task.cancel()

    run(scenario, announces, sends)


@pytest.mark.parametrize("announces", [defaults.MAX_RESPONSE_BYTES + 1, 250_000_000, 10**18])
@pytest.mark.parametrize(("path", "status"), [("/unsafe/x", 502), ("/safe/x", 200)])
def test_a_length_that_never_fits_is_rejected_at_its_head(announces, path, status):
    """The request waited for the body until its time limit."""

    async def scenario(harness):
        harness.node.directory.endpoints["i-1"].running = 9
        response = await harness.send_request(path)
        assert harness.origins[0].arrivals == 1
        assert response.status == status
        assert harness.node.held.size == 0

    run(scenario, announces)


class Reading:
    """A response that is read block by block.

    :param size: bytes of its body.
    :param announced: what its head says, at least `size`.
    """

    def __init__(self, number, size, announced):
        self.holder = Holder((("service", "a"), ("account", str(number))), None, lambda: 0.0)
        self.announced = announced
        self.left = size

    def step(self, held):
        """Take the next block if there is room, and return whether there was."""
        count = min(BLOCK_BYTES, self.left)
        if not held.reserve(self.holder, BODY_COPIES * count, 0.0):
            return False
        self.left -= count
        return True


@pytest.mark.parametrize("seed", range(20))
def test_responses_that_are_read_side_by_side_never_wait_for_each_other(seed):
    """With less room than they need together, each one must be completed all the same."""
    rng = random.Random(seed)
    held = HeldBytes(rng.choice([8, 24, 40]) * MEBIBYTE)
    readings = []
    for number in range(60):
        announced = rng.randrange(1, held.max_body_bytes)
        size = rng.choice([announced, rng.randrange(1, announced + 1)])
        readings.append(Reading(number, size, announced))
        held.begin(readings[-1].holder, announced)
    while readings:
        rng.shuffle(readings)
        progressed = [reading for reading in readings if reading.step(held)]
        assert held.size <= held.limit
        assert progressed
        for reading in [entry for entry in progressed if not entry.left]:
            held.release(reading.holder)
            readings.remove(reading)
    assert held.size == 0


@pytest.mark.parametrize("arrived", [0, 1])
def test_silent_responses_leave_room_for_all_others(arrived):
    """What a hundred endpoints announce together is far beyond the bound."""
    held = HeldBytes(24 * MEBIBYTE)
    for number in range(100):
        silent = Reading(number, arrived, held.max_body_bytes)
        held.begin(silent.holder, silent.announced)
        assert not arrived or silent.step(held)
    sound = Reading("sound", 8 * MEBIBYTE, 8 * MEBIBYTE)
    held.begin(sound.holder, sound.announced)
    while sound.left:
        assert sound.step(held)
    assert held.size <= held.limit
