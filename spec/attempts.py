"""Model of one attempt between a router and a sidecar, with tombstones.

Transitions are named after the actions of `bench.world.World` and of `decisions.attempts`.
Messages may be lost, delayed and duplicated, and the sidecar may restart. A hand-over and its
duplicate use the same connection: once one of them has been delivered, a restart drops the other.
"""

from typing import NamedTuple

from minicheck import Protocol

ENDED = ("refused", "cancelled", "finished", "crashed")
RAN = {
    "refused": "no",
    "cancelled": "no",
    "admitted": "unknown",
    "running": "unknown",
    "finished": "yes",
    "crashed": "unknown",
}


class State(NamedTuple):
    """Combined state of the caller, the router, the messages in flight and the sidecar.

    :param told: ``new``, ``waiting``, or the execution status reported to the caller: ``no``,
        ``yes`` or ``unknown``.
    :param original: whether the hand-over is in flight.
    :param twin: whether a duplicate of the hand-over is in flight.
    :param delivered: whether a hand-over has reached the sidecar.
    :param asked: whether a query for the attempt's state is in flight.
    :param joined: whether the sidecar sends its reply to the router's newest connection.
    :param first: whether the router still uses the connection of the hand-over.
    :param reply: execution status in flight to the router's newest connection, empty for none.
    :param entry: state in the sidecar's attempt table, empty if there is no entry.
    :param restarted: whether the sidecar has restarted with a new incarnation.
    :param age: of the attempt's clock sample: 0 fresh, 1 too old for admission, 2 older than the
        tombstone lifetime.
    :param executed: number of times that an endpoint has run the attempt.
    """

    told: str = "new"
    original: bool = False
    twin: bool = False
    delivered: bool = False
    asked: bool = False
    joined: bool = False
    first: bool = True
    reply: str = ""
    entry: str = ""
    restarted: bool = False
    age: int = 0
    executed: int = 0


def answer(state: State, ran: str, heard: bool) -> State:
    """Return the state with a reply in flight, if the router still listens for it."""
    return state._replace(reply=ran) if heard else state


def admit(state: State, variant: str, heard: bool) -> State:
    """Return the state after the sidecar has received a hand-over."""
    state = state._replace(delivered=True)
    if state.restarted and variant != "any_incarnation":
        entry = state.entry or "refused"
        return answer(state._replace(entry=entry), "no", heard)
    if state.entry:
        ran = "no" if variant == "known_is_not_run" else RAN[state.entry]
        return answer(state, ran, heard)
    if state.age > 0 and variant != "no_stamp":
        if state.age == 2 and variant != "stale_is_not_run":
            return answer(state, "unknown", heard)
        return answer(state._replace(entry="refused"), "no", heard)
    return state._replace(entry="admitted", joined=state.joined or heard)


def ask(state: State, variant: str) -> State:
    """Return the state after the sidecar has received the router's query."""
    state = state._replace(asked=False)
    if state.restarted:
        return state._replace(reply="unknown")
    if state.entry in ("admitted", "running"):
        return state._replace(joined=True)
    if state.entry:
        return state._replace(reply=RAN[state.entry])
    if state.age == 2 and variant != "forgotten_is_not_run":
        return state._replace(reply="unknown")
    entry = "" if variant == "no_tombstone" else "cancelled"
    return state._replace(reply="no", entry=entry)


def end(state: State, entry: str) -> State:
    """Return the state after a running attempt has ended."""
    state = state._replace(entry=entry)
    return answer(state, RAN[entry], state.joined)._replace(joined=False)


def router_moves(state: State):
    """Yield the transitions of the router."""
    if state.told == "new":
        yield "hand_over", state._replace(told="waiting", original=True)
    if state.told != "waiting":
        return
    again = {"asked": True, "joined": False, "first": False, "reply": ""}
    if not state.asked:
        yield "ask", state._replace(**again)
    if state.reply:
        yield "deliver_reply", state._replace(told=state.reply, reply="", joined=False)
        yield "lose reply", state._replace(reply="")
    yield (
        "give_up",
        state._replace(told="unknown", asked=False, joined=False, first=False, reply=""),
    )


def message_moves(state: State, variant: str):
    """Yield the transitions of messages in flight."""
    if state.original:
        heard = state.first and state.told == "waiting"
        yield "deliver_hand_over", admit(state._replace(original=False), variant, heard)
        yield "lose", state._replace(original=False)
        if not state.twin and not state.delivered:
            yield "duplicate", state._replace(twin=True)
    if state.twin:
        yield "deliver_hand_over copy", admit(state._replace(twin=False), variant, False)
        yield "lose copy", state._replace(twin=False)
    if state.asked:
        yield "deliver_ask", ask(state, variant)


def sidecar_moves(state: State):
    """Yield the transitions of the sidecar, its endpoint and the clock."""
    if state.entry == "admitted":
        yield "start", state._replace(entry="running", executed=state.executed + 1)
    if state.entry == "running":
        yield "finish", end(state, "finished")
        yield "crash", end(state, "crashed")
    if state.entry in ENDED and state.age == 2:
        yield "expire", state._replace(entry="")
    if state.age < 2:
        yield "pass_time", state._replace(age=state.age + 1)
    if not state.restarted:
        lost = {"original": False, "twin": False} if state.delivered else {}
        yield (
            "restart_sidecar",
            state._replace(restarted=True, entry="", joined=False, **lost),
        )


def attempts(variant: str = "") -> Protocol:
    """Return the model of one attempt.

    :param variant: ``no_tombstone``, ``no_stamp``, ``forgotten_is_not_run``,
        ``known_is_not_run``, ``stale_is_not_run`` or ``any_incarnation`` selects a broken
        protocol, which must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        moves = [*router_moves(state), *message_moves(state, variant), *sidecar_moves(state)]
        return [(label, tuple(following)) for label, following in moves]

    return Protocol(
        name="attempts",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "not_run_is_true": lambda d: d["told"] != "no" or not d["executed"],
            "run_is_true": lambda d: d["told"] != "yes" or d["executed"] == 1,
            "runs_once": lambda d: d["executed"] <= 1,
        },
    )
