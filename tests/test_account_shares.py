"""Simulations of client accounts that share the queue of a full pool."""

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from statistics import mean

import pytest

from hickorylever.direct import account_shares
from hickorylever.direct.account_shares import (
    MAX_ADMITTED_UPDATES,
    PERIOD_SECONDS,
    AccountShares,
)
from hickorylever.direct.peer_protocol import AdmittedUpdate, Datagram, decode, encode
from hickorylever.direct.wait_queue import QueueParameters, WaitQueue

SLOTS = 12
ACCOUNTS = [f"a{number}" for number in range(24)]
SURGE = {"a0": 7.5}  # The multiple of its usual load that one account sends.
MEAN_SERVICE_SECONDS = 0.24
CAPACITY_PER_SECOND = SLOTS / MEAN_SERVICE_SECONDS
DURATION_SECONDS = 15.0
OBJECTIVE_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 4.0
STEP_SECONDS = 0.005
MAX_EXTRA_WAIT_SECONDS = 0.32
CHECK_SECONDS = 0.1  # Between two checks whether waiting requests are refused.


@dataclass
class Outcomes:
    """Outcomes of the requests of one account, or of one kind."""

    asked: int = 0
    waits: list[float] = field(default_factory=list)

    @property
    def served_ratio(self):
        return len(self.waits) / self.asked


def arrivals(load, rates, size_of, seed):
    """Return requests as (time, account, work); accounts at their usual rate make up `load`."""
    found = []
    for account in ACCOUNTS:
        rng = random.Random(f"{seed} {account}")
        rate = load * CAPACITY_PER_SECOND / len(ACCOUNTS) * rates.get(account, 1.0)
        now = rng.expovariate(rate)
        while now < DURATION_SECONDS:
            found.append((now, account, size_of(account, rng)))
            now += rng.expovariate(rate)
    return sorted(found)


def simulate(load, rates=(), shared=True, size_of=lambda account, rng: 1.0, seed=1):
    """Return the outcomes by account and by work, and those of all requests.

    A request of work 1 occupies a slot for `MEAN_SERVICE_SECONDS` on average.
    """
    rng = random.Random(seed)
    shares = AccountShares()
    queue = WaitQueue(shares)
    todo = arrivals(load, dict(rates), size_of, seed)[::-1]
    outcomes, entries, ends, now, check_at = defaultdict(Outcomes), {}, [], 0.0, 0.0
    while todo or queue.entries:
        now += STEP_SECONDS
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        while todo and todo[-1][0] <= now:
            arrived_at, account, work = todo.pop()
            flow = shares.flow("pool", 0, account)
            shares.offer(flow, work, now)
            entry = queue.enqueue(
                QueueParameters(
                    0,
                    arrived_at,
                    OBJECTIVE_SECONDS,
                    arrived_at + CALLER_TIMEOUT_SECONDS,
                    flow=flow if shared else None,
                    work=work,
                ),
                now,
            )
            entries[entry] = account, work, flow
            for key in (account, work, "all"):
                outcomes[key].asked += 1
        while queue.entries and len(ends) < SLOTS:
            entry = queue.next_entry(now)
            queue.dequeue(entry, True, now)
            account, work, flow = entries[entry]
            shares.admit(flow, work, now)
            heapq.heappush(ends, now + work * rng.uniform(0.5, 1.5) * MEAN_SERVICE_SECONDS)
            for key in (account, work, "all"):
                outcomes[key].waits.append(now - entry.arrived_at)
        if now >= check_at:
            check_at = now + CHECK_SECONDS
            for entry in [entry for entry in queue.entries if queue.should_refuse(entry, now)]:
                queue.dequeue(entry, False, now)
    return outcomes


def of_others(outcomes):
    return [outcomes[account] for account in ACCOUNTS if account not in SURGE]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_surging_account_hardly_delays_the_others(seed):
    """Guards against others that are refused or wait much longer because of one account."""
    usual = of_others(simulate(0.9, seed=seed))
    shared = of_others(simulate(0.9, SURGE, seed=seed))
    for before, after in zip(usual, shared, strict=True):
        assert len(after.waits) >= 0.98 * after.asked
        assert mean(after.waits) <= mean(before.waits) + MAX_EXTRA_WAIT_SECONDS
        assert max(after.waits) <= max(before.waits) + MAX_EXTRA_WAIT_SECONDS


def test_without_shares_a_surging_account_delays_the_others():
    """Guards against a simulation in which the surge does not matter."""
    shared, unshared = (simulate(0.9, SURGE, shared=shared) for shared in (True, False))
    waits = [[mean(entry.waits) for entry in of_others(seen)] for seen in (shared, unshared)]
    assert mean(waits[1]) >= 3.0 * mean(waits[0])
    assert len(shared["all"].waits) >= 0.97 * len(unshared["all"].waits)


LONG = 8.0
MIXES = {
    "surge": (SURGE, lambda account, rng: 1.0),
    "one account with long prompts": ({}, lambda account, rng: LONG if account == "a0" else 1.0),
    "long prompts of all accounts": ({}, lambda account, rng: rng.choice((0.25, 0.25, 0.25, 4.0))),
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("mix", MIXES)
def test_no_account_and_no_kind_of_request_starves(mix, seed):
    rates, size_of = MIXES[mix]
    outcomes = simulate(1.8, rates, size_of=size_of, seed=seed)
    every = outcomes["all"].served_ratio
    assert every < 0.8
    for seen in outcomes.values():
        assert seen.served_ratio >= 0.25 * every


def test_nothing_is_refused_below_capacity():
    assert simulate(0.6, SURGE)["all"].served_ratio == 1.0


def test_the_order_without_accounts_is_that_of_arrival_within_a_priority():
    """The order must be the same as before accounts had shares."""
    rng = random.Random(4)
    queue, now, last = WaitQueue(), 0.0, {}
    for number in range(400):
        now += rng.uniform(0.0, 0.05)
        queue.enqueue(QueueParameters(rng.randrange(3), now, rng.choice((0.3, 2.0)), now + 9), now)
        if number % 3:
            continue

        def before(entry, now=now):
            return now > entry.on_time_until, entry.priority, entry.arrived_at

        def fair(entry, now=now):
            return now > entry.on_time_until, last.get(entry.priority, 0.0), entry.arrived_at

        turn = queue.placement_count % 5 == 4
        entry = min(queue.entries, key=fair if turn else before)
        assert queue.next_entry(now) is entry
        queue.dequeue(entry, True, now)
        last[entry.priority] = now


def test_callers_of_accounts_beyond_their_share_return_later():
    queue = WaitQueue(AccountShares())
    for time_left in (12.0, 3.0):
        for _ in range(60):
            within = queue.retry_after(1.0, time_left, within_share=True)
            beyond = queue.retry_after(1.0, time_left, within_share=False)
            assert within < beyond <= min(5.0, time_left / 3)


def test_which_accounts_are_beyond_their_share():
    shares = AccountShares()
    for account in ACCOUNTS:
        shares.offer(shares.flow("pool", 0, account), 100.0 * SURGE.get(account, 1.0), 1.0)
    shares.updated_at = 0.0
    shares.update(1.0)
    beyond = [name for name in ACCOUNTS if shares.flow("pool", 0, name).is_beyond_share(1.0)]
    assert beyond == list(SURGE)
    assert not shares.flow("pool", 1, "a0").is_beyond_share(1.0)


def first_account(shares, now):
    """Return the account whose request goes first if all accounts have one, in their order."""
    queue = WaitQueue(shares)
    names = {}
    for account in ACCOUNTS:
        flow = shares.flow("pool", 0, account)
        names[queue.enqueue(QueueParameters(0, now, 1.0, now + 9, flow=flow), now)] = account
    return names[queue.next_entry(now)]


def use(shares, now, more=()):
    for account in ACCOUNTS:
        flow, work = shares.flow("pool", 0, account), dict(more).get(account, 10.0)
        shares.offer(flow, work, now)
        shares.admit(flow, work, now)
    shares.updated_at = 0.0
    shares.update(now)


def test_reports_count_until_a_router_has_not_been_heard_for_a_while():
    """After a partition the order must follow from what the router itself has admitted."""
    one, two = AccountShares(), AccountShares()
    two.enabled = True
    use(one, 1.0, {"a0": 80.0})
    use(two, 1.0)
    assert first_account(two, 1.0) == "a0"
    one.waiting_at = 1.0
    reports = one.take_reports(1, 1.0)
    assert len(reports) == 1
    for _ in range(3):
        two.apply_reports("10.0.0.1", reports, 1.0)
    flow = two.flow("pool", 0, "a0")
    assert flow.remote.work.work == reports[0].work
    mean_admitted = two.groups["pool", 0].mean_admitted
    assert flow.lead(1.0) == pytest.approx((1.0 - account_shares.TOLERANCE_RATIO) * mean_admitted)
    assert first_account(two, 1.0) == "a1"
    assert flow.lead(1.0 + 10 * PERIOD_SECONDS) == 0.0


def test_reports_are_sent_only_while_requests_wait():
    shares = AccountShares()
    for number in range(40):
        shares.admit(shares.flow("pool", 0, f"a{number}"), 1e5 + number, 0.0)
    assert shares.take_reports(60, 0.0) == []
    shares.waiting_at = 0.0
    reports = shares.take_reports(60, 0.0)
    assert [update.work for update in reports] == [100039 - n for n in range(MAX_ADMITTED_UPDATES)]
    shares.waiting_at = 1.0
    assert shares.take_reports(60, 1.0) == []
    plain, full = (encode(Datagram(1, admitted=entries)) for entries in ([], reports))
    assert decode(full).admitted == reports
    interval = account_shares.REPORT_SECONDS_PER_PEER * 370
    assert 370 * (len(full) - len(plain)) / interval <= 5000


@pytest.mark.parametrize("work", [-5, 2**40])
def test_implausible_reports_are_left_out(work):
    shares = AccountShares()
    shares.enabled = True
    shares.apply_reports("10.0.0.1", [AdmittedUpdate(1, work), AdmittedUpdate(2, 7)], 0.0)
    assert list(shares.remotes) == [2]


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(account_shares, "MAX_REPORTED_FLOWS", 10)
    shares = AccountShares()
    shares.enabled = True
    for number in range(30):
        shares.apply_reports("10.0.0.1", [AdmittedUpdate(number, 7)], 0.0)
    assert len(shares.remotes) == 10
    shares.update(100.0)
    assert not shares.remotes
