"""The rate of requests that several routers send to an endpoint with a limit, in virtual time."""

import random

import pytest

from hickorylever.direct.rate_limit import RateLimit

STEP_SECONDS = 0.01
NEWS_SECONDS = 0.1  # Until the other routers know of a request.
SECONDS = 60.0
SPAN_SECONDS = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5


class Routers:
    """Routers that send to one endpoint whenever its limit lets them."""

    def __init__(self, count, rate, rng):
        self.limits = [RateLimit(rate, count, 0.0, rng) for _ in range(count)]
        self.news = []
        self.sends = []

    def step(self, now, offers):
        """Let the routers that have a request send it if they may."""
        while self.news and self.news[0][0] <= now:
            _, sender, count = self.news.pop(0)
            for number, limit in enumerate(self.limits):
                if number != sender:
                    limit.record_peer_count(str(sender), count, now)
        for number in offers:
            limit = self.limits[number]
            if limit.permits(now):
                limit.record_send(now)
                self.sends.append(now)
                self.news.append((now + NEWS_SECONDS, number, limit.own_count))


def waiting_everywhere(count, rate, now, rng):
    return rng.sample(range(count), count)


def waiting_at_one(count, rate, now, rng):
    return [0]


def arriving(count, rate, now, rng):
    """Four times the limit and more, in bursts."""
    if now % 10.0 < 5.0 or rng.random() > (4 * rate + 3) * STEP_SECONDS:
        return []
    return [rng.randrange(count)]


@pytest.mark.parametrize("count", [1, 5, 20, 60])
@pytest.mark.parametrize("rate", [0.0, 0.3, 2.8, 12.0])
@pytest.mark.parametrize(
    ("demand", "least_use"), [(waiting_everywhere, 0.6), (waiting_at_one, 0.6), (arriving, 0.2)]
)
def test_routers_keep_to_the_limit_and_make_use_of_it(count, rate, demand, least_use):
    rng = random.Random(f"{count}-{rate}")
    routers = Routers(count, rate, rng)
    for step in range(int(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        routers.step(now, demand(count, rate, now, rng))
    sends = routers.sends
    most = max(
        (sum(start <= time < start + SPAN_SECONDS for time in sends) for start in sends), default=0
    )
    assert most <= ALLOWED_RATIO * rate * SPAN_SECONDS + ALLOWED_EXCESS
    assert len(sends) / SECONDS >= least_use * rate


@pytest.mark.parametrize(("rate", "seconds"), [(100.0, 2.0), (0.5, 4.0), (0.0, 30.0)])
def test_window_holds_a_few_requests(rate, seconds):
    assert RateLimit(rate, 1, 0.0).window == seconds


def test_counts_of_another_router_may_be_lost_or_start_anew():
    limit = RateLimit(10.0, 1, 0.0)
    for count, known in ((2, 2), (5, 5), (5, 5), (1, 6)):
        limit.record_peer_count("10.0.0.2", count, 0.0)
        assert limit.count(0.0) == known
