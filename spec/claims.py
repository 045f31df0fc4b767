"""Model of claims on one key: two routers, each with one attempt at a sidecar of its own.

Transitions are named after the actions of `bench.simulation.ProtocolSimulation`. Writes are
delayed without bound, their replies are lost, outages drop them, sidecars restart and endpoints
fail. A router may pause anywhere, since every transition is optional.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_VERSION = 3
MAX_QUESTIONS = 2
RAN = {"cancelled": "no", "finished": "yes", "crashed": "unknown", "gone": "unknown"}


class Flight(NamedTuple):
    """A write on its way to the store. Equal late ones are one: at most the first is stored."""

    router: int
    base: int
    current: bool


class Side(NamedTuple):
    """One router's call, and the sidecar that its own attempt is for.

    :param phase: ``new``, ``waiting``, ``writing``, ``following`` or what the caller was told.
    :param known: version and attempt in force as last read, None when that is doubtful.
    :param expected: the attempt that the call wants to replace, 0 for none.
    :param target: the attempt that is followed.
    :param sent: whether the hand-over is under way.
    :param entry: state of the attempt at its sidecar.
    """

    phase: str = "new"
    known: tuple[int, int] | None = None
    expected: int = 0
    target: int = 0
    sent: bool = False
    entry: str = ""
    ran: bool = False
    questions: int = 0


class State(NamedTuple):
    """Both routers and the store: its version and the attempt in force."""

    sides: tuple[Side, Side] = (Side(), Side())
    version: int = 0
    force: int = 0
    flights: frozenset[Flight] = frozenset()


def change(state: State, router: int, **fields) -> State:
    """Return a state with some fields of one side replaced."""
    sides = list(state.sides)
    sides[router - 1] = sides[router - 1]._replace(**fields)
    return state._replace(sides=tuple(sides))


def follow(state: State, router: int, force: int) -> State:
    """Return the state once a router knows which attempt is in force."""
    if force == router:
        return change(state, router, phase="following", target=router, sent=True, questions=0)
    return change(state, router, phase="following", target=force)


def accepts(side: Side) -> bool:
    """Tell whether a side's change fits the state that it knows."""
    return side.known[1] == side.expected


def begin_write(state: State, router: int, variant: str) -> State:
    """Let a router read if it has to, decide, and send a write if one is needed."""
    side = state.sides[router - 1]
    if side.known is None:
        state = change(state, router, known=(state.version, state.force))
        side = state.sides[router - 1]
    if not accepts(side):
        return follow(state, router, side.known[1])
    flight = Flight(router, side.known[0], True)
    state = state._replace(flights=state.flights | {flight})
    return change(state, router, phase="writing")


def land(state: State, flight: Flight, lost: bool, variant: str) -> State:
    """Let a write reach the store."""
    router = flight.router
    stored = flight.base == state.version or variant == "blind_write"
    state = state._replace(flights=state.flights - {flight})
    if stored:
        state = state._replace(version=state.version + 1, force=router)
    if lost or not flight.current:
        return state
    if stored:
        return follow(change(state, router, known=(state.version, router)), router, router)
    return change(state, router, phase="waiting", known=None)


def time_out(state: State, flight: Flight, variant: str) -> State:
    """Let a router take a reply for lost; the write may still land."""
    router = flight.router
    flights = state.flights - {flight} | {flight._replace(current=False)}
    state = state._replace(flights=flights)
    if variant == "reply_means_stored":
        return follow(state, router, router)
    return change(state, router, phase="waiting", known=None)


def ended(state: State, router: int, ran: str) -> State:
    """Let a call take the end of the attempt that it follows."""
    side = state.sides[router - 1]
    if ran != "no":
        return change(state, router, phase=ran)
    if side.target == router:
        return change(state, router, phase="no")
    return change(state, router, phase="waiting", expected=side.target)


def deliver_hand_over(state: State, attempt: int) -> State:
    """Let a sidecar admit and start an attempt, or refuse it."""
    side = state.sides[attempt - 1]
    state = change(state, attempt, sent=False)
    if not side.entry:
        return change(state, attempt, entry="running", ran=True)
    if side.phase == "following" and side.target == attempt and not side.questions:
        ran = "no" if side.entry == "gone" else RAN.get(side.entry, "unknown")
        return ended(state, attempt, ran)
    return state


def ask(state: State, router: int, variant: str) -> State:
    """Let a router ask the sidecar of the attempt that it follows."""
    side = state.sides[router - 1]
    entry = state.sides[side.target - 1].entry
    state = change(state, router, questions=side.questions + 1)
    if not entry:
        mark = "" if variant == "no_tombstone" else "cancelled"
        return ended(change(state, side.target, entry=mark), router, "no")
    if entry == "running":
        return state
    if entry == "gone" and variant == "gone_is_not_run":
        return ended(state, router, "no")
    return ended(state, router, RAN[entry])


def router_moves(state: State, router: int, variant: str):
    """Yield what one router may do."""
    side = state.sides[router - 1]
    if side.phase == "new":
        yield f"submit {router}", change(state, router, phase="waiting")
    if side.phase == "waiting" and state.version < MAX_VERSION:
        yield f"begin_write {router}", begin_write(state, router, variant)
    if side.phase == "waiting":
        yield f"claims_unavailable {router}", change(state, router, phase="no")
    if side.phase == "following" and side.questions < MAX_QUESTIONS:
        yield f"ask {router}", ask(state, router, variant)
    if side.phase == "following":
        yield f"give_up {router}", change(state, router, phase="unknown")


def sidecar_moves(state: State, attempt: int):
    """Yield what an attempt's sidecar and endpoint may do."""
    side = state.sides[attempt - 1]
    if side.sent:
        yield f"deliver_hand_over {attempt}", deliver_hand_over(state, attempt)
        yield f"lose {attempt}", change(state, attempt, sent=False)
    if side.entry == "running":
        yield f"finish {attempt}", change(state, attempt, entry="finished")
        yield f"crash {attempt}", change(state, attempt, entry="crashed")
    if side.entry != "gone":
        yield f"restart_sidecar {attempt}", change(state, attempt, entry="gone")


def store_moves(state: State, variant: str):
    """Yield what may happen to writes."""
    for flight in state.flights:
        late = "" if flight.current else f" late {flight.base}"
        name = f"{flight.router}{late}"
        if state.version < MAX_VERSION:
            yield f"land {name}", land(state, flight, False, variant)
            if not flight.current:
                continue
            yield f"lose_reply {name}", land(state, flight, True, variant)
        if flight.current:
            yield f"time_out {name}", time_out(state, flight, variant)


def orphan_moves(state: State):
    """Yield time-outs of routers whose write landed and whose reply was lost."""
    for router in (1, 2):
        writing = state.sides[router - 1].phase == "writing"
        if writing and not any(f.router == router and f.current for f in state.flights):
            yield f"time_out {router}", change(state, router, phase="waiting", known=None)


def claims(variant: str = "") -> Protocol:
    """Return the model.

    :param variant: ``blind_write``, ``reply_means_stored``, ``no_tombstone`` or
        ``gone_is_not_run`` for a broken protocol.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        moves = [*store_moves(state, variant), *orphan_moves(state)]
        for number in (1, 2):
            moves += [*router_moves(state, number, variant), *sidecar_moves(state, number)]
        return [(label, tuple(following)) for label, following in moves]

    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "runs_once": lambda d: sum(side.ran for side in d["sides"]) <= 1,
            "not_run_is_true": lambda d: all(
                not side.ran for side in d["sides"] if side.phase == "no"
            ),
            "run_is_true": lambda d: all(
                any(other.ran for other in d["sides"])
                for side in d["sides"]
                if side.phase == "yes"
            ),
        },
    )
