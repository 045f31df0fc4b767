import pytest

from hickorylever.decisions.budgets import RetryBudget

SHARES = [(0.1, 20.0), (0.5, 1.0), (0.0, 3.0)]


@pytest.mark.parametrize("share, burst", SHARES)
def test_retries_stay_a_share_of_the_traffic(share, burst):
    budget = RetryBudget(share, burst)
    taken = 0
    for _ in range(1000):
        budget.deposit()
        taken += budget.withdraw() + budget.withdraw()
    assert burst <= taken <= burst + share * 1000
