"""What a router remembers of streams and of the versions of endpoints, without a network."""

import pytest

from hickorylever.direct import streams
from hickorylever.direct.streams import StreamRecord, StreamTable, StreamUpdate, stream_key
from hickorylever.direct.versions import (
    SETTLE_SECONDS,
    STREAM_LIFETIME_SECONDS,
    VersionHistory,
    VersionUpdate,
)


def record(version="v1", endpoint=7, expires_at=100.0):
    return StreamRecord(endpoint, version, expires_at)


def test_key_depends_on_the_account_the_service_and_the_request():
    parts = [("a", "s", "1"), ("b", "s", "1"), ("a", "t", "1"), ("a", "s", "2"), ("as", "", "1")]
    assert len({stream_key(*names) for names in parts}) == len(parts)


@pytest.mark.parametrize(("now", "version"), [(99.9, "v1"), (100.0, None)])
def test_stream_is_known_until_its_caller_does_not_take_it_up_any_more(now, version):
    table = StreamTable()
    table.add(1, record())
    assert table.version(1, now) == version
    assert table.update(1, now) == (StreamUpdate(1, 7, "v1", 1) if version else None)
    table.expire(now)
    assert bool(table.records) is bool(version)


def test_earliest_streams_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(streams, "MAX_STREAMS", 3)
    table = StreamTable()
    for key in (1, 2, 3, 1, 4):
        table.add(key, record())
    assert [table.version(key, 0.0) for key in (1, 2, 3, 4)] == ["v1", None, "v1", "v1"]


def test_only_the_streams_of_the_endpoint_are_forgotten():
    table = StreamTable()
    table.add(1, record(endpoint=7))
    table.add(2, record(endpoint=8))
    table.forget_endpoint(7)
    assert [table.version(key, 0.0) for key in (1, 2)] == [None, "v1"]


def history_of(*steps):
    """Return a history of one service after steps of versions and the time."""
    history = VersionHistory()
    for versions, now in steps:
        history.observe({"s": frozenset(versions.split())} if versions else {}, now)
    return history


LATER = STREAM_LIFETIME_SECONDS
POSSIBLE = [
    ([("v1", 0.0)], 1000.0, {"v1"}),
    ([("v1", 0.0), ("v1 v2", 10.0)], 11.0, {"v1", "v2"}),
    ([("v1", 0.0), ("v1 v2", 10.0), ("v2", 20.0)], 20.0 + LATER, {"v1", "v2"}),
    ([("v1", 0.0), ("v1 v2", 10.0), ("v2", 20.0)], 21.1 + LATER, {"v2"}),
    ([("v1", 0.0), ("v2", 10.0), ("v3", 20.0)], 30.0, {"v1", "v2", "v3"}),
    ([("v1", 0.0), ("v2", 10.0), ("v1", 20.0)], 30.0, {"v1", "v2"}),
    ([("v1", 0.0), ("", 10.0), ("v2", 20.0)], 30.0, {"v1", "v2"}),
]


@pytest.mark.parametrize(("steps", "now", "versions"), POSSIBLE)
def test_versions_that_may_have_begun_a_stream(steps, now, versions):
    history = history_of(*steps)
    assert history.possible("s", now) == versions
    assert history.possible("another", now) == set()
    mixed = [("s", version) for version in sorted(versions)] if len(versions) > 1 else []
    assert history.mixed(now) == mixed
    history.expire(now)
    assert history.possible("s", now) == versions


@pytest.mark.parametrize(("steps", "now", "versions"), POSSIBLE)
def test_versions_are_handed_on_to_a_starting_router(steps, now, versions):
    starting = VersionHistory()
    starting.add(history_of(*steps).updates(now), 500.0)
    assert starting.possible("s", 500.0) == versions


def test_later_knowledge_of_a_version_counts():
    history = VersionHistory()
    for age in (5, 1, 50, -9):
        history.add([VersionUpdate("s", "v1", age)], 100.0)
    assert history.departed == {("s", "v1"): 100.0}


@pytest.mark.parametrize(
    ("steps", "now", "versions"),
    [
        ([("v1 v2", 0.0)], 0.0, set()),
        ([("v1", 0.0), ("v1 v2", 10.0)], 10.0, {"v2"}),
        ([("v1", 0.0), ("v1 v2", 10.0)], 10.0 + SETTLE_SECONDS, set()),
        ([("v1 v2", 0.0), ("v2", 10.0), ("v1 v2", 20.0)], 20.0, {"v1"}),
    ],
    ids=["at the start", "new", "settled", "back again"],
)
def test_new_versions_settle_before_streams_begin_there(steps, now, versions):
    assert history_of(*steps).unsettled("s", now) == versions
