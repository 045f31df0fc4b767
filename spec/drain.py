"""Model of a draining sidecar with two attempts, which may arrive before or after the signal.

Transitions are named after `Sidecar.drain` and `decisions.attempts`.
"""

from typing import NamedTuple

from minicheck import Protocol


class State(NamedTuple):
    """The sidecar and two attempts.

    :param attempts: state of each attempt: empty (not handed over), ``sent``, ``refused``,
        ``running``, ``finished``, ``fetched`` (the router has the complete response) or
        ``interrupted`` (the sidecar stopped before that).
    :param connected: whether a router is connected to receive the attempt's response.
    :param draining: whether the sidecar has received the signal to drain.
    :param stopped: whether the sidecar has stopped.
    :param admitted_late: whether an attempt was admitted while the sidecar was draining.
    :param disconnects_left: number of connections that may still break; a router resumes the
        response on a new connection.
    """

    attempts: tuple[str, str] = ("", "")
    connected: tuple[bool, bool] = (False, False)
    draining: bool = False
    stopped: bool = False
    admitted_late: bool = False
    disconnects_left: int = 1


def replace(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def may_stop(state: State, variant: str) -> bool:
    """Return whether the sidecar may stop."""
    if not state.draining:
        return False
    if variant == "no_wait":
        return True
    if variant == "streams_only":
        return not any(state.connected)
    return all(attempt in ("", "sent", "refused", "fetched") for attempt in state.attempts)


def attempt_transitions(state: State, number: int, variant: str):
    """Yield the transitions of one attempt."""
    attempt = state.attempts[number]

    def with_attempt(value: str, is_connected: bool = False) -> State:
        attempts = replace(state.attempts, number, value)
        return state._replace(
            attempts=attempts, connected=replace(state.connected, number, is_connected)
        )

    if attempt == "":
        yield f"hand_over {number}", with_attempt("sent")
    if attempt == "sent" and state.stopped:
        yield f"lose {number}", with_attempt("refused")
    elif attempt == "sent" and state.draining and variant != "admits_while_draining":
        yield f"admit {number}", with_attempt("refused")
    elif attempt == "sent":
        yield (
            f"admit {number}",
            with_attempt("running", True)._replace(admitted_late=state.draining),
        )
    if attempt == "running" and not state.stopped:
        yield f"finish {number}", with_attempt("finished", state.connected[number])
    if attempt in ("running", "finished") and not state.stopped:
        if state.connected[number] and state.disconnects_left:
            yield (
                f"lose {number}",
                with_attempt(attempt)._replace(disconnects_left=state.disconnects_left - 1),
            )
        if not state.connected[number]:
            yield f"ask {number}", with_attempt(attempt, True)
    if attempt == "finished" and state.connected[number] and not state.stopped:
        yield f"deliver_reply {number}", with_attempt("fetched")


def sidecar_transitions(state: State, variant: str):
    """Yield the transitions of the sidecar."""
    if not state.draining:
        yield "drain", state._replace(draining=True)
    if not state.stopped and may_stop(state, variant):
        incomplete = ("running", "finished")
        attempts = tuple("interrupted" if name in incomplete else name for name in state.attempts)
        yield "stop", state._replace(stopped=True, attempts=attempts, connected=(False, False))


def drain(variant: str = "") -> Protocol:
    """Return the model of a draining sidecar.

    :param variant: ``no_wait``, ``streams_only`` or ``admits_while_draining`` selects a broken
        protocol, which must violate an invariant.
    """

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = list(sidecar_transitions(state, variant))
        for number in (0, 1):
            steps += attempt_transitions(state, number, variant)
        return [(label, tuple(next_state)) for label, next_state in steps]

    return Protocol(
        name="drain",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "no_response_interrupted": lambda d: "interrupted" not in d["attempts"],
            "no_new_work": lambda d: not d["admitted_late"],
        },
    )
