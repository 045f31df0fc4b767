"""What a router may claim to know of the endpoints' entries, and what it answers with."""

import msgspec
import pytest
from direct_harness import entry

from hickorylever.direct.change_log import CHANGE_LOG_LENGTH, ChangeLog, entries_digest
from hickorylever.direct.directory import MISSING_GRACE_SECONDS, Directory
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.position import UNKNOWN, KnownState, Position
from hickorylever.direct.records import EntriesAnswer, Listing, StoredObject
from hickorylever.direct.state_pulls import StateQuestion, parse_question
from hickorylever.exceptions import ContentError
from hickorylever.platform import decode_endpoint

REMOVED_AT = 11


def at(revision, era=1):
    return Position(era, revision)


def stored(name, revision, deleted=False, **more):
    return StoredObject(name, at(revision), msgspec.json.encode(entry(80, **more)), deleted)


def listed(position, **revisions):
    """Return a directory that has listed entries, given with their revisions."""
    directory = Directory(decode_endpoint)
    objects = tuple(stored(name, revision) for name, revision in revisions.items())
    directory.apply_listing(Listing(objects, at(position)), 0.0, False)
    return directory


def ask(asking, answering):
    """Return what a router answers to the question of another, as the state pulls do."""
    lacking = answering.log.changes_since(asking.log.as_of, asking.digest)
    complete = lacking is None
    return EntriesAnswer(
        tuple(answering.stored_objects() if complete else lacking.changes),
        complete,
        answering.log.as_of,
        answering.latest,
        UNKNOWN if complete else lacking.since,
        answering.digest,
        asking.digest,
    )


def pull(asking, answering, now=1.0):
    asking.apply_answer(ask(asking, answering), now)


def known(directory):
    return KnownState(endpoints=directory.latest, endpoints_digest=directory.digest)


def lacks(one, other):
    """Return whether a router asks another one, having heard what it knows."""
    return known(one).is_behind(known(other)) or known(one).contradicts(known(other))


def settle(*directories):
    """Let routers ask each other until none has a reason to, and return whether that happens."""
    for _ in range(9):
        pairs = [(a, b) for a in directories for b in directories if lacks(a, b)]
        if not pairs:
            return True
        for asking, answering in pairs:
            pull(asking, answering)
    return False


def endpoint_names(directory):
    directory.expire(1.0 + MISSING_GRACE_SECONDS)
    return sorted(directory.endpoints)


def stalled():
    """Return a router that has missed the removal of `gone`."""
    return listed(10, gone=4, new=5)


def started_from_another():
    """Return a router that started after the removal and took all entries from another one."""
    watching = stalled()
    watching.apply_changes([stored("gone", REMOVED_AT, deleted=True)], at(REMOVED_AT), 0.0)
    started = Directory(decode_endpoint)
    pull(started, watching)
    return started


def started_from_the_store():
    """Return a router that started after the removal and listed the store."""
    return listed(REMOVED_AT + 1, new=5)


@pytest.mark.parametrize("start", [started_from_another, started_from_the_store])
def test_a_router_that_started_tells_one_that_stood_still_of_a_removal(start):
    """The log of one that started held no removal but claimed to reach back before it."""
    behind, started = stalled(), start()
    assert settle(behind, started)
    assert endpoint_names(behind) == endpoint_names(started) == ["new"]


def test_a_removal_is_passed_on_by_a_router_that_has_missed_it():
    """Both later positions and other entries must spread from router to router."""
    first, second, started = stalled(), stalled(), started_from_the_store()
    assert settle(second, started)
    assert settle(first, second)
    assert endpoint_names(first) == ["new"]


def test_a_list_without_news_makes_no_router_ask():
    """All routers would pull from each other whenever one of them starts."""
    watching, started = listed(10, a=4, b=5), listed(30, a=4, b=5)
    assert not lacks(watching, started)
    assert not lacks(started, watching)


def test_a_change_after_a_list_without_news_is_sent_alone():
    """The position of the list is later than the one that is asked about."""
    asking, listing = listed(10, a=4, b=5), listed(30, a=4, b=5)
    listing.apply_changes([stored("b", 31, deleted=True)], at(31), 0.0)
    answer = ask(asking, listing)
    assert not answer.complete
    assert [change.name for change in answer.objects] == ["b"]
    asking.apply_answer(answer, 1.0)
    assert sorted(asking.endpoints) == ["a"]
    assert asking.log.start == at(30)


def test_an_answer_is_left_out_if_the_entries_changed_since_the_question():
    """It starts from entries that the router had then."""
    asking, listing = listed(10, a=4), listed(30, a=4)
    listing.apply_changes([stored("b", 31)], at(31), 0.0)
    answer = ask(asking, listing)
    asking.apply_changes([stored("c", 12)], at(12), 0.0)
    asking.apply_answer(answer, 1.0)
    assert asking.log.as_of == at(12)
    assert sorted(asking.endpoints) == ["a", "c"]


def test_an_answer_that_was_long_under_way_replaces_nothing_later():
    """The answer holds the former process of `a`, and `b`, which has been removed since."""
    asking, answering = listed(10, a=4), listed(10, a=4)
    answering.apply_changes([stored("a", 11, born=11), stored("b", 12)], at(12), 0.0)
    late = ask(asking, answering)
    later = [stored("a", 11, born=11), stored("b", 12), stored("a", 13, born=13)]
    asking.apply_changes([*later, stored("b", 14, deleted=True)], at(14), 0.0)
    asking.apply_answer(late, 1.0)
    assert asking.endpoints["a"].entry.started_ms == 13
    assert sorted(asking.endpoints) == ["a"]


def test_a_change_that_a_list_already_holds_in_a_later_state_is_left_out():
    """The second page of a list may be later than its position, from which the watch goes on."""
    directory = listed(10, a=14)
    directory.apply_changes([stored("a", 12, deleted=True)], at(12), 0.0)
    assert sorted(directory.endpoints) == ["a"]
    assert not directory.departures.was_removed_before(name_hash("a"), 0, 2)


def test_a_list_claims_no_more_than_its_position():
    """An entry of a later page may be later than changes that are still unknown."""
    assert listed(10, a=14).latest == at(10)


def test_a_change_of_an_unreadable_entry_is_passed_on():
    """A router that takes changes from another one would keep the readable entry before it."""
    asking, answering = listed(10, a=4), listed(10, a=4)
    answering.apply_changes([StoredObject("a", at(11), b"\xff")], at(11), 0.0)
    assert settle(asking, answering)
    assert not asking.endpoints


def test_an_entry_that_is_missing_for_a_while_counts_as_removed():
    """Routers that keep it and routers that never had it would contradict each other."""
    keeping = listed(10, a=4, b=5)
    keeping.apply_listing(Listing((stored("a", 4),), at(20)), 1.0, keep_missing=True)
    assert "b" in keeping.endpoints
    assert keeping.digest == listed(20, a=4).digest


@pytest.mark.parametrize(
    ("position", "digest", "since", "revisions"),
    [
        (10, None, 10, [11, 12]),
        (11, None, 11, [12]),
        (12, None, 12, []),
        (40, None, 12, []),  # Known from elsewhere; nothing is claimed beyond the log's end.
        (9, None, None, None),
        (9, 7, 10, [11, 12]),
        (9, 8, None, None),
    ],
)
def test_changes_since_a_position(position, digest, since, revisions):
    """Every answer names from where to where it is complete."""
    log = ChangeLog()
    log.restart(at(10), 7)
    log.extend([stored("a", 11), stored("b", 12)], at(12))
    found = log.changes_since(at(position), digest)
    assert (found and found.since) == (since and at(since))
    assert (found and [change.position.revision for change in found.changes]) == revisions


def test_a_full_log_begins_after_the_change_that_it_dropped():
    log = ChangeLog()
    log.restart(at(1), 7)
    last = CHANGE_LOG_LENGTH + 2
    log.extend([stored("a", revision) for revision in range(2, last + 1)], at(last))
    assert log.start == at(2)
    assert log.changes_since(at(1)) is None
    assert log.changes_since(at(1), 7) is None
    assert len(log.changes_since(at(2)).changes) == CHANGE_LOG_LENGTH


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ([], [stored("a", 1)]),
        ([stored("a", 1)], [stored("a", 2)]),
        ([stored("a", 1), stored("b", 2)], [stored("b", 1), stored("a", 2)]),
    ],
)
def test_digests_tell_entries_apart(one, other):
    assert entries_digest(one) != entries_digest(other)
    assert entries_digest(one) == entries_digest(list(reversed(one)))


@pytest.mark.parametrize("digest", [None, 0, 2**32 - 1])
def test_questions_keep_their_content(digest):
    question = StateQuestion(KnownState(at(3), 8, at(4), at(5), digest), at(9))
    assert parse_question(question.target().partition("?")[2]) == question


def test_a_question_of_an_earlier_release_is_about_the_latest_change():
    query = "configuration=1.3&version=8&endpoints=1.4&evacuations=0.0"
    assert parse_question(query) == StateQuestion(KnownState(at(3), 8, at(4)), at(4))


@pytest.mark.parametrize("query", ["", "version=1", "version=x&endpoints=1.4", "digest=-1"])
def test_a_malformed_question_is_rejected(query):
    with pytest.raises(ContentError):
        parse_question(query)
