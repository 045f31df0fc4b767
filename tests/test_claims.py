import msgspec
import pytest

from hickorylever.decisions.claims import Action, Change, Claim, Head, Outcome, Shard


def claim(key=b"k", attempt="a", outcome=Outcome.OPEN, **more):
    return Claim(key, b"f", attempt, "e", "i", 0.0, outcome=outcome.value, **more)


def change(action, expected="", **more):
    return Change(action.value, claim(**more), expected)


class Store:
    """A head object with conditional writes, and segments that are never replaced."""

    def __init__(self):
        self.version = 0
        self.head = Head()
        self.segments = {}

    def put(self, write):
        if write.base != self.version:
            return False
        if write.sealed_segment is not None:
            name = write.head.segment_name(write.head.next_segment - 1)
            assert self.segments.setdefault(name, write.sealed_segment) == write.sealed_segment
        self.version += 1
        self.head = msgspec.msgpack.decode(msgspec.msgpack.encode(write.head), type=Head)
        return True

    def load(self, shard, now=0.0):
        names = {n: self.head.segment_name(n) for n in shard.missing_segments(self.head)}
        segments = {n: self.segments[name] for n, name in names.items()}
        shard.load(self.head, self.version, segments, now)


def new_shard(store, now=0.0, **more):
    shard = Shard(**{"segment_claims": 4, "max_segments": 3, "retention": 100.0, **more})
    store.load(shard, now)
    return shard


def commit_changes(store, shard, *changes, now=0.0):
    write = shard.prepare_write(list(changes), now)
    if write.needed:
        assert store.put(write)
        shard.commit(write, store.version, now)
    return [result and (result.attempt, result.outcome) for result in write.results]


CASES = [
    # The changes in order, and the attempt whose claim is in force after each.
    ([change(Action.CLAIM), change(Action.CLAIM, attempt="b")], ["a", "a"]),
    ([change(Action.CLAIM), change(Action.TAKE_OVER, "a", attempt="b")], ["a", "b"]),
    ([change(Action.CLAIM), change(Action.TAKE_OVER, "x", attempt="b")], ["a", "a"]),
    ([change(Action.TAKE_OVER, "x", attempt="b")], [None]),
    ([change(Action.RECORD, outcome=Outcome.RAN)], [None]),
    (
        [
            change(Action.CLAIM),
            change(Action.RECORD, outcome=Outcome.RAN),
            change(Action.TAKE_OVER, "a", attempt="b"),
            change(Action.RECORD, outcome=Outcome.UNKNOWN),
        ],
        ["a", "a", "a", "a"],
    ),
    (
        [
            change(Action.CLAIM),
            change(Action.RECORD, outcome=Outcome.UNKNOWN),
            change(Action.TAKE_OVER, "a", attempt="b"),
        ],
        ["a", "a", "a"],
    ),
]


@pytest.mark.parametrize("changes, expected", CASES)
@pytest.mark.parametrize("grouped", [True, False])
def test_claim_in_force(changes, expected, grouped):
    store = Store()
    shard = new_shard(store)
    if grouped:
        results = commit_changes(store, shard, *changes)
    else:
        results = [commit_changes(store, shard, one)[0] for one in changes]
    assert [result and result[0] for result in results] == expected


def test_paused_writer_cannot_claim_a_key_twice():
    store = Store()
    first, second = new_shard(store), new_shard(store)
    delayed = first.prepare_write([change(Action.CLAIM, attempt="late")], 0.0)
    assert commit_changes(store, second, change(Action.CLAIM, attempt="b")) == [("b", "open")]
    assert not store.put(delayed)
    store.load(first)
    assert commit_changes(store, first, change(Action.CLAIM, attempt="late")) == [("b", "open")]


def test_segments_keep_every_claim_for_a_new_router():
    store = Store()
    shard = new_shard(store, max_segments=100)
    for number in range(50):
        commit_changes(store, shard, change(Action.CLAIM, key=b"%d" % number))
    commit_changes(store, shard, change(Action.RECORD, key=b"0", outcome=Outcome.RAN))
    other = new_shard(store)
    assert other.claims_in_force == shard.claims_in_force and len(other.claims_in_force) == 50
    assert other.claims_in_force[b"0"].outcome == Outcome.RAN


def test_paused_writer_cannot_replace_a_sealed_segment():
    store = Store()
    paused, shard = new_shard(store), new_shard(store)
    for number in range(4):
        commit_changes(store, shard, change(Action.CLAIM, key=b"%d" % number))
    store.load(paused)
    old = paused.prepare_write([change(Action.CLAIM, key=b"x")], 0.0)
    commit_changes(store, shard, change(Action.CLAIM, key=b"y"))
    assert old.sealed_segment is not None
    assert not store.put(old)
    assert new_shard(store).claims_in_force == shard.claims_in_force


def test_full_shard_refuses_until_the_oldest_segment_has_aged():
    store = Store()
    shard = new_shard(store)
    claimed = 0
    while commit_changes(store, shard, change(Action.CLAIM, key=b"%d" % claimed))[0]:
        claimed += 1
    assert claimed == 4 * 4
    assert commit_changes(store, shard, change(Action.CLAIM, key=b"0")) == [("a", "open")]
    newcomer = new_shard(store, now=500.0)
    assert commit_changes(store, newcomer, change(Action.CLAIM, key=b"x"), now=599.0) == [None]
    assert commit_changes(store, newcomer, change(Action.CLAIM, key=b"x"), now=601.0) == [
        ("a", "open")
    ]
    assert b"0" not in newcomer.claims_in_force


def test_ages_survive_a_change_of_writers():
    store = Store()
    shard = new_shard(store, now=0.0, max_segments=9)
    for number in range(5):
        commit_changes(store, shard, change(Action.CLAIM, key=b"%d" % number), now=0.0)
    commit_changes(store, shard, change(Action.CLAIM, key=b"y"), now=60.0)
    other = new_shard(store, now=7000.0)
    assert other.first_retained(7039.0) == 0
    assert other.first_retained(7041.0) == 1
