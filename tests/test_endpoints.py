import msgspec
import pytest
from direct_harness import entry

from hickorylever.direct.endpoints import FAILURE_HALF_LIFE, RETURN_TIME, Directory
from hickorylever.direct.news import short
from hickorylever.direct.records import Listing, StoredObject
from hickorylever.platform import decode_endpoint


def stored(name, revision=1, deleted=False, **more):
    return StoredObject(name, revision, msgspec.json.encode(entry(80, **more)), deleted)


def directory(*names):
    made = Directory(decode_endpoint)
    made.take_listing(Listing(tuple(stored(name) for name in names), 10), 0.0, False)
    return made


def names(made):
    return [endpoint.name for endpoint in made.pool("engines")]


def test_changes_add_replace_and_remove():
    made = directory("a", "b")
    made.take_changes([stored("c", 11), stored("a", 12, deleted=True)], 12, 1.0)
    assert names(made) == ["b", "c"]
    assert made.newest == 12
    assert made.by_number[short("c")].name == "c"


@pytest.mark.parametrize(("patient", "kept"), [(True, ["a", "b"]), (False, ["a"])])
def test_an_entry_that_a_list_lacks(patient, kept):
    made = directory("a", "b")
    made.take_listing(Listing((stored("a"),), 20), 5.0, patient)
    assert names(made) == kept
    made.expire(5.0 + RETURN_TIME - 0.1)
    assert names(made) == kept
    made.expire(5.0 + RETURN_TIME)
    assert names(made) == ["a"]


def test_an_entry_that_comes_back_in_time_stays():
    made = directory("a", "b")
    made.take_listing(Listing((stored("a"),), 20), 5.0, True)
    made.take_changes([stored("b", 21)], 21, 6.0)
    made.expire(9.0)
    assert names(made) == ["a", "b"]


def test_a_restart_under_the_same_name_starts_anew():
    made = directory("a")
    made.endpoints["a"].running = 3
    made.take_changes([stored("a", 11, **{"born": 5})], 11, 1.0)
    assert made.endpoints["a"].running == 0


def test_an_entry_that_cannot_be_read_is_left_out_and_told():
    told = []
    made = Directory(decode_endpoint, told.append)
    odd = StoredObject("b", 1, b"\xff\x00")
    made.take_listing(Listing((stored("a"), odd), 10), 0.0, False)
    assert names(made) == ["a"]
    assert len(told) == 1


def test_an_endpoint_is_left_out_longer_after_each_failed_connection():
    made = directory("a")
    endpoint = made.endpoints["a"]
    endpoint.pause(0.0)
    first = endpoint.paused_until
    endpoint.pause(first)
    assert endpoint.paused_until - first > first
    endpoint.answered(False, 9.0)
    endpoint.pause(10.0)
    assert endpoint.paused_until == 10.0 + first


def test_failures_are_forgotten_in_time():
    endpoint = directory("a").endpoints["a"]
    for _ in range(20):
        endpoint.answered(True, 10.0)
    assert endpoint.failures(10.0) > 0.9
    assert endpoint.failures(10.0 + 10 * FAILURE_HALF_LIFE) < 0.01


@pytest.mark.parametrize(
    ("prefill", "heard", "now", "silent"),
    [
        (0.0, 0.0, 10.3, False),
        (0.0, 0.0, 10.6, True),
        (40000.0, 0.0, 10.6, False),
        (0.0, 10.5, 10.6, False),
    ],
)
def test_silence_counts_while_work_is_under_way(prefill, heard, now, silent):
    endpoint = directory("a").endpoints["a"]
    assert not endpoint.silent(now)
    endpoint.begin(prefill, 10.0)
    endpoint.heard = heard
    assert endpoint.silent(now) is silent
