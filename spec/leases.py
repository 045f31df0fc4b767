"""Model of a lease, of a paused holder that still gives orders, and of a sidecar that restarts.

Transitions are named after what they stand for in `decisions.leases`: ``take`` and ``renew`` are
:class:`Step`, ``validate`` and ``set_stored_number`` are functions of the fencing check, which
is the program's own. Orders may be delayed, repeated, reordered and lost on their way to the
sidecar and to the engine.
"""

from minicheck import Protocol

from hickorylever.decisions.leases import FencingCheck, Verdict

CANDIDATES = (0, 1)
NOBODY = -1


def put(values: tuple, index: int, value) -> tuple:
    """Return a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


def judge(variant: str, known: int | None, number: int) -> tuple[Verdict, int | None]:
    """Return the gate's verdict and what it knows afterwards."""
    if variant == "no_gate":
        return Verdict.OBEY, known
    gate = FencingCheck(known)
    return gate.validate(number), gate.number


def leases(variant: str = "", checks: bool = False, takes: int = 3, restarts: int = 1) -> Protocol:
    """Return the model.

    State: holder and number of the lease's object, the number that each candidate believes to
    hold (0 for none), orders on their way to the sidecar, what its gate knows, the last number
    that it obeyed, whether an older one followed a newer one, orders on their way to the engine,
    the number that the engine has taken up, whether the sidecar has checked it since, restarts.

    :param variant: ``no_gate``, ``no_read`` or ``same_number`` for a broken protocol.
    :param checks: whether the engine refuses older numbers itself.
    """

    def lease_steps(state):
        holder, number, believed, *rest = state
        for me in CANDIDATES:
            raised = number if variant == "same_number" and number else number + 1
            mine = put(believed, me, raised)
            if holder != me and number < takes:
                yield f"take {me}", (me, raised, mine, *rest)
                yield f"take_lost {me}", (me, raised, believed, *rest)
            if holder == me and believed[me] != number:
                yield f"renew {me}", (holder, number, put(believed, me, number), *rest)
            if believed[me]:
                yield f"lapse {me}", (holder, number, put(believed, me, 0), *rest)

    def order_steps(state):
        believed, orders = state[2], state[3]
        for me in CANDIDATES:
            if believed[me] and believed[me] not in orders:
                yield f"order {me}", put(state, 3, orders | {believed[me]})

    def sidecar_steps(state):
        _, number, _, orders, known, obeyed, older, sent, *_ = state
        for order in orders:
            verdict, knows = judge(variant, known, order)
            after = put(state, 4, knows)
            if verdict is Verdict.OBEY:
                after = put(after, 5, order)
                after = put(after, 6, older or order < obeyed)
                after = put(after, 7, sent | {order})
                after = put(after, 9, False)
            yield f"validate {order}", after
        if known is None:
            yield "set_stored_number", put(state, 4, number)
        if state[10]:
            fresh = 0 if variant == "no_read" else None
            yield "restart", put(put(state, 4, fresh), 10, state[10] - 1)

    def engine_steps(state):
        obeyed, sent, taken = state[5], state[7], state[8]
        for order in sent:
            refused = checks and order < taken
            after = state if refused else put(put(state, 8, order), 9, False)
            yield f"engine_take {order}", put(after, 7, sent - {order})
        if obeyed and not sent:
            yield "check", put(put(state, 8, obeyed), 9, True)

    def transitions(state):
        return [
            *lease_steps(state),
            *order_steps(state),
            *sidecar_steps(state),
            *engine_steps(state),
        ]

    def no_older_order_obeyed(state):
        return not state["older"]

    def a_number_has_one_holder(state):
        first, second = state["believed"]
        return not first or first != second

    def a_check_leaves_the_last_order(state):
        return not state["checked"] or state["taken"] == state["obeyed"]

    nothing = frozenset()
    return Protocol(
        name=f"leases {variant}".strip(),
        candidate=False,
        fields=(
            "holder",
            "number",
            "believed",
            "orders",
            "known",
            "obeyed",
            "older",
            "sent",
            "taken",
            "checked",
            "restarts",
        ),
        initial=(NOBODY, 0, (0, 0), nothing, None, 0, False, nothing, 0, False, restarts),
        transitions=transitions,
        invariants={
            "no_older_order_obeyed": no_older_order_obeyed,
            "a_number_has_one_holder": a_number_has_one_holder,
            "a_check_leaves_the_last_order": a_check_leaves_the_last_order,
        },
    )
