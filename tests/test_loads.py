import pytest

from hickorylever.decisions.loads import (
    LoadTable,
    Mean,
    Usage,
    WorkEstimator,
    fresher,
    read_usage,
)
from hickorylever.records import Load

AGE = 5.0


def test_expired_reports_are_left_out():
    loads = LoadTable(AGE)
    loads.replace_groups({"g": ("a", "b")})
    loads.update(Load("a", 100.0, 1, time=0.0))
    loads.update(Load("b", 300.0, 1, time=4.0))
    assert loads.mean("g", 5.0) == 200.0
    assert loads.mean("g", 5.1) == 300.0
    assert loads.get("a") is None and loads.mean("g", 9.1) == 0.0


def test_a_mean_has_the_age_of_its_reports():
    loads = LoadTable(AGE)
    loads.replace_groups({"g": ("a", "b")})
    assert loads.mean_with_age("g", 0.0).members == 0
    loads.update(Load("a", 100.0, 1, time=1.0))
    loads.update(Load("b", 300.0, 1, time=3.0))
    assert loads.mean_with_age("g", 4.0) == Mean(200.0, 2.0, 2)


MEANS = [
    (Mean(1.0, 2.0, 3), Mean(9.0, 1.0, 3), 9.0),
    (Mean(1.0, 2.0, 3), Mean(9.0, 3.0, 3), 1.0),
    (Mean(1.0, 2.0, 3), Mean(9.0, 0.1, 2), 1.0),
    (Mean(1.0, 2.0, 3), Mean(), 1.0),
]


@pytest.mark.parametrize("local, received, work", MEANS)
def test_the_mean_with_fresher_reports_is_used(local, received, work):
    assert fresher(local, received).work == work


def test_an_older_report_never_replaces_a_newer_one():
    loads = LoadTable(AGE)
    assert loads.update(Load("a", 1.0, 1, time=2.0))
    assert not loads.update(Load("a", 9.0, 1, time=1.0))
    assert loads.get("a").work == 1.0


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


def test_estimates_follow_finished_requests_and_are_bounded():
    estimates = WorkEstimator(limit=2)
    before = estimates.estimate("a", "m", 4000, None)
    usage = read_usage(
        b'"usage":{"prompt_tokens":1000,"completion_tokens":40,'
        b'"prompt_tokens_details":{"cached_tokens":900}}'
    )
    for _ in range(60):
        estimates.learn("a", "m", 4000, usage)
    assert before == 1256.0
    assert 130 < estimates.estimate("a", "m", 4000, None) < 160
    assert estimates.estimate("a", "m", 4000, 8) < 115
    estimates.estimate("b", "m", 1, None), estimates.estimate("c", "m", 1, None)
    assert len(estimates.entries) == 2
