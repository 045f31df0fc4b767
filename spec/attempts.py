"""Model of one attempt between a router and a sidecar, with tombstones.

Transitions are named after the actions of `bench.simulation.ProtocolSimulation` and of
`decisions.attempts`. Messages are lost, delayed and duplicated; the sidecar may restart. A
hand-over and its duplicate travel on one connection, so neither outlives the restart after the
other was delivered.
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
    """The attempt as everybody together knows it.

    :param told: ``new``, ``waiting``, or what the caller was told.
    :param original: whether the hand-over is under way, `twin` its duplicate.
    :param joined: whether the sidecar will answer the router's newest connection.
    :param reply: under way to the router's newest connection.
    :param entry: state at the sidecar, empty when it is not remembered.
    :param age: of the stamp: 0 fresh, 1 too old to be admitted, 2 old enough to be forgotten.
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
    """Return the state with a reply on the newest connection, if anybody hears it."""
    return state._replace(reply=ran) if heard else state


def admit(state: State, variant: str, heard: bool) -> State:
    """Return the state after a hand-over was delivered."""
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
    """Return the state after the router's question was delivered."""
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
    """Return the state after a running attempt ended."""
    state = state._replace(entry=entry)
    return answer(state, RAN[entry], state.joined)._replace(joined=False)


def router_moves(state: State):
    """Yield what the router may do."""
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
    """Yield what may happen to messages."""
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
    """Yield what the sidecar, its endpoint and time may do."""
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
    """Return the model.

    :param variant: ``no_tombstone``, ``no_stamp``, ``forgotten_is_not_run``,
        ``known_is_not_run``, ``stale_is_not_run`` or ``any_incarnation`` for a broken protocol.
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
