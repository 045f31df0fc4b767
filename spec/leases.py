"""Model of a lease with fencing: a paused holder still sends orders, and the sidecar may restart.

Transitions are named after `decisions.leases`: ``take`` and ``renew`` are members of `Step`,
``validate`` and ``set_stored_number`` are methods of `FencingCheck`. The model runs the program's
own fencing check. Orders to the sidecar and to the engine may be delayed, duplicated, reordered
and lost.
"""

from minicheck import Protocol

from hickorylever.decisions.leases import FencingCheck, Verdict

CANDIDATES = (0, 1)
NOBODY = -1


def put(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def judge(variant: str, known: int | None, number: int) -> tuple[Verdict, int | None]:
    """Return the fencing check's verdict on an order, and its highest number afterwards."""
    if variant == "no_gate":
        return Verdict.OBEY, known
    gate = FencingCheck(known)
    return gate.validate(number), gate.number


def leases(variant: str = "", checks: bool = False, takes: int = 3, restarts: int = 1) -> Protocol:
    """Return the model of a lease with fencing.

    State: holder and fencing number of the stored lease; the number that each candidate believes
    it holds (0 for none); the orders sent to the sidecar; the highest number known to its fencing
    check (None until it is read after a restart); the last number that the sidecar obeyed; whether
    it has obeyed an older order after a newer one; the orders sent to the engine; the number of
    the order that the engine has applied; whether the sidecar has verified it since; and the
    restarts left.

    :param variant: ``no_gate``, ``no_read`` or ``same_number`` selects a broken protocol, which
        must violate an invariant.
    :param checks: whether the engine itself refuses numbers lower than its own.
    :param takes: highest fencing number of the lease.
    :param restarts: number of times that the sidecar may restart.
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
