"""Model of claims on one key by two routers, each with one attempt at its own sidecar.

Transitions are named after the actions of `bench.simulation.ProtocolSimulation`. Writes may be
delayed without bound or dropped by an outage, their replies may be lost, sidecars may restart and
endpoints may fail. No transition is forced, so a router may pause at any point.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_VERSION = 3
MAX_QUERIES = 2
RAN_BY_STATE = {"cancelled": "no", "finished": "yes", "crashed": "unknown", "gone": "unknown"}


class PendingWrite(NamedTuple):
    """A conditional write in flight to the store.

    Equal writes that have timed out are represented once: the store accepts at most one of them.

    :param router: number of the router, 1 or 2.
    :param base_version: version of the store that the write replaces.
    :param reply_awaited: whether the router still waits for the reply.
    """

    router: int
    base_version: int
    reply_awaited: bool


class CallState(NamedTuple):
    """One router's call, and the sidecar that its own attempt is sent to.

    :param phase: ``new``, ``waiting``, ``writing``, ``following``, or the execution status
        reported to the caller: ``no``, ``yes`` or ``unknown``.
    :param known: version of the store and attempt in force as last read, None if a write may have
        changed them since.
    :param expected: number of the attempt that the call replaces, 0 for none.
    :param followed_attempt: number of the attempt whose end the call waits for.
    :param hand_over_pending: whether the hand-over is in flight.
    :param entry: state of the own attempt in its sidecar's table, empty if there is no entry,
        ``gone`` after a restart.
    :param ran: whether an endpoint has started the own attempt.
    :param query_count: number of queries sent for the attempt that the call waits for.
    """

    phase: str = "new"
    known: tuple[int, int] | None = None
    expected: int = 0
    followed_attempt: int = 0
    hand_over_pending: bool = False
    entry: str = ""
    ran: bool = False
    query_count: int = 0


class State(NamedTuple):
    """State of both routers, of the store and of the writes in flight.

    :param version: version of the stored claim.
    :param attempt_in_force: number of the attempt that the stored claim names, 0 for none.
    """

    call_states: tuple[CallState, CallState] = (CallState(), CallState())
    version: int = 0
    attempt_in_force: int = 0
    pending_writes: frozenset[PendingWrite] = frozenset()


def update_call(state: State, router: int, **fields) -> State:
    """Return the state with fields of one call replaced."""
    call_states = list(state.call_states)
    call_states[router - 1] = call_states[router - 1]._replace(**fields)
    return state._replace(call_states=tuple(call_states))


def follow_attempt(state: State, router: int, attempt_in_force: int) -> State:
    """Return the state after a router has learned which attempt is in force.

    The router hands over its own attempt, or waits for the end of the other one.
    """
    if attempt_in_force == router:
        return update_call(
            state,
            router,
            phase="following",
            followed_attempt=router,
            hand_over_pending=True,
            query_count=0,
        )
    return update_call(state, router, phase="following", followed_attempt=attempt_in_force)


def precondition_holds(call: CallState) -> bool:
    """Return whether the attempt in force, as last read, is the one to be replaced."""
    return call.known[1] == call.expected


def begin_write(state: State, router: int, variant: str) -> State:
    """Return the state after a router has read the store if needed and sent a write if allowed."""
    call = state.call_states[router - 1]
    if call.known is None:
        state = update_call(state, router, known=(state.version, state.attempt_in_force))
        call = state.call_states[router - 1]
    if not precondition_holds(call):
        return follow_attempt(state, router, call.known[1])
    write = PendingWrite(router, call.known[0], True)
    state = state._replace(pending_writes=state.pending_writes | {write})
    return update_call(state, router, phase="writing")


def land(state: State, write: PendingWrite, reply_lost: bool, variant: str) -> State:
    """Return the state after a write has reached the store.

    :param reply_lost: whether the reply to the router is lost.
    """
    router = write.router
    stored = write.base_version == state.version or variant == "blind_write"
    state = state._replace(pending_writes=state.pending_writes - {write})
    if stored:
        state = state._replace(version=state.version + 1, attempt_in_force=router)
    if reply_lost or not write.reply_awaited:
        return state
    if stored:
        return follow_attempt(
            update_call(state, router, known=(state.version, router)), router, router
        )
    return update_call(state, router, phase="waiting", known=None)


def time_out(state: State, write: PendingWrite, variant: str) -> State:
    """Return the state after a router has timed out on a write that may still be stored."""
    router = write.router
    pending_writes = state.pending_writes - {write} | {write._replace(reply_awaited=False)}
    state = state._replace(pending_writes=pending_writes)
    if variant == "reply_means_stored":
        return follow_attempt(state, router, router)
    return update_call(state, router, phase="waiting", known=None)


def handle_end(state: State, router: int, ran: str) -> State:
    """Return the state after a call has learned the end of the attempt that it waits for."""
    call = state.call_states[router - 1]
    if ran != "no":
        return update_call(state, router, phase=ran)
    if call.followed_attempt == router:
        return update_call(state, router, phase="no")
    return update_call(state, router, phase="waiting", expected=call.followed_attempt)


def deliver_hand_over(state: State, attempt: int) -> State:
    """Return the state after a sidecar has admitted and started an attempt, or refused it."""
    call = state.call_states[attempt - 1]
    state = update_call(state, attempt, hand_over_pending=False)
    if not call.entry:
        return update_call(state, attempt, entry="running", ran=True)
    if call.phase == "following" and call.followed_attempt == attempt and not call.query_count:
        ran = "no" if call.entry == "gone" else RAN_BY_STATE.get(call.entry, "unknown")
        return handle_end(state, attempt, ran)
    return state


def query_sidecar(state: State, router: int, variant: str) -> State:
    """Return the state after a router has queried the sidecar of the attempt it waits for."""
    call = state.call_states[router - 1]
    entry = state.call_states[call.followed_attempt - 1].entry
    state = update_call(state, router, query_count=call.query_count + 1)
    if not entry:
        tombstone = "" if variant == "no_tombstone" else "cancelled"
        return handle_end(update_call(state, call.followed_attempt, entry=tombstone), router, "no")
    if entry == "running":
        return state
    if entry == "gone" and variant == "gone_is_not_run":
        return handle_end(state, router, "no")
    return handle_end(state, router, RAN_BY_STATE[entry])


def router_transitions(state: State, router: int, variant: str):
    """Yield the transitions of one router."""
    call = state.call_states[router - 1]
    if call.phase == "new":
        yield f"submit {router}", update_call(state, router, phase="waiting")
    if call.phase == "waiting" and state.version < MAX_VERSION:
        yield f"begin_write {router}", begin_write(state, router, variant)
    if call.phase == "waiting":
        yield f"claims_unavailable {router}", update_call(state, router, phase="no")
    if call.phase == "following" and call.query_count < MAX_QUERIES:
        yield f"ask {router}", query_sidecar(state, router, variant)
    if call.phase == "following":
        yield f"give_up {router}", update_call(state, router, phase="unknown")


def sidecar_transitions(state: State, attempt: int):
    """Yield the transitions of an attempt's sidecar and endpoint."""
    call = state.call_states[attempt - 1]
    if call.hand_over_pending:
        yield f"deliver_hand_over {attempt}", deliver_hand_over(state, attempt)
        yield f"lose {attempt}", update_call(state, attempt, hand_over_pending=False)
    if call.entry == "running":
        yield f"finish {attempt}", update_call(state, attempt, entry="finished")
        yield f"crash {attempt}", update_call(state, attempt, entry="crashed")
    if call.entry != "gone":
        yield f"restart_sidecar {attempt}", update_call(state, attempt, entry="gone")


def store_transitions(state: State, variant: str):
    """Yield the transitions of writes in flight."""
    for write in state.pending_writes:
        late = "" if write.reply_awaited else f" late {write.base_version}"
        name = f"{write.router}{late}"
        if state.version < MAX_VERSION:
            yield f"land {name}", land(state, write, False, variant)
            if not write.reply_awaited:
                continue
            yield f"lose_reply {name}", land(state, write, True, variant)
        if write.reply_awaited:
            yield f"time_out {name}", time_out(state, write, variant)


def lost_reply_transitions(state: State):
    """Yield the time-outs of routers whose write was processed and whose reply was lost."""
    for router in (1, 2):
        writing = state.call_states[router - 1].phase == "writing"
        if writing and not any(
            write.router == router and write.reply_awaited for write in state.pending_writes
        ):
            yield f"time_out {router}", update_call(state, router, phase="waiting", known=None)


def claims(variant: str = "") -> Protocol:
    """Return the model of claims on one key.

    :param variant: ``blind_write``, ``reply_means_stored``, ``no_tombstone`` or
        ``gone_is_not_run`` selects a broken protocol, which must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = [*store_transitions(state, variant), *lost_reply_transitions(state)]
        for number in (1, 2):
            steps += [
                *router_transitions(state, number, variant),
                *sidecar_transitions(state, number),
            ]
        return [(label, tuple(next_state)) for label, next_state in steps]

    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "runs_once": lambda d: sum(call.ran for call in d["call_states"]) <= 1,
            "not_run_is_true": lambda d: all(
                not call.ran for call in d["call_states"] if call.phase == "no"
            ),
            "run_is_true": lambda d: all(
                any(other.ran for other in d["call_states"])
                for call in d["call_states"]
                if call.phase == "yes"
            ),
        },
    )
