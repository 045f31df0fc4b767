"""Model of a request that crashes every endpoint that runs it, and of its caller's resends.

Transitions are named after the functions of `suspicion` that they stand for: ``screen`` with
``check_records`` and ``begin_trial``, ``refuse_attempt``, ``register_crash`` and ``retry_write``.
The request's status comes from the program's own `decisions.suspects.suspect_status`.

Each send goes through another router, which knows nothing of earlier sends. It walks the agreed
order of endpoints and may pass over any of them, since its view of load and members is stale.
Once the first crash has been told, two resends may be under way at once.
"""

from minicheck import Protocol

from hickorylever.decisions.suspects import SuspectStatus, suspect_status

ENDPOINTS = 3
ROUTERS = (0, 1)
IDLE, WALKING, RUNNING, FAILED = range(4)

NOBODY = (IDLE, 0, False, False, False)
START = (WALKING, 0, False, False, False)


def put(values: tuple, index: int, value) -> tuple:
    """Return a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


def crashes(variant: str = "", outages: bool = False, sends: int = 4) -> Protocol:
    """Return the model.

    State: the endpoints that have crashed, the sidecars that know of the suspicion, the crashes
    in the register, whether the trial was taken, whether the object API answers, the crashes that
    it could not be asked about before the run or told of after it, the sends left, and the
    routers that hold the request: (phase, place in the order, register read, suspected, trial
    held).

    :param variant: ``never_read``, ``free_trial``, ``forgetful`` or ``trial_anywhere`` for a
        broken protocol.
    :param outages: whether the object API may stop answering.
    :param sends: how often the caller sends the request.
    """

    def read(register, trial):
        """Return what the register says.

        It is never read, or a trial that another takes meanwhile is missed, in broken variants.
        """
        if variant == "never_read":
            return SuspectStatus.CLEAR
        return suspect_status(len(register), trial and variant != "free_trial")

    def screen(state, router):
        """Return the trial and the router after the checks, None when the request is refused."""
        _, _, register, trial, up, *_ = state
        _, place, consulted, suspected, held = router
        known = SuspectStatus.CLEAR
        if (place or suspected) and not consulted:
            if not up and suspected:
                return None
            consulted = up
        if consulted:
            known = read(register, trial)
        if known is SuspectStatus.REFUSED and not held:
            return None
        if (known is SuspectStatus.SUSPECT or suspected) and not held:
            if variant != "free_trial" and (not up or trial):
                return None
            trial = held = True
            if variant != "trial_anywhere":
                place = 0
        return trial, (RUNNING, place, consulted, suspected, held)

    def walk(state, index):
        """Yield the steps of a router that holds the request at one place of its walk."""
        crashed, knowing, register, _, *rest, routers = state
        router = routers[index]

        def after(router, knowing=knowing, trial=state[3]):
            return (crashed, knowing, register, trial, *rest, put(routers, index, router))

        _, place, _, _, held = router
        screened = screen(state, router)
        if place == ENDPOINTS or screened is None:
            yield "answer", after(NOBODY)
            return
        if not held or variant == "trial_anywhere":
            yield f"pass_over {place}", after((WALKING, place + 1, *router[2:]))
        trial, running = screened
        _, place, _, _, held = running
        if place in knowing and not held:
            yield f"refuse_attempt {place}", after((WALKING, place + 1, False, True, held))
            return
        if held:
            yield f"unreachable {place}", after(NOBODY, trial=trial)
        if held and variant != "forgetful":
            knowing = knowing | {place}
            if any(other[:2] == (RUNNING, place) for other in routers):
                yield f"refuse_attempt {place}", after(NOBODY, knowing, trial)
                return
        yield f"run {place}", after(running, knowing, trial)
        yield f"overloaded {place}", after((WALKING, place + 1, *running[2:]), knowing, trial)

    def crash(state, index):
        """Return the state after the endpoint that runs the request has crashed."""
        crashed, knowing, register, trial, up, late, sends, routers = state
        _, place, consulted, _, _ = routers[index]
        late += not up or (place > 0 and not consulted)
        register = register | {place} if up else register
        knowing = knowing if variant == "forgetful" else knowing | {place}
        routers = put(routers, index, (FAILED, place, False, True, False))
        return (crashed | {place}, knowing, register, trial, up, late, sends, routers)

    def transitions(state):
        crashed, knowing, register, trial, up, late, sends, routers = state
        steps = []
        if outages:
            label = "platform_down" if up else "platform_up"
            steps.append((label, put(state, 4, not up)))
        if up and crashed - register:
            steps.append(("retry_write", put(state, 2, crashed)))
        for index in ROUTERS:
            phase, place, *known = routers[index]
            others_idle = all(other == NOBODY for other in routers)
            if phase == IDLE and sends and (others_idle or crashed):
                sent = put(state, 6, sends - 1)
                steps.append((f"send {index}", put(sent, 7, put(routers, index, START))))
            if phase == WALKING:
                steps += walk(state, index)
            if phase == RUNNING:
                steps.append((f"register_crash {place}", crash(state, index)))
            if phase == FAILED:
                steps.append(("answer", put(state, 7, put(routers, index, NOBODY))))
                retry = (WALKING, place + 1, *known)
                steps.append(("retry", put(state, 7, put(routers, index, retry))))
        return steps

    def at_most_two_endpoints(state):
        return len(state["crashed"]) <= 2 + state["late"]

    nothing = frozenset()
    return Protocol(
        name=f"crashes {variant}".strip(),
        candidate=False,
        fields=("crashed", "knowing", "register", "trial", "up", "late", "sends", "routers"),
        initial=(nothing, nothing, nothing, False, True, 0, sends, (NOBODY, NOBODY)),
        transitions=transitions,
        invariants={"at_most_two_endpoints": at_most_two_endpoints},
    )
