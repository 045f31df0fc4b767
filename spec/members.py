"""Model of what other members believe of a third one that drains, is suspected and is replaced.

The program's own `merge` and refutation are used. Transitions are named after the functions of
`decisions.members`: ``declare``, ``suspect``, ``expire``, ``apply_update``; ``mark_draining``
is a router that was refused. Updates reach others late, repeatedly and in any order, or not at
all.
"""

from minicheck import Protocol

from hickorylever.decisions.members import FINAL_PHASES, Members, merge
from hickorylever.packets import Health, Phase, Update

UNKNOWN = Update(1, 0, 0, Phase.JOINING, Health.ALIVE)


def put(values: tuple, index: int, value) -> tuple:
    """Return a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


def with_health(update: Update, health: Health) -> Update:
    """Return an update with another health."""
    return Update(update.member, update.generation, update.serial, update.phase, health)


def declared(mine: Update, phase: Phase, variant: str) -> Update:
    """Return what the member says of itself after it has declared a phase."""
    if variant == "ready_again":
        return Update(1, mine.generation, mine.serial + 1, phase, Health.ALIVE)
    members = Members(1, mine.generation)
    members.entries[1].update = mine
    members.declare(phase)
    return members.entries[1].update


def after_hearing(mine: Update, news: Update, variant: str) -> Update:
    """Return what the member says of itself after it has heard news of itself."""
    if variant == "no_refutation":
        return mine
    members = Members(1, mine.generation)
    members.entries[1].update = mine
    members.apply_update(news, 0.0)
    return members.entries[1].update


def merged(current: Update, news: Update, variant: str) -> Update:
    """Return what an observer believes after it has heard news."""
    if variant == "highest_serial":
        return max(current, news, key=lambda u: (u.generation, u.serial, u.phase, u.health))
    return merge(current, news)


def members(
    variant: str = "", observers: int = 1, serials: int = 2, replacements: int = 1
) -> Protocol:
    """Return the model.

    State: what the member says of itself, all updates under way, what each observer believes,
    whether the member or a belief ever left DRAINING within a generation, the highest serial of a
    suspicion that the member heard of in its generation, and replacements left.

    :param variant: ``highest_serial``, ``ready_again`` or ``no_refutation`` for a broken protocol.
    :param serials: the highest serial that the member reaches by itself.
    """

    def member_steps(state):
        mine, sent, believed, returned, heard, left = state
        for phase in (Phase.JOINING, Phase.READY, Phase.DRAINING):
            update = declared(mine, phase, variant)
            if update == mine or update.serial > serials:
                continue
            back = mine.phase in FINAL_PHASES and update.phase not in FINAL_PHASES
            after = (update, sent | {update}, believed, returned or back, heard, left)
            yield f"declare {phase.name}", after
        for news in sent:
            doubt = news.health is not Health.ALIVE and news.generation == mine.generation
            if not doubt or news.serial >= serials:
                continue
            update = after_hearing(mine, news, variant)
            worst = max(heard, news.serial)
            if (update, worst) != (mine, heard):
                yield (
                    f"apply_update {news}",
                    (update, sent | {update}, believed, returned, worst, left),
                )
        if left:
            update = Update(1, mine.generation + 1, 0, Phase.JOINING, Health.ALIVE)
            yield "replace", (update, sent | {update}, believed, returned, -1, left - 1)

    def observe(state, index, update):
        believed = state[2]
        before = believed[index]
        same = before.generation == update.generation
        back = same and before.phase in FINAL_PHASES and update.phase not in FINAL_PHASES
        after = put(put(state, 2, put(believed, index, update)), 3, state[3] or back)
        return put(after, 1, state[1] | {update})

    def observer_steps(state):
        mine, sent, believed, *_ = state
        for index in range(observers):
            known = believed[index]
            for news in sent:
                update = merged(known, news, variant)
                if update != known:
                    yield f"apply_update {index} {news}", observe(state, index, update)
            if not known.generation:
                continue
            if known.health is Health.ALIVE:
                doubt = with_health(known, Health.SUSPECT)
                yield f"suspect {index}", observe(state, index, doubt)
            if known.health is Health.SUSPECT:
                certain = with_health(known, Health.GONE)
                yield f"expire {index}", observe(state, index, certain)
            refused = mine.phase is Phase.DRAINING and known.generation == mine.generation
            if refused and known.phase < Phase.DRAINING:
                update = Update(1, known.generation, known.serial, Phase.DRAINING, known.health)
                yield f"mark_draining {index}", observe(state, index, update)

    def transitions(state):
        return [*member_steps(state), *observer_steps(state)]

    def draining_is_final(state):
        return not state["returned"]

    def only_the_member_raises_its_serial(state):
        mine = state["mine"]
        return all(
            (known.generation, known.serial) <= (mine.generation, mine.serial)
            for known in state["believed"]
        )

    def a_suspicion_that_was_heard_is_refuted(state):
        return state["mine"].serial > state["heard"]

    first = Update(1, 1, 0, Phase.JOINING, Health.ALIVE)
    return Protocol(
        name=f"members {variant}".strip(),
        candidate=False,
        fields=("mine", "sent", "believed", "returned", "heard", "left"),
        initial=(first, frozenset({first}), (UNKNOWN,) * observers, False, -1, replacements),
        transitions=transitions,
        invariants={
            "draining_is_final": draining_is_final,
            "only_the_member_raises_its_serial": only_the_member_raises_its_serial,
            "a_suspicion_that_was_heard_is_refuted": a_suspicion_that_was_heard_is_refuted,
        },
    )
