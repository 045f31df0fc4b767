"""The model of what routers know of endpoints' entries, and the program compared with it."""

import random
from types import SimpleNamespace

import msgspec
import pytest
from direct_harness import entry
from models import assert_holds, refuted
from walks import follow

from hickorylever.direct import change_log
from hickorylever.direct.change_log import ChangeLog
from hickorylever.direct.directory import Directory
from hickorylever.direct.position import UNKNOWN, KnownState, Position
from hickorylever.direct.records import EntriesAnswer, Listing, StoredObject
from hickorylever.platform import decode_endpoint
from spec.entries import LOG_LENGTH, State, answer, entries, initial, transitions
from spec.entries import Router as ModelRouter

SPEC = msgspec.json.encode(entry(80))
LATE_SECONDS = 1e9
ONE_WATCHES = {"watching": 1, "others": 1, "changes": 3, "restarts": 1, "lists": 1}
ALL_WATCH = {"watching": 2, "others": 0, "changes": 3, "restarts": 0, "lists": 1}
TWO_ASK = {"watching": 1, "others": 2, "changes": 2, "restarts": 1, "lists": 0}
RESTORED = {"watching": 1, "others": 1, "changes": 2, "restarts": 1, "lists": 1, "restores": 1}
LARGE = {"watching": 2, "others": 2, "changes": 6, "restarts": 2, "lists": 3, "restores": 1}
BROKEN_VARIANTS = {
    "former": (ONE_WATCHES, {"told", "claims_hold"}),
    "log_from_newest_entry": (ONE_WATCHES, {"claims_hold"}),
    "no_digest": (ONE_WATCHES, {"told"}),
    "late_answers": (ONE_WATCHES, {"told", "claims_hold"}),
    "changed_since_asked": (ALL_WATCH, {"claims_hold"}),
    "dropped_changes": (ONE_WATCHES, {"told", "claims_hold"}),
}
WALK_COUNT = 400
SETTLING_STEPS = 60


@pytest.mark.parametrize("sizes", [ONE_WATCHES, ALL_WATCH, TWO_ASK, RESTORED])
def test_invariants_hold(sizes):
    assert_holds(entries(**sizes))


@pytest.mark.parametrize("variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(variant):
    sizes, invariants = BROKEN_VARIANTS[variant]
    assert refuted(entries(variant, **sizes)) == invariants


def position(values):
    return Position(*values)


def stored(change):
    values, name, deleted = change
    return StoredObject(name, position(values), SPEC, deleted)


def listing(items, values):
    objects = tuple(stored((at, name, False)) for name, at in items)
    return Listing(objects, position(values))


class Implementation:
    """The program's directories, with a store and a network that the walk controls."""

    def __init__(self, start):
        self.simulation = SimpleNamespace(violations=[])
        self.model = start
        self.directories = [Directory(decode_endpoint) for _ in start.routers]
        self.listed = [True] * len(start.routers)
        self.arriving = [None] * len(start.routers)
        for directory, values in zip(self.directories, start.routers, strict=True):
            router = ModelRouter(*values)
            directory.apply_listing(listing(router.entries, router.as_of), 0.0, False)

    def known(self, number):
        directory = self.directories[number]
        digest = directory.digest if self.listed[number] else None
        return KnownState(endpoints=directory.latest, endpoints_digest=digest)

    def list(self, number):
        number = int(number)
        found = listing(self.model.entries, self.model.position)
        self.directories[number].apply_listing(found, 0.0, False)
        self.directories[number].expire(LATE_SECONDS)
        self.listed[number] = True

    def watch(self, number, until):
        router = ModelRouter(*self.model.routers[int(number)])
        end = self.model.position[0], int(until)
        changes = [stored(c) for c in self.model.history if router.watch < c[0] <= end]
        self.directories[int(number)].apply_changes(changes, position(end), 0.0)

    def ask(self, number, index):
        number, index = int(number), int(index)
        asking, answering = self.directories[number], self.directories[index]
        if self.listed[number]:
            known, other = self.known(number), self.known(index)
            assert known.is_behind(other) or known.contradicts(other)
        lacking = None
        if asking.log.as_of != UNKNOWN:
            lacking = answering.log.changes_since(asking.log.as_of, asking.digest)
        self.arriving[number] = EntriesAnswer(
            tuple(answering.stored_objects() if lacking is None else lacking.changes),
            lacking is None,
            answering.log.as_of,
            answering.latest,
            UNKNOWN if lacking is None else lacking.since,
            answering.digest,
            asking.digest,
        )

    def arrive(self, number):
        number = int(number)
        found = self.arriving[number]
        self.directories[number].apply_answer(found, 0.0)
        self.directories[number].expire(LATE_SECONDS)
        self.listed[number] |= found.complete
        self.arriving[number] = None

    def lose(self, number):
        self.arriving[int(number)] = None

    def restart(self, number):
        number = int(number)
        self.directories[number] = Directory(decode_endpoint)
        self.listed[number] = False
        self.arriving[number] = None

    def take(self, label):
        name, *arguments = label.split()
        if hasattr(self, name):
            getattr(self, name)(*arguments)
        enabled = dict(transitions(tuple(self.model)))
        self.model = State(*enabled[label])

    def state(self):
        return self


def log_state(log: ChangeLog):
    changes = [(change.position, change.name, change.deleted) for change in log.changes]
    return log.as_of, log.latest, log.start, changes


def comparable(state):
    """Return what the model and the program have to agree on."""
    if isinstance(state, Implementation):
        return [
            (
                sorted((name, stored.position) for name, stored in directory.objects.items()),
                log_state(directory.log),
                state.listed[number],
            )
            for number, directory in enumerate(state.directories)
        ]
    return [
        (
            [(name, position(at)) for name, at in router.entries],
            (
                position(router.as_of),
                position(router.latest),
                position(router.start),
                [(position(at), name, deleted) for at, name, deleted in router.log],
            ),
            router.listed,
        )
        for router in map(ModelRouter._make, state.routers)
    ]


@pytest.mark.parametrize("sizes", [ONE_WATCHES, ALL_WATCH, LARGE])
def test_the_program_follows_the_model(sizes, monkeypatch):
    """The model proves nothing about a program that does something else."""
    monkeypatch.setattr(change_log, "CHANGE_LOG_LENGTH", LOG_LENGTH)
    start = initial(**sizes)
    labels = follow(
        transitions,
        lambda: Implementation(start),
        lambda *values: State(*values) if values else start,
        comparable,
        random.Random(50),
        WALK_COUNT,
        (5, 60),
    )
    assert labels >= {"change", "write", "list", "watch"}


def test_routers_in_touch_stop_asking(monkeypatch):
    """Routers that contradict each other would otherwise ask for ever."""
    protocol = entries(**LARGE)
    rng = random.Random(51)
    for _ in range(WALK_COUNT):
        state = initial(**LARGE)
        for _ in range(rng.randrange(5, 60)):
            enabled = transitions(tuple(state))
            if not enabled:
                break
            label, following = rng.choice(enabled)
            state = State(*following)
            fields = state._asdict()
            assert all(check(fields) for check in protocol.invariants.values()), label
        for _ in range(SETTLING_STEPS):
            steps = [
                (label, following)
                for label, following in transitions(tuple(state))
                if label.startswith(("ask", "arrive", "watch"))
            ]
            if not steps:
                break
            state = State(*rng.choice(steps)[1])
        assert not steps


def test_an_answer_of_the_model_names_what_was_asked():
    """`changed_since_asked` relies on it."""
    asking, answering = (ModelRouter(*values) for values in initial(**ONE_WATCHES).routers)
    assert answer(asking, answering).asked == asking.entries
