import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever.decisions.fairness import AccountUsage, FairQueue, Waiter, WorkQuota

WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0}
FOREVER = 1e9


def make_queue(limit=100.0, **more):
    queue = FairQueue(WEIGHTS.__getitem__, **more)
    queue.quota = WorkQuota(limit, limit)
    return queue


def submit_many(queue, names, count, work=10.0, now=0.0, deadline=FOREVER):
    return [
        waiter
        for _ in range(count)
        for name in names
        for waiter in queue.submit(Waiter(name, work, deadline), now).granted
    ]


def serve(queue, running, rounds, work=10.0):
    """Finish the oldest running request in each round; return the work granted by account."""
    totals = dict.fromkeys(WEIGHTS, 0.0)
    running = list(running)
    for step in range(rounds):
        for waiter in queue.finish(running.pop(0), 1.0 + step).granted:
            totals[waiter.account] += waiter.work
            running.append(waiter)
    return totals


def test_busy_accounts_share_by_weight():
    queue = make_queue()
    totals = serve(queue, submit_many(queue, "abc", 200), 200)
    assert totals["c"] == pytest.approx(2 * totals["a"], rel=0.05)
    assert totals["a"] == pytest.approx(totals["b"], rel=0.05)


def test_unused_share_goes_to_the_other_accounts():
    queue = make_queue()
    running = submit_many(queue, "ab", 100) + submit_many(queue, "c", 2)
    totals = serve(queue, running, 60)
    assert totals["a"] == pytest.approx(totals["b"], rel=0.1) and totals["c"] <= 20


def test_an_account_within_its_share_is_granted_at_once_in_a_surge():
    queue = make_queue()
    queue.submit(Waiter("a", 1.0, FOREVER), 0.0)
    submit_many(queue, "b", 300)
    changes = queue.submit(Waiter("a", 20.0, FOREVER), 0.0)
    assert [waiter.account for waiter in changes.granted] == ["a"]


events = st.lists(
    st.tuples(
        st.sampled_from(("submit", "finish", "leave", "review")),
        st.sampled_from("abc"),
        st.floats(1, 150),
    ),
    max_size=150,
)


def apply_events(queue, steps):
    """Apply events, then finish all requests; return those neither granted nor refused."""
    now, known, running = 0.0, [], []
    for action, name, number in steps:
        now += 0.1
        if action == "submit":
            known.append(Waiter(name, number, now + 20))
            changes = queue.submit(known[-1], now)
        elif action == "review":
            changes = queue.update_quota(WorkQuota(number, number), now)
        elif action == "finish" and running:
            changes = queue.finish(running.pop(0), now)
        elif action == "leave" and known:
            left = known.pop(0)
            running = [waiter for waiter in running if waiter is not left]
            changes = queue.finish(left, now)
        else:
            continue
        running += changes.granted
        known = [waiter for waiter in known if waiter not in changes.refused]
    while running:
        changes = queue.finish(running.pop(0), now)
        running += changes.granted
    return known


@given(events)
def test_every_request_ends_and_the_sums_return_to_zero(steps):
    queue = make_queue(max_waiting=8)
    apply_events(queue, steps)
    assert queue.waiting_count == 0 and not any(a.waiters for a in queue.accounts.values())
    assert queue.running_work == pytest.approx(0.0, abs=1e-6)
    assert all(a.waiting_work == pytest.approx(0.0, abs=1e-6) for a in queue.accounts.values())


def test_a_full_queue_refuses_the_newest_request_of_the_busiest_account():
    queue = make_queue(max_waiting=10)
    submit_many(queue, "b", 20)
    assert queue.waiting_count == 10
    changes = queue.submit(Waiter("a", 60.0, FOREVER), 0.0)
    assert [waiter.account for waiter in changes.refused] == ["b"]
    assert queue.waiting_count == 10


def measure_low_rate(queue):
    """Finish one request per second, so that the queue measures a low rate."""
    running = submit_many(queue, "a", 60)
    for second in range(20):
        running += queue.finish(running.pop(0), float(second)).granted
    return running


def test_a_request_that_would_miss_its_deadline_is_refused_with_a_retry_delay():
    queue = make_queue()
    measure_low_rate(queue)
    (refused,) = queue.submit(Waiter("a", 10.0, 25.0), 20.0).refused
    assert 5.0 < refused.retry_after < 120.0
    assert not queue.submit(Waiter("a", 10.0, 300.0), 20.0).refused


def test_waiting_requests_are_refused_as_soon_as_the_queue_slows_down():
    queue = make_queue()
    measure_low_rate(queue)
    late = Waiter("a", 10.0, 75.0)
    assert not queue.submit(late, 20.0).refused
    assert late in queue.update_quota(WorkQuota(100.0, 100.0), 45.0).refused


def test_usage_at_other_routers_lowers_the_local_fraction():
    usage = AccountUsage(10.0)
    usage.record("a", 100.0, 0.0)
    usage.record("b", 100.0, 0.0)
    usage.update_remote("other", {"a": 300.0}, 0.0)
    assert (usage.local_fraction("a", 0.0), usage.local_fraction("b", 0.0)) == (0.25, 1.0)
    assert usage.local_work(1.0).keys() == {"a", "b"}
    usage.update_remote("third", {}, 100.0)
    assert usage.local_fraction("a", 100.0) == 1.0 and usage.local_work(100.0) == {}


def test_a_queue_without_accounts_delays_requests_in_a_surge():
    queue = FairQueue(lambda name: 1.0)
    queue.quota = WorkQuota(100.0, 100.0)
    queue.submit(Waiter("all", 1.0, FOREVER), 0.0)
    for _ in range(300):
        queue.submit(Waiter("all", 10.0, FOREVER), 0.0)
    assert not queue.submit(Waiter("all", 20.0, FOREVER), 0.0).granted
