"""Plays the load that the bound on endpoints answers, in virtual time, with views that lag."""

import random

import pytest

from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.placing import Ask, place
from hickorylever.direct.records import EndpointEntry, Part

ROUTERS = 21
ENGINES = 20
RATE = 110.0  # Requests a second, over all routers.
STREAM_TIME = 2.0  # Seconds that a request runs.
TELL_INTERVAL = 0.17  # Seconds between a router's datagrams.
DELAY = 0.02  # Seconds that a datagram takes.
SECONDS = 12.0
MULTIPLE = 2.0


def pool():
    return [
        Endpoint(EndpointEntry(f"i-{n}", "engines", "10.0.0.1", 80 + n, "abcd"[n % 4], 64))
        for n in range(ENGINES)
    ]


def over_the_bound(hot_share, seed):
    """Return the share of requests that reached an engine with over twice the mean, + 3."""
    chance = random.Random(seed)
    views = [pool() for _ in range(ROUTERS)]
    told = [[0] * ENGINES for _ in range(ROUTERS)]
    held = [0] * ENGINES
    ends, news = [], []
    over = sent = 0
    now, next_tell = 0.0, [chance.uniform(0, TELL_INTERVAL) for _ in range(ROUTERS)]
    while now < SECONDS:
        now += chance.expovariate(RATE)
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            held[end[2]] -= 1
            views[end[1]][end[2]].running -= 1
        for router in range(ROUTERS):
            if now >= next_tell[router]:
                next_tell[router] = now + TELL_INTERVAL
                for n, endpoint in enumerate(views[router]):
                    if told[router][n] != endpoint.running:
                        told[router][n] = endpoint.running
                        news.append((now + DELAY, router, n, endpoint.running))
        for item in [item for item in news if item[0] <= now]:
            news.remove(item)
            for other in range(ROUTERS):
                if other != item[1]:
                    views[other][item[2]].peers[str(item[1])] = PeerLoad(item[3], 0.0, item[0])
        router = chance.randrange(ROUTERS)
        subject = "hot" if chance.random() < hot_share else f"{chance.randrange(90):x}"
        parts = (Part("system", 300), Part(subject, 3000), Part(f"own-{sent}", 200))
        ask = Ask(now, "abcd"[router % 4], parts, 3500)
        endpoint = place(views[router], ask, True, MULTIPLE).endpoint
        number = int(endpoint.name[2:])
        for view in views:
            view[number].held.note(parts[:2], 0)
        sent += 1
        over += held[number] > MULTIPLE * sum(held) / ENGINES + 3
        held[number] += 1
        endpoint.running += 1
        ends.append((now + chance.uniform(0.5, 1.5) * STREAM_TIME, router, number))
    return over / sent


@pytest.mark.parametrize(("hot_share", "seed"), [(0.1, 1), (0.3, 2), (0.45, 3)])
def test_few_requests_reach_an_engine_over_its_bound(hot_share, seed):
    assert over_the_bound(hot_share, seed) <= 0.03
