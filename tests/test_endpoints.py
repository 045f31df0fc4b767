import msgspec
import pytest
from direct_harness import entry

from hickorylever.direct.directory import MISSING_GRACE_SECONDS, Directory
from hickorylever.direct.endpoints import FAILURE_HALF_LIFE_SECONDS
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.position import Position
from hickorylever.direct.records import Listing, StoredObject
from hickorylever.platform import decode_endpoint


def at(revision, era=0):
    return Position(era, revision)


def stored(name, revision=1, deleted=False, era=0, **more):
    return StoredObject(name, at(revision, era), msgspec.json.encode(entry(80, **more)), deleted)


def make_directory(*names):
    directory = Directory(decode_endpoint)
    directory.apply_listing(Listing(tuple(stored(name) for name in names), at(10)), 0.0, False)
    return directory


def names(directory):
    return [endpoint.name for endpoint in directory.pool("engines")]


def test_changes_add_replace_and_remove():
    directory = make_directory("a", "b")
    directory.apply_changes([stored("c", 11), stored("a", 12, deleted=True)], at(12), 1.0)
    assert names(directory) == ["b", "c"]
    assert directory.latest == at(12)
    assert directory.by_hash[name_hash("c")].name == "c"


def test_a_restart_does_not_lift_a_rate_limit():
    """The soak saw 22 requests in 4 s at an endpoint that took 2 a second and had restarted."""
    directory = make_directory("a")
    directory.endpoints["a"].limit_rate(2.0, 1, 0.0)
    directory.apply_changes([stored("a", 11, born=5)], at(11), 1.0)
    assert directory.endpoints["a"].entry.started_ms == 5
    assert directory.endpoints["a"].rate_limit.rate == 2.0


@pytest.mark.parametrize(("keep_missing", "kept"), [(True, ["a", "b"]), (False, ["a"])])
def test_an_entry_missing_from_a_list(keep_missing, kept):
    directory = make_directory("a", "b")
    directory.apply_listing(Listing((stored("a"),), at(20)), 5.0, keep_missing)
    assert names(directory) == kept
    directory.expire(5.0 + MISSING_GRACE_SECONDS - 0.1)
    assert names(directory) == kept
    directory.expire(5.0 + MISSING_GRACE_SECONDS)
    assert names(directory) == ["a"]


def test_a_second_list_does_not_shorten_the_grace_period():
    """A router hears of a restore from another router, and then lists the store itself."""
    directory = make_directory("a", "b")
    restored = Listing((stored("a", era=1),), at(5, 1))
    directory.apply_listing(restored, 5.0, True)
    directory.apply_listing(restored, 5.2, False)
    assert names(directory) == ["a", "b"]
    directory.expire(5.0 + MISSING_GRACE_SECONDS)
    assert names(directory) == ["a"]


def test_an_entry_renewed_within_the_grace_period_stays():
    directory = make_directory("a", "b")
    directory.apply_listing(Listing((stored("a"),), at(20)), 5.0, True)
    directory.apply_changes([stored("b", 21)], at(21), 6.0)
    directory.expire(9.0)
    assert names(directory) == ["a", "b"]


def test_a_restarted_endpoint_has_no_requests_in_flight():
    directory = make_directory("a")
    directory.endpoints["a"].running = 3
    directory.apply_changes([stored("a", 11, **{"born": 5})], at(11), 1.0)
    assert directory.endpoints["a"].running == 0


def test_a_malformed_entry_is_left_out_and_reported():
    errors = []
    directory = Directory(decode_endpoint, errors.append)
    malformed = StoredObject("b", at(1), b"\xff\x00")
    directory.apply_listing(Listing((stored("a"), malformed), at(10)), 0.0, False)
    assert names(directory) == ["a"]
    assert len(errors) == 1


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "engine.example:80", "10.0.0.1", ":80"],
)
def test_an_entry_without_a_usable_address_is_left_out(address):
    """Connecting to it would raise an unexpected error or wait for a name to be looked up."""
    errors = []
    directory = Directory(decode_endpoint, errors.append)
    directory.apply_listing(Listing((stored("a", address=address),), at(10)), 0.0, False)
    assert names(directory) == []
    assert len(errors) == 1


def test_each_failed_connection_lengthens_the_pause():
    directory = make_directory("a")
    endpoint = directory.endpoints["a"]
    endpoint.pause(0.0)
    first = endpoint.paused_until
    endpoint.pause(first)
    assert endpoint.paused_until - first > first
    endpoint.record_answer(False, 9.0)
    endpoint.pause(10.0)
    assert endpoint.paused_until == 10.0 + first


def test_the_failure_rate_decays():
    endpoint = make_directory("a").endpoints["a"]
    for _ in range(20):
        endpoint.record_answer(True, 10.0)
    assert endpoint.failure_rate(10.0) > 0.9
    assert endpoint.failure_rate(10.0 + 10 * FAILURE_HALF_LIFE_SECONDS) < 0.01


@pytest.mark.parametrize(
    ("prefill", "last_byte_at", "now", "silent"),
    [
        (0.0, 0.0, 10.3, False),
        (0.0, 0.0, 10.6, True),
        (40000.0, 0.0, 10.6, False),
        (0.0, 10.5, 10.6, False),
    ],
)
def test_only_a_busy_endpoint_can_be_silent(prefill, last_byte_at, now, silent):
    endpoint = make_directory("a").endpoints["a"]
    assert not endpoint.silent(now)
    endpoint.add_request(prefill, 10.0)
    endpoint.last_byte_at = last_byte_at
    assert endpoint.silent(now) is silent
