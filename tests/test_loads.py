import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever.decisions.loads import (
    Estimates,
    Loads,
    Mean,
    Usage,
    cap,
    fresher,
    read_usage,
)
from hickorylever.records import Load

MULTIPLE, FLOOR, AGE = 1.25, 100.0, 5.0


def test_reports_over_the_age_count_nowhere():
    loads = Loads(AGE)
    loads.arrange({"g": ("a", "b")})
    loads.note(Load("a", 100.0, 1, time=0.0))
    loads.note(Load("b", 300.0, 1, time=4.0))
    assert loads.mean("g", 5.0) == 200.0
    assert loads.mean("g", 5.1) == 300.0
    assert loads.get("a") is None and loads.mean("g", 9.1) == 0.0


def test_a_mean_has_the_age_of_its_reports():
    loads = Loads(AGE)
    loads.arrange({"g": ("a", "b")})
    assert loads.aged_mean("g", 0.0).members == 0
    loads.note(Load("a", 100.0, 1, time=1.0))
    loads.note(Load("b", 300.0, 1, time=3.0))
    assert loads.aged_mean("g", 4.0) == Mean(200.0, 2.0, 2)


MEANS = [
    (Mean(1.0, 2.0, 3), Mean(9.0, 1.0, 3), 9.0),
    (Mean(1.0, 2.0, 3), Mean(9.0, 3.0, 3), 1.0),
    (Mean(1.0, 2.0, 3), Mean(9.0, 0.1, 2), 1.0),
    (Mean(1.0, 2.0, 3), Mean(), 1.0),
]


@pytest.mark.parametrize("own, told, work", MEANS)
def test_the_mean_of_the_younger_reports_counts(own, told, work):
    assert fresher(own, told).work == work


def test_an_older_report_never_replaces_a_newer_one():
    loads = Loads(AGE)
    assert loads.note(Load("a", 1.0, 1, time=2.0))
    assert not loads.note(Load("a", 9.0, 1, time=1.0))
    assert loads.get("a").work == 1.0


steps = st.lists(
    st.tuples(
        st.sampled_from(("admit", "finish", "report", "wait", "join")),
        st.integers(0, 4),
        st.floats(1, 400),
    ),
    max_size=120,
)


class Peers:
    """Sidecars that admit by the reports that have reached them, in the order of the steps."""

    def __init__(self, bounded):
        self.bounded = bounded
        self.now = 0.0
        self.names = ["0", "1", "2"]
        self.held = {name: [] for name in "01234"}
        self.tables = {name: Loads(AGE) for name in "01234"}
        for table in self.tables.values():
            table.arrange({"peers": "01234"})
        self.sent = {}

    def known_mean(self, name):
        """The definition: own work now, and each peer's last report of at most the age."""
        reports = {k: v for k, v in self.sent.get(name, {}).items() if v[1] >= self.now - AGE}
        reports[name] = (sum(self.held[name]), self.now)
        return sum(work for work, _ in reports.values()) / len(reports)

    def admit(self, name, work):
        held = sum(self.held[name])
        self.tables[name].note(Load(name, held, len(self.held[name]), time=self.now))
        limit = cap(self.tables[name].mean("peers", self.now), 1, MULTIPLE, FLOOR)
        if self.bounded and self.held[name] and held + work > limit:
            return
        within = held + work <= max(FLOOR, MULTIPLE * self.known_mean(name)) + 1e-6
        self.held[name].append(work)
        assert within or len(self.held[name]) == 1

    def finish(self, name, work):
        if self.held[name]:
            self.held[name].pop()

    def report(self, name, work):
        for other in self.names:
            if other != name:
                held = sum(self.held[name])
                self.tables[other].note(Load(name, held, 1, time=self.now))
                self.sent.setdefault(other, {})[name] = (held, self.now)

    def wait(self, name, work):
        self.now += work / 100

    def join(self, name, work):
        self.names = sorted(set(self.names) ^ {name} | {"0"})

    def play(self, plan):
        for action, number, work in plan:
            getattr(self, action)(str(number), work)


@given(steps)
def test_nothing_is_admitted_above_the_bound_in_any_order(plan):
    Peers(bounded=True).play(plan)


def test_the_bound_check_fails_without_the_bound():
    with pytest.raises(AssertionError):
        Peers(bounded=False).play([("admit", 0, 90.0)] * 3)


TAILS = [
    (b'{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2}}', Usage(9, 2)),
    (b'data: {"usage": {"prompt_tokens":9}}\n\ndata: [DONE]\n\n', Usage(9)),
    (b'"usage":{"prompt_tokens":', None),
    (b'"usage":null', None),
    (b'"usage":' + b"{" * 5000, None),
    (b"no report", None),
]


@pytest.mark.parametrize("tail, usage", TAILS)
def test_usage_is_read_from_the_end_of_an_answer(tail, usage):
    assert read_usage(tail) == usage


def test_estimates_follow_finished_requests_and_stay_few():
    estimates = Estimates(limit=2)
    before = estimates.expect("a", "m", 4000, None)
    usage = read_usage(
        b'"usage":{"prompt_tokens":1000,"completion_tokens":40,'
        b'"prompt_tokens_details":{"cached_tokens":900}}'
    )
    for _ in range(60):
        estimates.learn("a", "m", 4000, usage)
    assert before == 1256.0
    assert 130 < estimates.expect("a", "m", 4000, None) < 160
    assert estimates.expect("a", "m", 4000, 8) < 115
    estimates.expect("b", "m", 1, None), estimates.expect("c", "m", 1, None)
    assert len(estimates.entries) == 2
