"""Which causes are quarantined, from the reports of crashes and answers alone."""

import pytest

from hickorylever.direct import crashes as crashes_module
from hickorylever.direct.crashes import CrashTracker
from hickorylever.direct.peer_protocol import CrashUpdate, Datagram
from hickorylever.direct.quarantine import CRASH_SENDS, Quarantine

# Reports in order: (number of the crash, causes) or causes that were answered.
CASES = [
    ("two crashes are too few", [(1, "ax"), (2, "ay")], ""),
    ("requests that share one part", [(1, "abx"), (2, "cby"), (3, "dbz")], "b"),
    ("copies of one request", [(1, "abx"), (2, "abx"), (3, "abx")], "x"),
    ("other requests lost beside it", [(1, "abx"), (1, "aco"), (2, "aby"), (3, "abz")], "b"),
    ("parts that always come together", [(1, "abx"), (2, "aby"), (3, "abz")], "b"),
    ("the deeper part is answered", ["b", (1, "abx"), (2, "aby"), (3, "abz")], "a"),
    ("all parts are answered", ["ab", (1, "abx"), (2, "aby"), (3, "abz")], ""),
    ("answered afterwards", [(1, "ax"), (2, "ay"), (3, "az"), "a"], ""),
    (
        "a popular part lost with two others",
        ["p", *((n, f"pb{n}") for n in range(4)), *((n, f"pc{n}") for n in range(4, 8))],
        "bc",
    ),
    (
        "one other request lost at every crash",
        [(n, c) for n in range(4) for c in ("so", f"b{n}")],
        "b",
    ),
    ("a crash reported by many routers", [(1, "bx"), (1, "by"), (1, "bz"), (2, "bw")], ""),
]


@pytest.mark.parametrize(
    ("reports", "quarantined"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_causes_in_quarantine(reports, quarantined):
    tracker = CrashTracker()
    for report in reports:
        if isinstance(report, str):
            tracker.record_answers(dict.fromkeys(report, 0.0))
        else:
            tracker.record_crash(report[0], report[1], 1.0)
    assert tracker.quarantine == frozenset(quarantined)


@pytest.mark.parametrize("popular", ["p", "ap", "abp"])
def test_a_request_lost_in_more_crashes_does_not_release_a_part(popular):
    tracker = CrashTracker()
    for number in range(4):
        tracker.record_crash(number, f"abc{number}", 0.0)
    assert tracker.quarantine == {"c"}
    for number in range(5):
        tracker.record_crash(number, popular, 1.0)
    assert "c" in tracker.quarantine


@pytest.mark.parametrize(("sent_after", "kept"), [(-0.1, True), (0.3, False), (9.0, True)])
def test_an_endpoint_that_answers_did_not_crash(sent_after, kept):
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(number, ["b"], 10.0)
    tracker.record_alive(1, 10.0 + sent_after)
    assert (tracker.quarantine == {"b"}) is kept


def test_quarantine_ends_some_time_after_the_last_crash():
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(number, ["b"], float(number))
    tracker.expire(2.0 + crashes_module.RETENTION_SECONDS)
    assert tracker.is_quarantined(["a", "b"])
    tracker.expire(2.1 + crashes_module.RETENTION_SECONDS)
    assert not tracker.is_quarantined(["a", "b"])
    assert tracker.crash_times == {}


@pytest.mark.parametrize("limit", ["MAX_SUSPECTS", "MAX_ANSWERED"])
def test_memory_is_bounded_and_the_quarantine_stays(limit, monkeypatch):
    monkeypatch.setattr(crashes_module, limit, 8)
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(number, ["b"], 0.0)
    for number in range(50):
        tracker.record_crash(number, [f"s{number}"], 0.0)
        tracker.record_answers(dict.fromkeys([f"a{number}"], 0.0))
    table = tracker.suspects if limit == "MAX_SUSPECTS" else tracker.answered
    assert len(table) == 8
    assert tracker.quarantine == {"b"}
    assert "b" in tracker.suspects


def test_a_router_that_saw_a_part_answered_says_so_to_one_that_suspects_it():
    first, second = Quarantine(), Quarantine()
    second.tracker.record_answers(dict.fromkeys(["a"], 0.0))
    for number in range(3):
        first.tracker.record_crash(number, ("a",), 1.0)
    assert first.tracker.quarantine == {"a"}
    second.apply(Datagram(1, **first.take_updates(1.0)), 1.0)
    assert second.tracker.quarantine == frozenset()
    first.apply(Datagram(1, **second.take_updates(1.0)), 1.0)
    assert first.tracker.quarantine == frozenset()


def test_reports_between_routers_do_not_prolong_a_quarantine():
    first, second = Quarantine(), Quarantine()
    for number in range(3):
        first.tracker.record_crash(number, ("b",), 0.0)
    for step in range(1, 300):
        now = step * 2.0
        second.apply(Datagram(1, **first.take_updates(now)), now)
        first.apply(Datagram(1, **second.take_updates(now)), now)
        assert second.tracker.quarantine == {"b"}
    for router in (first, second):
        router.tracker.expire(crashes_module.RETENTION_SECONDS + 0.1)
        assert router.tracker.quarantine == frozenset()


def test_each_crash_is_reported_a_few_times():
    quarantine = Quarantine()
    quarantine.crash_sends[CrashUpdate(1, ("b",))] = CRASH_SENDS
    sent = [quarantine.take_updates(0.0) for _ in range(CRASH_SENDS + 1)]
    assert [bool(updates) for updates in sent] == [True] * CRASH_SENDS + [False]


def test_reports_between_routers_do_not_prolong_the_time_for_which_an_answer_counts():
    first, second = Quarantine(), Quarantine()
    first.tracker.record_answers(dict.fromkeys(["b"], 0.0))
    step = crashes_module.RETENTION_SECONDS / 20
    for number in range(1, 24):
        now = number * step
        for router, other in ((first, second), (second, first)):
            router.tracker.record_crash(number, ("b",), now)
            router.crash_sends[CrashUpdate(number, ("b",))] = 1
            other.apply(Datagram(1, **router.take_updates(now)), now)
            router.apply(Datagram(1, **other.take_updates(now)), now)
    assert first.tracker.quarantine == second.tracker.quarantine == {"b"}


def test_all_causes_in_quarantine_are_reported_in_turn():
    quarantine = Quarantine()
    causes = {f"b{number}" for number in range(10)}
    for cause in causes:
        for number in range(3):
            quarantine.tracker.record_crash(hash((cause, number)), (cause,), 0.0)
    reported = set()
    for _ in range(3):
        reported |= {update.cause for update in quarantine.take_updates(0.0)["suspects"]}
    assert reported == causes
    assert quarantine.take_updates(0.0) == {}
