"""Model of a draining sidecar with two attempts, which may arrive before or after the signal.

Transitions are named after `Sidecar.drain` and `decisions.attempts`.
"""

from typing import NamedTuple

from minicheck import Protocol


class State(NamedTuple):
    """The sidecar and two attempts.

    :param attempts: state of each attempt: empty (not handed over), ``sent``, ``refused``,
        ``running``, ``finished``, ``fetched`` (the router has the complete response) or ``cut``
        (the sidecar stopped before that).
    :param streams: whether a router is connected to receive the attempt's response.
    :param draining: whether the sidecar has received the signal to drain.
    :param gone: whether the sidecar has stopped.
    :param late: whether an attempt was admitted while the sidecar was draining.
    :param cuts: number of connections that may still break; a router resumes the response on a
        new connection.
    """

    attempts: tuple[str, str] = ("", "")
    streams: tuple[bool, bool] = (False, False)
    draining: bool = False
    gone: bool = False
    late: bool = False
    cuts: int = 1


def put(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def may_stop(state: State, variant: str) -> bool:
    """Return whether the sidecar may stop."""
    if not state.draining:
        return False
    if variant == "no_wait":
        return True
    if variant == "streams_only":
        return not any(state.streams)
    return all(attempt in ("", "sent", "refused", "fetched") for attempt in state.attempts)


def attempt_moves(state: State, number: int, variant: str):
    """Yield the transitions of one attempt."""
    attempt = state.attempts[number]

    def to(value: str, stream: bool = False) -> State:
        attempts = put(state.attempts, number, value)
        return state._replace(attempts=attempts, streams=put(state.streams, number, stream))

    if attempt == "":
        yield f"hand_over {number}", to("sent")
    if attempt == "sent" and state.gone:
        yield f"lose {number}", to("refused")
    elif attempt == "sent" and state.draining and variant != "admits":
        yield f"admit {number}", to("refused")
    elif attempt == "sent":
        yield f"admit {number}", to("running", True)._replace(late=state.draining)
    if attempt == "running" and not state.gone:
        yield f"finish {number}", to("finished", state.streams[number])
    if attempt in ("running", "finished") and not state.gone:
        if state.streams[number] and state.cuts:
            yield f"lose {number}", to(attempt)._replace(cuts=state.cuts - 1)
        if not state.streams[number]:
            yield f"ask {number}", to(attempt, True)
    if attempt == "finished" and state.streams[number] and not state.gone:
        yield f"deliver_reply {number}", to("fetched")


def sidecar_moves(state: State, variant: str):
    """Yield the transitions of the sidecar."""
    if not state.draining:
        yield "drain", state._replace(draining=True)
    if not state.gone and may_stop(state, variant):
        live = ("running", "finished")
        attempts = tuple("cut" if name in live else name for name in state.attempts)
        yield "stop", state._replace(gone=True, attempts=attempts, streams=(False, False))


def drain(variant: str = "") -> Protocol:
    """Return the model of a draining sidecar.

    :param variant: ``no_wait``, ``streams_only`` or ``admits`` selects a broken protocol, which
        must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        moves = list(sidecar_moves(state, variant))
        for number in (0, 1):
            moves += attempt_moves(state, number, variant)
        return [(label, tuple(following)) for label, following in moves]

    return Protocol(
        name="drain",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "nothing_is_cut": lambda d: "cut" not in d["attempts"],
            "no_new_work": lambda d: not d["late"],
        },
    )
