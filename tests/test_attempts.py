import pytest

from hickorylever.decisions.attempts import AttemptTable, State
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
    table = AttemptTable("i", 10.0)
    assert table.admit(attempt("first"), 100.0, 0.0) is None
    assert table.admit(second, 100.0, 0.0).kind is kind
    assert table.entries["a"].state is State.REFUSED
    assert table.admit(attempt(), 1000.0, 1.0).kind is Kind.CANCELLED


def test_cancel_before_arrival_refuses_the_late_attempt():
    table = AttemptTable("i", 10.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.NO
    assert table.admit(attempt(), 100.0, 1.0).kind is Kind.CANCELLED
    assert not table.start("a", 1.0)


def test_cancel_of_a_running_attempt_is_unknown():
    table = AttemptTable("i", 10.0)
    table.admit(attempt(), 100.0, 0.0)
    assert table.start("a", 0.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.UNKNOWN
    assert table.finish("a", 0.0)
    assert table.cancel("a", 0.0, 0.0) is Ran.YES
    assert (table.work, table.running) == (0.0, 0)


def test_second_delivery_of_an_admitted_attempt_is_not_reported_as_not_run():
    table = AttemptTable("i", 10.0)
    assert table.admit(attempt(), 100.0, 0.0) is None
    assert table.admit(attempt(), 100.0, 0.0).ran is Ran.UNKNOWN
    assert table.start("a", 0.0)


def test_late_delivery_of_an_expired_attempt_is_not_reported_as_not_run():
    table = AttemptTable("i", 10.0)
    table.admit(attempt(), 100.0, 0.0)
    table.start("a", 0.0)
    table.finish("a", 0.0)
    table.expire(10.1)
    assert table.admit(attempt(), 100.0, 10.1).ran is Ran.UNKNOWN


STAMPS = [(0.0, 5.0, None), (0.0, 5.1, Kind.WRONG_INCARNATION), (1.0, 0.0, Kind.WRONG_INCARNATION)]


@pytest.mark.parametrize("stamp, now, kind", STAMPS)
def test_stamp_out_of_range_is_refused(stamp, now, kind):
    table = AttemptTable("i", 10.0)
    late = Attempt("a", "e", "i", 1.0, 1.0, stamp)
    refusal = table.admit(late, 100.0, now)
    assert (refusal and refusal.kind) == kind


def test_expired_attempt_is_never_reported_as_not_run():
    table = AttemptTable("i", 10.0)
    table.admit(attempt(), 100.0, 0.0)
    table.start("a", 0.0)
    table.finish("a", 1.0)
    assert table.expire(11.1) == ["a"]
    assert table.cancel("a", 11.1, 0.0) is Ran.UNKNOWN
    assert table.admit(attempt(), 100.0, 11.1).kind is Kind.WRONG_INCARNATION
