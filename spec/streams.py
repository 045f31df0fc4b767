"""Model of a stream that its caller takes up while the versions of a service come and go.

Two routers learn of the endpoints' versions, tell each other which version began the stream, write
it to the store, and may be cut off from each other and from the store, end alone or together and
start again. Steps are named after what :mod:`hickorylever.direct.resumption`, `stream_reports`,
`stream_records` and `registration` do.

Assumed: routers in contact hear at once that another one has learned of a change (their datagrams
say so). Routers wait before they begin streams at a version that is new to the service, until
those in contact have learned of it, the others have noticed that they are cut off, and the store
holds the version. Only at the first start of all do streams begin before the store holds one.
Versions come and go at any moment, also while no router runs.
"""

from typing import NamedTuple

from minicheck import Protocol

ROUTERS = (0, 1)
VERSIONS = (1, 2)
MAX_CHANGES = 2
NONE = frozenset()
# Routers take a store without versions for one that has never had any.
TRUSTING_VARIANTS = ("no_facts", "mixed_only", "trust_empty_store")


class Router(NamedTuple):
    """What a router knows.

    :param alive: whether its process runs.
    :param contact: whether it reaches the store and the other router.
    :param revision: of the latest change of the endpoints that it has learned of.
    :param heard: latest change of the endpoints that it knows of without its content.
    :param present: versions of the endpoints that it knows.
    :param departed: versions that have left lately, or that the store names.
    :param complete: whether it has learned what there was before its start, and while it was cut
        off.
    :param known: version that began the stream, or 0.
    :param told: whether it has told the other router of the stream.
    """

    alive: bool = True
    contact: bool = True
    revision: int = 1
    heard: int = 1
    present: frozenset = frozenset({1})
    departed: frozenset = NONE
    complete: bool = True
    known: int = 0
    told: bool = False


class State(NamedTuple):
    """The endpoints, the store, the routers and the stream.

    :param present: versions of the endpoints.
    :param revision: of the latest change of the endpoints.
    :param facts: versions of the service that the store holds.
    :param telling: a datagram on its way: its receiver and the version, or None.
    :param written: versions that wrote events of the stream.
    :param changes_left: changes of the endpoints that may still happen.
    :param kills_left: ends of routers that may still happen.
    :param cuts_left: cuts of routers that may still happen.
    :param needless: whether a stream was rejected at a router that could have known.
    :param stored: version that began the stream as the store's record says, or 0.
    :param together: whether routers end together rather than alone. Records are only needed then.
    :param all_ended: whether all routers have ended together since the record was written.
    """

    present: frozenset = frozenset({1})
    revision: int = 1
    facts: frozenset = NONE
    routers: tuple[Router, Router] = (Router(), Router())
    telling: tuple[int, int] | None = None
    written: frozenset = NONE
    changes_left: int = MAX_CHANGES
    kills_left: int = 1
    cuts_left: int = 1
    needless: bool = False
    stored: int = 0
    together: bool = False
    all_ended: bool = False


def possible(router: Router, variant: str = "") -> frozenset:
    """Return the versions that may have begun the stream, as far as a router knows."""
    return router.present if variant == "only_present" else router.present | router.departed


def is_current(state: State, number: int, variant: str = "") -> bool:
    """Return whether a router has learned of all changes of endpoints."""
    router = state.routers[number]
    return variant == "no_contact" or (router.contact and router.revision >= router.heard)


def only_version(state: State, number: int, variant: str = "") -> int:
    """Return the only version that can have begun the stream, or 0."""
    router = state.routers[number]
    versions = possible(router, variant)
    complete = router.complete or variant == "no_completeness"
    if len(versions) != 1 or not complete or not is_current(state, number, variant):
        return 0
    return min(versions)


def with_router(state: State, number: int, **changes) -> State:
    """Return the state with a router changed."""
    routers = list(state.routers)
    routers[number] = routers[number]._replace(**changes)
    return state._replace(routers=tuple(routers))


def endpoint_transitions(state: State, variant: str):
    """Yield the steps of the endpoints."""
    if not state.changes_left:
        return
    changed = state._replace(revision=state.revision + 1, changes_left=state.changes_left - 1)
    for version in VERSIONS:
        if version not in state.present:
            yield f"appear {version}", changed._replace(present=state.present | {version})
        elif state.present - {version}:
            yield f"leave {version}", changed._replace(present=state.present - {version})


def end_all(state: State) -> State:
    """Return the state after all routers have ended together; datagrams on their way are lost."""
    for number in ROUTERS:
        state = with_router(state, number, alive=False, known=0, told=False)
    return state._replace(telling=None, all_ended=bool(state.stored))


def router_transitions(state: State, number: int, variant: str):
    """Yield the steps of one router beside those of the stream."""
    router = state.routers[number]
    if not router.alive:
        started = Router(True, True, state.revision, state.revision, state.present, NONE, False)
        yield f"start {number}", with_router(state, number, **started._asdict())
        return
    if state.kills_left:
        killed = state._replace(kills_left=state.kills_left - 1)
        if not state.together:
            yield f"kill {number}", with_router(killed, number, alive=False, known=0, told=False)
        elif number == 0:
            yield "kill all", end_all(killed)
    if not router.contact:
        yield f"heal {number}", with_router(state, number, contact=True, heard=state.revision)
        return
    if state.cuts_left:
        cut = state._replace(cuts_left=state.cuts_left - 1)
        complete = router.complete and variant in ("no_gap", "no_contact")
        yield f"cut {number}", with_router(cut, number, contact=False, complete=complete)
    if router.revision < state.revision:
        departed = router.departed | (router.present - state.present)
        learned = with_router(
            state, number, revision=state.revision, present=state.present, departed=departed
        )
        for other in ROUTERS:
            if state.routers[other].contact:
                learned = with_router(learned, other, heard=state.revision)
        yield f"learn {number}", learned
    vouched = bool(state.facts) or variant in TRUSTING_VARIANTS
    if not router.complete and is_current(state, number) and vouched:
        departed = router.departed | state.facts
        known = router.known if variant == "complete_before_load" else router.known or state.stored
        listed = with_router(state, number, departed=departed, complete=True, known=known)
        yield f"list {number}", listed
    versions = possible(router)
    stores = router.complete and (len(versions) > 1 or variant != "mixed_only")
    if stores and not state.facts >= versions and variant != "no_facts":
        yield f"store {number}", state._replace(facts=state.facts | versions)


def settled(state: State, number: int, variant: str) -> frozenset:
    """Return the versions at which a router begins streams."""
    known = [
        router.present
        for router in (state.routers[number], *state.routers)
        if variant != "no_wait" and router.alive and router.contact
    ]
    settled = state.present.intersection(state.routers[number].present, *known)
    return settled & state.facts if state.facts and variant != "no_store_wait" else settled


def stream_transitions(state: State, number: int, variant: str):
    """Yield the steps of the stream at one router."""
    router, other = state.routers[number], state.routers[1 - number]
    if not router.alive:
        return
    if not state.written:
        for version in settled(state, number, variant):
            began = with_router(state, number, known=version, told=False)
            yield f"begin {version} at {number}", began._replace(written=frozenset({version}))
            if variant == "told_at_dispatch" and other.alive and state.telling is None:
                told = with_router(state, number, told=True)
                for later in settled(state, number, variant):
                    retried = told._replace(
                        telling=(1 - number, version), written=frozenset({later})
                    )
                    yield f"begin {version}, {later} at {number}", retried
            if variant == "stored_at_dispatch" and state.together and router.contact:
                for later in settled(state, number, variant):
                    retried = with_router(state, number, known=later)
                    retried = retried._replace(stored=version, written=frozenset({later}))
                    yield f"begin {version}, {later} at {number}", retried
        return
    reaches = router.contact and other.alive and other.contact
    certain = only_version(state, number, variant)
    if router.known and not router.told and not certain and reaches and state.telling is None:
        told = with_router(state, number, told=True)
        yield f"tell {number}", told._replace(telling=(1 - number, router.known))
    unstored = state.together and state.kills_left and not state.stored
    if unstored and router.known and not certain and router.contact:
        began = max(state.present) if variant == "stored_present" else router.known
        yield f"record {number}", state._replace(stored=began)
    yield resume(state, number, variant)


def resume(state: State, number: int, variant: str) -> tuple[str, State]:
    """Return the label and the state after a caller takes up the stream at a router."""
    router, other = state.routers[number], state.routers[1 - number]
    asked = router.contact and other.alive and other.contact and other.known
    version = router.known or only_version(state, number, variant) or (asked and other.known)
    if variant == "any_version":
        version = max(router.present)
    if not version:
        loaded = state.all_ended and router.complete and router.contact
        needless = state.needless or bool(asked) or loaded
        return f"reject {number}", state._replace(needless=needless)
    if version not in router.present & state.present:
        return f"gone {number}", state
    resumed = with_router(state, number, known=version)
    return f"resume {number}", resumed._replace(written=state.written | {version})


def transitions(values: tuple, variant: str = "") -> list:
    """Return the labels and the following states of a state."""
    state = State(*values)
    state = state._replace(routers=tuple(Router(*router) for router in state.routers))
    steps = list(endpoint_transitions(state, variant))
    for number in ROUTERS:
        steps += router_transitions(state, number, variant)
        steps += stream_transitions(state, number, variant)
    if state.telling is not None:
        receiver, version = state.telling
        arrived = state._replace(telling=None)
        steps.append(("lose", arrived))
        if state.routers[receiver].alive:
            steps.append((f"arrive {receiver}", with_router(arrived, receiver, known=version)))
    return [
        (label, tuple(following._replace(routers=tuple(map(tuple, following.routers)))))
        for label, following in steps
    ]


def streams(variant: str = "", together: bool = False) -> Protocol:
    """Return the model of a stream that is taken up.

    :param variant: ``any_version``, ``only_present``, ``no_contact``, ``no_completeness``,
        ``no_facts``, ``mixed_only``, ``trust_empty_store``, ``no_store_wait``, ``no_gap``,
        ``no_wait``, ``told_at_dispatch``, ``stored_at_dispatch``, ``stored_present`` or
        ``complete_before_load`` selects a broken protocol, which must violate an invariant.
    :param together: whether routers end together rather than alone.
    """
    initial = State(together=together, cuts_left=0 if variant and together else 1)
    return Protocol(
        name=f"streams {variant}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(initial._replace(routers=tuple(map(tuple, initial.routers)))),
        transitions=lambda values: transitions(values, variant),
        invariants={
            "one_version": lambda state: len(state["written"]) <= 1,
            "none_needlessly_rejected": lambda state: not state["needless"],
        },
    )
