"""Model of a request that crashes every endpoint that runs it and is resent by its caller.

Transitions are named after the functions of `suspicion` that they stand for: ``screen`` with
``check_records`` and ``begin_trial``, ``refuse_attempt``, ``register_crash`` and ``retry_write``.
The request's status comes from the program's own `decisions.suspects.suspect_status`.

Each send goes through a router that has no record of earlier sends. The router tries the endpoints
in the ring order that all routers share, and may skip any of them because its view of load and
membership is stale. After the first crash, two resends may be in progress at the same time.
"""

from minicheck import Protocol

from hickorylever.decisions.suspects import SuspectStatus, suspect_status

ENDPOINTS = 3
ROUTERS = (0, 1)
IDLE, SELECTING, RUNNING, FAILED = range(4)

NO_REQUEST = (IDLE, 0, False, False, False)
NEW_REQUEST = (SELECTING, 0, False, False, False)


def replace(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def crashes(variant: str = "", outages: bool = False, sends: int = 4) -> Protocol:
    """Return the model of a crashing request.

    State: the endpoints that have crashed; the sidecars that have marked the request as suspect;
    the crashes that are recorded in the object API; whether the trial is taken; whether the object
    API is available; the number of crashes for which it was unavailable to read the records before
    the run or to record the crash after it; the sends left; and for each router (phase, position
    in the order, records read, request suspected, trial held).

    :param variant: ``never_read``, ``unlimited_trials``, ``no_sidecar_marks`` or
        ``trial_anywhere`` selects a broken protocol, which must violate the invariant.
    :param outages: whether the object API may become unavailable.
    :param sends: number of times that the caller sends the request.
    """

    def read_status(recorded, trial_taken):
        """Return the request's status according to the records.

        Broken variants never read the records, or miss a trial that another router holds.
        """
        if variant == "never_read":
            return SuspectStatus.CLEAR
        return suspect_status(len(recorded), trial_taken and variant != "unlimited_trials")

    def screen(state, router):
        """Return (trial taken, router) after the checks, or None if the request is refused."""
        _, _, recorded, trial_taken, up, *_ = state
        _, position, records_read, suspected, holds_trial = router
        status = SuspectStatus.CLEAR
        if (position or suspected) and not records_read:
            if not up and suspected:
                return None
            records_read = up
        if records_read:
            status = read_status(recorded, trial_taken)
        if status is SuspectStatus.REFUSED and not holds_trial:
            return None
        if (status is SuspectStatus.SUSPECT or suspected) and not holds_trial:
            if variant != "unlimited_trials" and (not up or trial_taken):
                return None
            trial_taken = holds_trial = True
            if variant != "trial_anywhere":
                position = 0
        return trial_taken, (RUNNING, position, records_read, suspected, holds_trial)

    def select(state, index):
        """Yield the transitions of a router that considers one endpoint for the request."""
        crashed, marked, recorded, _, *rest, routers = state
        router = routers[index]

        def after(router, marked=marked, trial_taken=state[3]):
            return (crashed, marked, recorded, trial_taken, *rest, replace(routers, index, router))

        _, position, _, _, holds_trial = router
        screened = screen(state, router)
        if position == ENDPOINTS or screened is None:
            yield "respond", after(NO_REQUEST)
            return
        if not holds_trial or variant == "trial_anywhere":
            yield f"skip {position}", after((SELECTING, position + 1, *router[2:]))
        trial_taken, running = screened
        _, position, _, _, holds_trial = running
        if position in marked and not holds_trial:
            yield (
                f"refuse_attempt {position}",
                after((SELECTING, position + 1, False, True, holds_trial)),
            )
            return
        if holds_trial:
            yield f"unreachable {position}", after(NO_REQUEST, trial_taken=trial_taken)
        if holds_trial and variant != "no_sidecar_marks":
            marked = marked | {position}
            if any(other[:2] == (RUNNING, position) for other in routers):
                yield f"refuse_attempt {position}", after(NO_REQUEST, marked, trial_taken)
                return
        yield f"run {position}", after(running, marked, trial_taken)
        yield (
            f"overloaded {position}",
            after((SELECTING, position + 1, *running[2:]), marked, trial_taken),
        )

    def crash(state, index):
        """Return the state after the endpoint that runs the request has crashed.

        The router records the crash if the object API is available.
        """
        crashed, marked, recorded, trial_taken, up, unguarded, sends, routers = state
        _, position, records_read, _, _ = routers[index]
        unguarded += not up or (position > 0 and not records_read)
        recorded = recorded | {position} if up else recorded
        marked = marked if variant == "no_sidecar_marks" else marked | {position}
        routers = replace(routers, index, (FAILED, position, False, True, False))
        return (crashed | {position}, marked, recorded, trial_taken, up, unguarded, sends, routers)

    def transitions(state):
        crashed, marked, recorded, trial_taken, up, unguarded, sends, routers = state
        steps = []
        if outages:
            label = "platform_down" if up else "platform_up"
            steps.append((label, replace(state, 4, not up)))
        if up and crashed - recorded:
            steps.append(("retry_write", replace(state, 2, crashed)))
        for index in ROUTERS:
            phase, position, *checks = routers[index]
            others_idle = all(other == NO_REQUEST for other in routers)
            if phase == IDLE and sends and (others_idle or crashed):
                after_send = replace(state, 6, sends - 1)
                steps.append(
                    (f"send {index}", replace(after_send, 7, replace(routers, index, NEW_REQUEST)))
                )
            if phase == SELECTING:
                steps += select(state, index)
            if phase == RUNNING:
                steps.append((f"register_crash {position}", crash(state, index)))
            if phase == FAILED:
                steps.append(("respond", replace(state, 7, replace(routers, index, NO_REQUEST))))
                retry = (SELECTING, position + 1, *checks)
                steps.append(("retry", replace(state, 7, replace(routers, index, retry))))
        return steps

    def at_most_two_endpoints(state):
        return len(state["crashed"]) <= 2 + state["unguarded"]

    empty = frozenset()
    return Protocol(
        name=f"crashes {variant}".strip(),
        candidate=False,
        fields=(
            "crashed",
            "marked",
            "recorded",
            "trial_taken",
            "up",
            "unguarded",
            "sends",
            "routers",
        ),
        initial=(empty, empty, empty, False, True, 0, sends, (NO_REQUEST, NO_REQUEST)),
        transitions=transitions,
        invariants={"at_most_two_endpoints": at_most_two_endpoints},
    )
