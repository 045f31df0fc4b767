"""Model of a lease with fencing: a paused holder still sends orders, and the sidecar may restart.

Transitions are named after `decisions.leases`: ``take`` and ``renew`` are members of `Step`,
``validate`` and ``set_stored_number`` are methods of `FencingCheck`. The model runs the program's
own fencing check. Orders to the sidecar and to the engine may be delayed, duplicated, reordered
and lost.
"""

from minicheck import Protocol

from hickorylever.decisions.leases import FencingCheck, Verdict

CANDIDATES = (0, 1)
NO_HOLDER = -1


def replace(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def check_order(variant: str, known: int | None, number: int) -> tuple[Verdict, int | None]:
    """Return the fencing check's verdict on an order, and its highest number afterwards."""
    if variant == "no_fencing":
        return Verdict.OBEY, known
    fencing = FencingCheck(known)
    return fencing.validate(number), fencing.number


def leases(
    variant: str = "", engine_checks: bool = False, max_number: int = 3, restarts: int = 1
) -> Protocol:
    """Return the model of a lease with fencing.

    State: holder and fencing number of the stored lease; the number that each candidate believes
    it holds (0 for none); the orders sent to the sidecar; the highest number known to its fencing
    check (None until it is read after a restart); the last number that the sidecar obeyed; whether
    it has obeyed an older order after a newer one; the orders sent to the engine; the number of
    the order that the engine has applied; whether the sidecar has verified it since; and the
    restarts left.

    :param variant: ``no_fencing``, ``no_read`` or ``same_number`` selects a broken protocol, which
        must violate an invariant.
    :param engine_checks: whether the engine itself refuses numbers lower than its own.
    :param max_number: highest fencing number of the lease.
    :param restarts: number of times that the sidecar may restart.
    """

    def lease_steps(state):
        holder, number, believed, *rest = state
        for contender in CANDIDATES:
            next_number = number if variant == "same_number" and number else number + 1
            new_believed = replace(believed, contender, next_number)
            if holder != contender and number < max_number:
                yield f"take {contender}", (contender, next_number, new_believed, *rest)
                yield f"take_lost {contender}", (contender, next_number, believed, *rest)
            if holder == contender and believed[contender] != number:
                yield (
                    f"renew {contender}",
                    (holder, number, replace(believed, contender, number), *rest),
                )
            if believed[contender]:
                yield (
                    f"lapse {contender}",
                    (holder, number, replace(believed, contender, 0), *rest),
                )

    def order_steps(state):
        believed, orders = state[2], state[3]
        for contender in CANDIDATES:
            if believed[contender] and believed[contender] not in orders:
                yield f"order {contender}", replace(state, 3, orders | {believed[contender]})

    def sidecar_steps(state):
        _, number, _, orders, known, obeyed, regressed, forwarded, *_ = state
        for order in orders:
            verdict, new_known = check_order(variant, known, order)
            after = replace(state, 4, new_known)
            if verdict is Verdict.OBEY:
                after = replace(after, 5, order)
                after = replace(after, 6, regressed or order < obeyed)
                after = replace(after, 7, forwarded | {order})
                after = replace(after, 9, False)
            yield f"validate {order}", after
        if known is None:
            yield "set_stored_number", replace(state, 4, number)
        if state[10]:
            initial_known = 0 if variant == "no_read" else None
            yield "restart", replace(replace(state, 4, initial_known), 10, state[10] - 1)

    def engine_steps(state):
        obeyed, forwarded, applied = state[5], state[7], state[8]
        for order in forwarded:
            refused = engine_checks and order < applied
            after = state if refused else replace(replace(state, 8, order), 9, False)
            yield f"engine_apply {order}", replace(after, 7, forwarded - {order})
        if obeyed and not forwarded:
            yield "verify", replace(replace(state, 8, obeyed), 9, True)

    def transitions(state):
        return [
            *lease_steps(state),
            *order_steps(state),
            *sidecar_steps(state),
            *engine_steps(state),
        ]

    def no_older_order_obeyed(state):
        return not state["regressed"]

    def one_holder_per_number(state):
        first, second = state["believed"]
        return not first or first != second

    def verified_engine_has_last_order(state):
        return not state["verified"] or state["applied"] == state["obeyed"]

    empty = frozenset()
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
            "regressed",
            "forwarded",
            "applied",
            "verified",
            "restarts",
        ),
        initial=(NO_HOLDER, 0, (0, 0), empty, None, 0, False, empty, 0, False, restarts),
        transitions=transitions,
        invariants={
            "no_older_order_obeyed": no_older_order_obeyed,
            "one_holder_per_number": one_holder_per_number,
            "verified_engine_has_last_order": verified_engine_has_last_order,
        },
    )
