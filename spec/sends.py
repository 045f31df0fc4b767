"""Model of the sends of one request that may run once, at a router without sidecars.

Two servers, each with a kept connection that carried another request before, and new connections.
A server runs or rejects what it reads, also after the router has given up; answers and their late
copies come on the connection of the request, in order. A router that stands still, or whose
deadline passes, gives up at any moment.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_SENDS = 3
SERVERS = (0, 1)
NEW_CONNECTION = 2  # The connection of send i, if it is new, is 2 + i; kept ones are 0 and 1.

REJECTION = "rejection"  # Names the request.
UNNAMED_REJECTION = "unnamed rejection"
UNNAMED_OF_OTHER = "unnamed rejection of another request"
REJECTION_OF_OTHER = "rejection of another request"
ANSWER = "answer"
BARE_STATUS = "bare status"  # 408, 429 or 503 of a run, without the header for "not run".
CONTENTS_OF_REJECTIONS = (REJECTION, UNNAMED_REJECTION)
CONTENTS_OF_RUNS = (ANSWER, BARE_STATUS)


class SendState(NamedTuple):
    """One send.

    :param server: to which it is addressed.
    :param connection: that carries it.
    :param phase: ``written``, ``rejected``, ``ran`` or ``lost``.
    :param known: what the router knows about whether it ran: ``unknown``, ``no`` or ``yes``.
    """

    server: int
    connection: int
    phase: str = "written"
    known: str = "unknown"


class State(NamedTuple):
    """Combined state of the router, the servers and the connections.

    :param call: ``open``, ``waiting`` for a response, or its end: ``answered``, ``refused`` as not
        run, ``failed`` without such a promise, or ``left`` by its caller.
    :param sends: oldest first.
    :param arrived: responses that the router has not read: connection and content, in order.
    :param copyable: the same for responses that a faulty server may send once more.
    :param copies_left: copies that servers may still send.
    :param run_count: number of times that the request has run.
    """

    call: str = "open"
    sends: tuple = ()
    arrived: tuple = ()
    copyable: tuple = ((0, UNNAMED_OF_OTHER), (1, REJECTION_OF_OTHER))
    copies_left: int = 2
    run_count: int = 0


def may_begin(state: State, variant: str) -> bool:
    """Return whether the router may send the request."""
    proved = variant == "lost_is_not_run" or all(SendState(*s).known == "no" for s in state.sends)
    return state.call == "open" and len(state.sends) < MAX_SENDS and proved


def connections(state: State, server: int, variant: str):
    """Yield the connections on which the router may send the request to a server."""
    used = {SendState(*send).connection for send in state.sends}
    yield NEW_CONNECTION + len(state.sends)
    if server not in used:
        yield server
    if variant == "same_connection":
        yield from (
            send.connection
            for send in map(SendState._make, state.sends)
            if send.server == server and send.phase == "rejected"
        )


def is_proof(state: State, content: str, variant: str) -> bool:
    """Return whether the router takes a response to its latest send for a rejection of it."""
    if content in (UNNAMED_REJECTION, UNNAMED_OF_OTHER):
        is_new = state.sends[-1][1] >= NEW_CONNECTION
        return is_new or variant == "unnamed_counts"
    return content == REJECTION or (content == BARE_STATUS and variant == "status_counts")


def change_send(state: State, index: int, **changes) -> State:
    """Return the state with one send changed."""
    sends = list(state.sends)
    sends[index] = SendState(*sends[index])._replace(**changes)
    return state._replace(sends=tuple(map(tuple, sends)))


def read(state: State, position: int, variant: str) -> State:
    """Return the state after the router has read a response on the connection it waits for."""
    content = state.arrived[position][1]
    arrived = state.arrived[:position] + state.arrived[position + 1 :]
    state = state._replace(arrived=arrived)
    last = len(state.sends) - 1
    if content == REJECTION_OF_OTHER:
        return state
    if is_proof(state, content, variant):
        return change_send(state, last, known="no")._replace(call="open")
    if content == ANSWER:
        return change_send(state, last, known="yes")._replace(call="answered")
    known = "yes" if content == BARE_STATUS else "unknown"
    return change_send(state, last, known=known)._replace(call="failed")


def router_transitions(state: State, variant: str):
    """Yield the transitions of the router and its caller."""
    if may_begin(state, variant):
        for server in SERVERS:
            for connection in connections(state, server, variant):
                send = tuple(SendState(server, connection))
                following = state._replace(call="waiting", sends=(*state.sends, send))
                yield f"send {server} {connection}", following
    if state.call == "open":
        proved = all(SendState(*send).known == "no" for send in state.sends)
        promises = proved or variant == "lost_is_not_run"
        yield "end", state._replace(call="refused" if promises else "failed")
    if state.call == "waiting":
        connection = state.sends[-1][1]
        position = next((n for n, it in enumerate(state.arrived) if it[0] == connection), None)
        if position is not None:
            yield "read", read(state, position, variant)
        given_up = "open" if variant == "lost_is_not_run" else "failed"
        yield "give_up", state._replace(call=given_up)
    if state.call in ("open", "waiting"):
        yield "leave", state._replace(call="left")


def server_transitions(state: State):
    """Yield the transitions of the servers and the network."""
    for index, send in enumerate(map(SendState._make, state.sends)):
        if send.phase != "written":
            continue
        yield f"lose {index}", change_send(state, index, phase="lost")
        for content in (*CONTENTS_OF_REJECTIONS, *CONTENTS_OF_RUNS):
            ran = content in CONTENTS_OF_RUNS
            following = change_send(state, index, phase="ran" if ran else "rejected")
            response = (send.connection, content)
            yield (
                f"respond {index} {content}",
                following._replace(
                    arrived=(*state.arrived, response),
                    copyable=(*state.copyable, response),
                    run_count=state.run_count + ran,
                ),
            )
    if state.copies_left:
        for position, response in enumerate(state.copyable):
            yield (
                f"copy {position}",
                state._replace(
                    arrived=(*state.arrived, response),
                    copyable=state.copyable[:position] + state.copyable[position + 1 :],
                    copies_left=state.copies_left - 1,
                ),
            )


def sends(variant: str = "") -> Protocol:
    """Return the model of the sends of one request.

    :param variant: ``same_connection``, ``unnamed_counts``, ``status_counts`` or
        ``lost_is_not_run`` selects a broken router, which must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = [*router_transitions(state, variant), *server_transitions(state)]
        return [(label, tuple(following)) for label, following in steps]

    return Protocol(
        name="sends",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "runs_once": lambda d: d["run_count"] <= 1,
            "promise_is_true": lambda d: d["call"] != "refused" or not d["run_count"],
        },
    )
