import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever.direct.budget import SharedRetryBudget

RATIO = 0.2
ALLOWANCE = 58.0
WINDOW_SECONDS = 10.0


def test_share_of_allowance():
    budget = SharedRetryBudget(RATIO, ALLOWANCE, WINDOW_SECONDS)
    budget.router_count = 5
    taken = sum(budget.withdraw("s", 0.0) for _ in range(100))
    assert taken == int(SharedRetryBudget.USABLE_RATIO * ALLOWANCE / 5)
    assert not budget.withdraw("s", WINDOW_SECONDS - 0.1)
    assert budget.withdraw("s", WINDOW_SECONDS + 0.1)


@given(
    st.integers(1, 6),
    st.lists(st.tuples(st.floats(0, 60), st.integers(0, 5), st.booleans()), max_size=400),
)
def test_fleet_stays_within_budget(routers, steps):
    budgets = [SharedRetryBudget(RATIO, ALLOWANCE, WINDOW_SECONDS) for _ in range(routers)]
    requests, retries = [], []
    for now, number, retry in sorted(steps):
        budget = budgets[number % routers]
        budget.router_count = routers
        if retry and budget.withdraw("s", now):
            retries.append(now)
        elif not retry:
            budget.record_request("s", now)
            requests.append(now)
        within = [time for time in retries if now - WINDOW_SECONDS < time <= now]
        asked = [time for time in requests if now - WINDOW_SECONDS < time <= now]
        before = [
            time for time in requests if now - 2 * WINDOW_SECONDS < time <= now - WINDOW_SECONDS
        ]
        limit = RATIO * (len(asked) + len(before)) + ALLOWANCE
        assert len(within) <= limit


@pytest.mark.parametrize(("requests", "allowed"), [(0, 0), (100, 16)])
def test_requests_add_to_budget(requests, allowed):
    budget = SharedRetryBudget(RATIO, 0.0, WINDOW_SECONDS)
    for _ in range(requests):
        budget.record_request("s", 1.0)
    assert sum(budget.withdraw("s", 2.0) for _ in range(50)) == allowed
    assert not budget.withdraw("other", 2.0)
