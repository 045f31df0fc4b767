"""Model of one attempt between a router and a sidecar, with tombstones.

Transitions are named after the actions of `bench.simulation.ProtocolSimulation` and of
`decisions.attempts`. Messages may be lost, delayed and duplicated, and the sidecar may restart. A
hand-over and its duplicate use the same connection: once one of them has been delivered, a restart
drops the other.
"""

from typing import NamedTuple

from minicheck import Protocol

FINAL_STATES = ("refused", "cancelled", "finished", "crashed")
RAN_BY_STATE = {
    "refused": "no",
    "cancelled": "no",
    "admitted": "unknown",
    "running": "unknown",
    "finished": "yes",
    "crashed": "unknown",
}


class State(NamedTuple):
    """Combined state of the caller, the router, the messages in flight and the sidecar.

    :param call_state: ``new``, ``waiting``, or the execution status reported to the caller:
        ``no``, ``yes`` or ``unknown``.
    :param hand_over_pending: whether the hand-over is in flight.
    :param duplicate_pending: whether a duplicate of the hand-over is in flight.
    :param delivered: whether a hand-over has reached the sidecar.
    :param query_pending: whether a query for the attempt's state is in flight.
    :param reply_expected: whether the sidecar sends its reply to the router's newest connection.
    :param first_connection: whether the router still uses the connection of the hand-over.
    :param reply: execution status in flight to the router's newest connection, empty for none.
    :param entry: state in the sidecar's attempt table, empty if there is no entry.
    :param restarted: whether the sidecar has restarted with a new incarnation.
    :param age: of the attempt's clock sample: 0 fresh, 1 too old for admission, 2 older than the
        tombstone lifetime.
    :param run_count: number of times that an endpoint has run the attempt.
    """

    call_state: str = "new"
    hand_over_pending: bool = False
    duplicate_pending: bool = False
    delivered: bool = False
    query_pending: bool = False
    reply_expected: bool = False
    first_connection: bool = True
    reply: str = ""
    entry: str = ""
    restarted: bool = False
    age: int = 0
    run_count: int = 0


def with_reply(state: State, ran: str, connected: bool) -> State:
    """Return the state with a reply in flight, if the router still listens for it."""
    return state._replace(reply=ran) if connected else state


def deliver_hand_over(state: State, variant: str, connected: bool) -> State:
    """Return the state after the sidecar has received a hand-over."""
    state = state._replace(delivered=True)
    if state.restarted and variant != "any_incarnation":
        entry = state.entry or "refused"
        return with_reply(state._replace(entry=entry), "no", connected)
    if state.entry:
        ran = "no" if variant == "known_is_not_run" else RAN_BY_STATE[state.entry]
        return with_reply(state, ran, connected)
    if state.age > 0 and variant != "no_stamp":
        if state.age == 2 and variant != "stale_is_not_run":
            return with_reply(state, "unknown", connected)
        return with_reply(state._replace(entry="refused"), "no", connected)
    return state._replace(entry="admitted", reply_expected=state.reply_expected or connected)


def deliver_ask(state: State, variant: str) -> State:
    """Return the state after the sidecar has received the router's query."""
    state = state._replace(query_pending=False)
    if state.restarted:
        return state._replace(reply="unknown")
    if state.entry in ("admitted", "running"):
        return state._replace(reply_expected=True)
    if state.entry:
        return state._replace(reply=RAN_BY_STATE[state.entry])
    if state.age == 2 and variant != "forgotten_is_not_run":
        return state._replace(reply="unknown")
    entry = "" if variant == "no_tombstone" else "cancelled"
    return state._replace(reply="no", entry=entry)


def end_attempt(state: State, entry: str) -> State:
    """Return the state after a running attempt has ended."""
    state = state._replace(entry=entry)
    return with_reply(state, RAN_BY_STATE[entry], state.reply_expected)._replace(
        reply_expected=False
    )


def router_transitions(state: State):
    """Yield the transitions of the router."""
    if state.call_state == "new":
        yield "hand_over", state._replace(call_state="waiting", hand_over_pending=True)
    if state.call_state != "waiting":
        return
    reconnected = {
        "query_pending": True,
        "reply_expected": False,
        "first_connection": False,
        "reply": "",
    }
    if not state.query_pending:
        yield "ask", state._replace(**reconnected)
    if state.reply:
        yield (
            "deliver_reply",
            state._replace(call_state=state.reply, reply="", reply_expected=False),
        )
        yield "lose reply", state._replace(reply="")
    yield (
        "give_up",
        state._replace(
            call_state="unknown",
            query_pending=False,
            reply_expected=False,
            first_connection=False,
            reply="",
        ),
    )


def message_transitions(state: State, variant: str):
    """Yield the transitions of messages in flight."""
    if state.hand_over_pending:
        connected = state.first_connection and state.call_state == "waiting"
        yield (
            "deliver_hand_over",
            deliver_hand_over(state._replace(hand_over_pending=False), variant, connected),
        )
        yield "lose", state._replace(hand_over_pending=False)
        if not state.duplicate_pending and not state.delivered:
            yield "duplicate", state._replace(duplicate_pending=True)
    if state.duplicate_pending:
        yield (
            "deliver_hand_over copy",
            deliver_hand_over(state._replace(duplicate_pending=False), variant, False),
        )
        yield "lose copy", state._replace(duplicate_pending=False)
    if state.query_pending:
        yield "deliver_ask", deliver_ask(state, variant)


def sidecar_transitions(state: State):
    """Yield the transitions of the sidecar, its endpoint and the clock."""
    if state.entry == "admitted":
        yield "start", state._replace(entry="running", run_count=state.run_count + 1)
    if state.entry == "running":
        yield "finish", end_attempt(state, "finished")
        yield "crash", end_attempt(state, "crashed")
    if state.entry in FINAL_STATES and state.age == 2:
        yield "expire", state._replace(entry="")
    if state.age < 2:
        yield "pass_time", state._replace(age=state.age + 1)
    if not state.restarted:
        lost = {"hand_over_pending": False, "duplicate_pending": False} if state.delivered else {}
        yield (
            "restart_sidecar",
            state._replace(restarted=True, entry="", reply_expected=False, **lost),
        )


def attempts(variant: str = "") -> Protocol:
    """Return the model of one attempt.

    :param variant: ``no_tombstone``, ``no_stamp``, ``forgotten_is_not_run``,
        ``known_is_not_run``, ``stale_is_not_run`` or ``any_incarnation`` selects a broken
        protocol, which must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = [
            *router_transitions(state),
            *message_transitions(state, variant),
            *sidecar_transitions(state),
        ]
        return [(label, tuple(next_state)) for label, next_state in steps]

    return Protocol(
        name="attempts",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "not_run_is_true": lambda d: d["call_state"] != "no" or not d["run_count"],
            "run_is_true": lambda d: d["call_state"] != "yes" or d["run_count"] == 1,
            "runs_once": lambda d: d["run_count"] <= 1,
        },
    )
