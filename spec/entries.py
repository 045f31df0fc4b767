"""Model of how routers learn of entries of the store, and of their removal.

Some routers list and watch the store, the others ask routers that announce a later change or other
entries. Answers may be long under way. Routers restart, the log of changes is short, and the store
may be restored once. A list or a complete answer replaces all entries at once.
"""

from typing import NamedTuple

from minicheck import Protocol

NAMES = ("a", "b")
UNKNOWN = (0, 0)
LOG_LENGTH = 2


class Change(NamedTuple):
    """A change of an entry, with its position as (era, revision)."""

    position: tuple[int, int]
    name: str
    deleted: bool


class Answer(NamedTuple):
    """What a router says to another one.

    :param content: all entries if `complete`, else the changes after `since`.
    :param entries: those that the answering router knows.
    :param asked: entries that the asking router knew.
    """

    complete: bool
    content: tuple
    since: tuple[int, int]
    as_of: tuple[int, int]
    latest: tuple[int, int]
    entries: tuple
    asked: tuple


class Router(NamedTuple):
    """One router.

    :param entries: names with their positions, sorted.
    :param as_of: position up to which all changes are known.
    :param latest: position of the latest known change, which is announced.
    :param log: latest changes, oldest first.
    :param start: position after which the log is complete.
    :param start_entries: entries at `start`, or None if they aren't known.
    :param listed: whether it knows all entries.
    :param watch: position from which it watches the store, or None.
    :param arriving: an answer that is under way, or None.
    """

    entries: tuple = ()
    as_of: tuple[int, int] = UNKNOWN
    latest: tuple[int, int] = UNKNOWN
    log: tuple = ()
    start: tuple[int, int] = UNKNOWN
    start_entries: tuple | None = None
    listed: bool = False
    watch: tuple[int, int] | None = None
    arriving: Answer | None = None


class State(NamedTuple):
    """The store and the routers.

    :param position: of the store.
    :param entries: of the store.
    :param history: changes of the store in this era.
    :param routers: the first `watching` of them may call the store.
    """

    position: tuple[int, int]
    entries: tuple
    history: tuple
    routers: tuple
    watching: int
    changes_left: int
    restarts_left: int
    lists_left: int
    restores_left: int


def initial(watching=1, others=2, changes=2, restarts=1, lists=2, restores=0) -> State:
    """Return a state in which all routers know the store, which has all names."""
    entries = tuple((name, (1, 1 + number)) for number, name in enumerate(NAMES))
    position = (1, 1 + len(NAMES))
    newest = entries[-1][1]
    router = Router(entries, position, newest, (), position, entries, True)
    routers = tuple(
        router._replace(watch=position if number < watching else None)
        for number in range(watching + others)
    )
    return State(position, entries, (), routers, watching, changes, restarts, lists, restores)


def follow_changes(entries: tuple, changes) -> tuple:
    """Return entries after changes."""
    known = dict(entries)
    for position, name, deleted in changes:
        if deleted:
            known.pop(name, None)
        else:
            known[name] = position
    return tuple(sorted(known.items()))


def restarted(router: Router, entries: tuple, as_of: tuple, variant: str) -> Router:
    """Return a router that knows all entries at a position, but no changes before it."""
    missing = bool({name for name, _ in router.entries} - {name for name, _ in entries})
    newest = max((position for _, position in entries), default=UNKNOWN)
    changed_at = as_of if missing else max(newest, (as_of[0], 0))
    latest = max(router.latest, changed_at)
    start = latest if variant == "log_from_newest_entry" else as_of
    if variant == "former":
        start = as_of = latest
    return router._replace(
        entries=entries,
        as_of=as_of,
        latest=latest,
        log=(),
        start=start,
        start_entries=entries,
        listed=True,
    )


def extended(router: Router, changes, as_of: tuple, variant: str) -> Router:
    """Return a router that has learned of all changes up to a position."""
    if variant not in ("late_answers", "former"):
        if as_of <= router.as_of:
            return router
        changes = [change for change in changes if Change(*change).position > router.as_of]
    log = (*router.log, *changes)
    dropped, kept = log[:-LOG_LENGTH], log[-LOG_LENGTH:]
    if dropped and variant != "dropped_changes":
        router = router._replace(start=Change(*dropped[-1]).position, start_entries=None)
    newest = as_of if variant == "former" else max((c[0] for c in changes), default=UNKNOWN)
    return router._replace(
        entries=follow_changes(router.entries, changes),
        as_of=max(as_of, router.as_of),
        latest=max(router.latest, newest),
        log=kept,
    )


def lacks(router: Router, other: Router, variant: str) -> bool:
    """Return whether a router asks another one, having heard what that one announces."""
    if not other.listed:
        return False
    if not router.listed or other.latest > router.latest:
        return True
    contradicts = other.latest == router.latest and other.entries != router.entries
    return contradicts and variant not in ("no_digest", "former")


def answer(asking: Router, answering: Router) -> Answer:
    """Return the answer of one router to the question of another."""
    complete, content, since = True, answering.entries, UNKNOWN
    if asking.listed and asking.as_of >= answering.start:
        since = min(asking.as_of, answering.as_of)
        content = tuple(c for c in answering.log if Change(*c).position > asking.as_of)
        complete = False
    elif asking.listed and asking.entries == answering.start_entries:
        complete, content, since = False, answering.log, answering.start
    return Answer(
        complete,
        content,
        since,
        answering.as_of,
        answering.latest,
        answering.entries,
        asking.entries,
    )


def received(router: Router, values: tuple, variant: str) -> Router:
    """Return a router that has applied an answer."""
    found = Answer(*values)
    if variant == "former":
        return received_formerly(router, found)
    if found.as_of <= router.as_of and variant != "late_answers":
        agreed = found.entries == router.entries
        announced = min(found.latest, router.as_of) if agreed else router.as_of
        return router._replace(latest=max(router.latest, announced))
    if found.complete:
        router = restarted(router, found.content, found.as_of, variant)
    else:
        if found.since > router.as_of:
            if found.asked != router.entries and variant != "changed_since_asked":
                return router
            router = router._replace(
                log=(), start=found.since, start_entries=router.entries, as_of=found.since
            )
        router = extended(router, found.content, found.as_of, variant)
    return router._replace(latest=max(router.latest, min(found.latest, found.as_of)))


def received_formerly(router: Router, found: Answer) -> Router:
    """Return a router of earlier releases, which had one position, that has applied an answer."""
    if router.listed and found.latest <= router.latest:
        return router
    if found.complete:
        router = restarted(router, found.content, found.latest, "former")
    else:
        router = extended(router, found.content, found.latest, "former")
    latest = max(router.latest, found.latest)
    return router._replace(as_of=latest, latest=latest)


def with_router(state: State, number: int, router: Router) -> State:
    """Return the state with one router replaced."""
    routers = list(state.routers)
    routers[number] = tuple(router)
    return state._replace(routers=tuple(routers))


def store_transitions(state: State):
    """Yield the changes of entries, writes of other objects and restores."""
    era, revision = state.position
    following = (era, revision + 1)
    if state.changes_left:
        changes_left = state.changes_left - 1
        yield "write", state._replace(position=following, changes_left=changes_left)
        present = dict(state.entries)
        for name in NAMES:
            change = tuple(Change(following, name, name in present))
            yield (
                f"change {name}",
                state._replace(
                    position=following,
                    entries=follow_changes(state.entries, [change]),
                    history=(*state.history, change),
                    changes_left=changes_left,
                ),
            )
    if state.restores_left:
        names = [name for name, _ in initial().entries]
        position = (era + 1, revision + 1)
        entries = tuple((name, (era + 1, 1 + number)) for number, name in enumerate(names))
        yield (
            "restore",
            state._replace(
                position=position,
                entries=entries,
                history=(),
                restores_left=state.restores_left - 1,
            ),
        )


def watching_transitions(state: State, number: int, router: Router, variant: str):
    """Yield the calls of the store by a router."""
    if state.lists_left or not router.listed or (router.watch or UNKNOWN) < (state.position[0], 0):
        after = router
        if state.position >= router.as_of:
            after = restarted(router, state.entries, state.position, variant)
        lists_left = max(0, state.lists_left - 1)
        following = with_router(state, number, after._replace(watch=state.position))
        yield f"list {number}", following._replace(lists_left=lists_left)
    if router.watch is not None and (state.position[0], 0) < router.watch < state.position:
        era, revision = state.position
        for until in range(router.watch[1] + 1, revision + 1):
            changes = [c for c in state.history if router.watch < c[0] <= (era, until)]
            after = extended(router, changes, (era, until), variant)
            after = after._replace(watch=(era, until))
            yield f"watch {number} {until}", with_router(state, number, after)


def router_transitions(state: State, number: int, variant: str):
    """Yield the steps of one router."""
    router = Router(*state.routers[number])
    if number < state.watching:
        yield from watching_transitions(state, number, router, variant)
    if router.arriving is None:
        for index, values in enumerate(state.routers):
            other = Router(*values)
            if index != number and lacks(router, other, variant):
                arriving = tuple(answer(router, other))
                yield (
                    f"ask {number} {index}",
                    with_router(state, number, router._replace(arriving=arriving)),
                )
    else:
        after = received(router._replace(arriving=None), router.arriving, variant)
        yield f"arrive {number}", with_router(state, number, after)
        yield f"lose {number}", with_router(state, number, router._replace(arriving=None))
    if state.restarts_left:
        following = with_router(state, number, Router())
        yield f"restart {number}", following._replace(restarts_left=state.restarts_left - 1)


def transitions(values: tuple, variant: str = "") -> list:
    """Return the labels and the following states of a state."""
    state = State(*values)
    steps = list(store_transitions(state))
    for number in range(len(state.routers)):
        steps += router_transitions(state, number, variant)
    return [(label, tuple(following)) for label, following in steps]


def told(values: dict, variant: str) -> bool:
    """Return whether all routers know the store's entries, unless some are still to be told.

    They are not while a router has a reason to ask, an answer is under way, or no router that
    watches the store has heard of its latest state.
    """
    routers = [Router(*router) for router in values["routers"]]
    current = [r for r in routers if r.listed and r.as_of == values["position"]]
    if not current or any(r.arriving is not None for r in routers):
        return True
    if any(lacks(a, b, variant) for a in routers for b in routers):
        return True
    return all(r.entries == values["entries"] for r in routers)


def claims_hold(values: dict) -> bool:
    """Return whether every router knows what its positions claim, in the store's present era.

    All entries are those at `as_of`, and what was announced is not beyond it.
    """
    era, _ = values["position"]
    first = tuple(initial().entries)
    if era > 1:
        return True
    for router in map(Router._make, values["routers"]):
        if not router.listed:
            continue
        changes = [c for c in values["history"] if Change(*c).position <= router.as_of]
        if router.entries != follow_changes(first, changes) or router.latest > router.as_of:
            return False
    return True


def entries(variant: str = "", **sizes) -> Protocol:
    """Return the model of how routers learn of entries and removals.

    :param variant: ``former`` selects the rule of earlier releases, with one position for all that
        a router claims; ``log_from_newest_entry``, ``no_digest``, ``late_answers``,
        ``changed_since_asked`` and ``dropped_changes`` break the present one. All of them must
        violate an invariant.
    :param sizes: arguments of :func:`initial`.
    """
    return Protocol(
        name="entries",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial(**sizes)),
        transitions=lambda values: transitions(values, variant),
        invariants={
            "told": lambda state: told(state, variant),
            "claims_hold": claims_hold,
        },
    )
