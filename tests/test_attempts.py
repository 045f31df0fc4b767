import pytest

from hickorylever.decisions.attempts import Attempts, State
from hickorylever.exceptions import Kind, Ran
from hickorylever.records import Attempt


def attempt(name="a", incarnation="i", work=10.0, budget=1.0):
    return Attempt(name, "e", incarnation, budget, work)


REFUSALS = [
    (attempt(incarnation="other"), Kind.WRONG_INCARNATION),
    (attempt(budget=0.0), Kind.DEADLINE),
    (attempt(work=95.0), Kind.OVERLOADED),
]


@pytest.mark.parametrize("second, kind", REFUSALS)
def test_refused_attempts_leave_a_tombstone(second, kind):
    table = Attempts("i", 10.0)
    assert table.admit(attempt("first"), 100.0, 0.0) is None
    assert table.admit(second, 100.0, 0.0).kind is kind
    assert table.entries["a"].state is State.REFUSED
    assert table.admit(attempt(), 1000.0, 1.0).kind is Kind.CANCELLED


def test_cancel_before_arrival_refuses_the_late_attempt():
    table = Attempts("i", 10.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.NO
    assert table.admit(attempt(), 100.0, 1.0).kind is Kind.CANCELLED
    assert not table.start("a", 1.0)


def test_cancel_of_a_running_attempt_is_unknown():
    table = Attempts("i", 10.0)
    table.admit(attempt(), 100.0, 0.0)
    assert table.start("a", 0.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.UNKNOWN
    assert table.finish("a", 0.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.YES
    assert (table.work, table.running) == (0.0, 0)
