"""Model of how observers see a member that drains, is suspected and is replaced.

The model runs the program's own `merge` and refutation. Transitions are named after the
methods of `Members`: ``declare``, ``suspect``, ``expire`` and ``apply_update``; ``mark_draining``
stands for a router whose request was refused by the draining member. Updates may be delayed,
duplicated, reordered and lost.
"""

from minicheck import Protocol

from hickorylever.decisions.members import FINAL_PHASES, Members, merge
from hickorylever.packets import Health, Phase, Update

UNKNOWN = Update(1, 0, 0, Phase.JOINING, Health.ALIVE)


def replace(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def with_health(update: Update, health: Health) -> Update:
    """Return a copy of the update with another health."""
    return Update(update.member, update.generation, update.serial, update.phase, health)


def declared(own: Update, phase: Phase, variant: str) -> Update:
    """Return the member's own update after it has declared a phase."""
    if variant == "ready_again":
        return Update(1, own.generation, own.serial + 1, phase, Health.ALIVE)
    members = Members(1, own.generation)
    members.entries[1].update = own
    members.declare(phase)
    return members.entries[1].update


def after_update(own: Update, received: Update, variant: str) -> Update:
    """Return the member's own update after it has received an update about itself."""
    if variant == "no_refutation":
        return own
    members = Members(1, own.generation)
    members.entries[1].update = own
    members.apply_update(received, 0.0)
    return members.entries[1].update


def merged(current: Update, received: Update, variant: str) -> Update:
    """Return an observer's update after it has merged a received one."""
    if variant == "highest_serial":
        return max(current, received, key=lambda u: (u.generation, u.serial, u.phase, u.health))
    return merge(current, received)


def members(
    variant: str = "", observers: int = 1, serials: int = 2, replacements: int = 1
) -> Protocol:
    """Return the model of one member and its observers.

    State: the member's own update; all updates in flight; the update that each observer holds;
    whether the member or an observer ever left DRAINING within a generation; the highest serial of
    a suspicion that the member has received in its generation (-1 for none); and the replacements
    left.

    :param variant: ``highest_serial``, ``ready_again`` or ``no_refutation`` selects a broken
        protocol, which must violate an invariant.
    :param observers: number of observers.
    :param serials: highest serial that the member reaches by declaring phases.
    :param replacements: number of times that the member may be replaced by a new generation.
    """

    def member_steps(state):
        own, in_flight, beliefs, left_draining, highest_suspicion, replacements_left = state
        for phase in (Phase.JOINING, Phase.READY, Phase.DRAINING):
            update = declared(own, phase, variant)
            if update == own or update.serial > serials:
                continue
            regresses = own.phase in FINAL_PHASES and update.phase not in FINAL_PHASES
            after = (
                update,
                in_flight | {update},
                beliefs,
                left_draining or regresses,
                highest_suspicion,
                replacements_left,
            )
            yield f"declare {phase.name}", after
        for received in in_flight:
            suspected = (
                received.health is not Health.ALIVE and received.generation == own.generation
            )
            if not suspected or received.serial >= serials:
                continue
            update = after_update(own, received, variant)
            new_highest = max(highest_suspicion, received.serial)
            if (update, new_highest) != (own, highest_suspicion):
                yield (
                    f"apply_update {received}",
                    (
                        update,
                        in_flight | {update},
                        beliefs,
                        left_draining,
                        new_highest,
                        replacements_left,
                    ),
                )
        if replacements_left:
            update = Update(1, own.generation + 1, 0, Phase.JOINING, Health.ALIVE)
            yield (
                "replace",
                (update, in_flight | {update}, beliefs, left_draining, -1, replacements_left - 1),
            )

    def observe(state, index, update):
        beliefs = state[2]
        previous = beliefs[index]
        same_generation = previous.generation == update.generation
        regresses = (
            same_generation and previous.phase in FINAL_PHASES and update.phase not in FINAL_PHASES
        )
        after = replace(
            replace(state, 2, replace(beliefs, index, update)), 3, state[3] or regresses
        )
        return replace(after, 1, state[1] | {update})

    def observer_steps(state):
        own, in_flight, beliefs, *_ = state
        for index in range(observers):
            known = beliefs[index]
            for received in in_flight:
                update = merged(known, received, variant)
                if update != known:
                    yield f"apply_update {index} {received}", observe(state, index, update)
            if not known.generation:
                continue
            if known.health is Health.ALIVE:
                suspicion = with_health(known, Health.SUSPECT)
                yield f"suspect {index}", observe(state, index, suspicion)
            if known.health is Health.SUSPECT:
                expired = with_health(known, Health.GONE)
                yield f"expire {index}", observe(state, index, expired)
            refused = own.phase is Phase.DRAINING and known.generation == own.generation
            if refused and known.phase < Phase.DRAINING:
                update = Update(1, known.generation, known.serial, Phase.DRAINING, known.health)
                yield f"mark_draining {index}", observe(state, index, update)

    def transitions(state):
        return [*member_steps(state), *observer_steps(state)]

    def draining_is_final(state):
        return not state["left_draining"]

    def only_the_member_raises_its_serial(state):
        own = state["own"]
        return all(
            (known.generation, known.serial) <= (own.generation, own.serial)
            for known in state["beliefs"]
        )

    def received_suspicions_are_refuted(state):
        return state["own"].serial > state["highest_suspicion"]

    initial_update = Update(1, 1, 0, Phase.JOINING, Health.ALIVE)
    return Protocol(
        name=f"members {variant}".strip(),
        candidate=False,
        fields=(
            "own",
            "in_flight",
            "beliefs",
            "left_draining",
            "highest_suspicion",
            "replacements_left",
        ),
        initial=(
            initial_update,
            frozenset({initial_update}),
            (UNKNOWN,) * observers,
            False,
            -1,
            replacements,
        ),
        transitions=transitions,
        invariants={
            "draining_is_final": draining_is_final,
            "only_the_member_raises_its_serial": only_the_member_raises_its_serial,
            "received_suspicions_are_refuted": received_suspicions_are_refuted,
        },
    )
