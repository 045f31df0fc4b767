"""Models of how a configuration is accepted and how it spreads.

Transitions are named after the functions of the program that they stand for: ``read_head``,
``write_head`` and ``repeat_write`` of `fleet.heads`, ``adopt_head`` of `configuration`,
``fetch_offer`` of `peer_configuration`, ``adopt`` of `decisions.revisions.Revisions`, and
``on_offer`` and ``is_decided`` of `decisions.revisions.StartupSelection`.
"""

from minicheck import Protocol

IDLE, READ, UNSURE, ACCEPTED, REFUSED, UNKNOWN = range(6)

OPERATORS = (0, 1)
HIGHEST = 3
WATCHER, FOLLOWER, RESTARTING = range(3)
RESTARTS = 1


def put(values: tuple, index: int, value) -> tuple:
    """Return a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


def acceptance(variant: str = "") -> Protocol:
    """Return the model of two operators who write the head.

    State: whether the platform answers, the accepted writes in order as (operator, base), each
    operator's (phase, base), and which writes are still on their way.

    :param variant: ``overwrite``, ``read_only`` or ``newest_only`` for a broken protocol.
    """

    def land(history, operator, base):
        """Return the history after a conditional write, and whether it was accepted."""
        if base == len(history) or variant == "overwrite":
            return (*history, (operator, base)), True
        return history, False

    def repeat(history, operator, base):
        """Return history and phase after a lost reply is settled."""
        if variant != "read_only":
            history, accepted = land(history, operator, base)
            if accepted:
                return history, ACCEPTED
        chain = history[-1:] if variant == "newest_only" else history
        return history, ACCEPTED if operator in [author for author, _ in chain] else REFUSED

    def transitions(state):
        up, history, phases, flying = state
        steps = [("platform_down" if up else "platform_up", (not up, *state[1:]))]
        for operator in OPERATORS:
            phase, base = phases[operator]

            def step(label, history, phase, base, fly, operator=operator):
                after = (up, history, put(phases, operator, (phase, base)))
                steps.append((f"{label} {operator}", (*after, put(flying, operator, fly))))

            fly = flying[operator]
            if fly:
                landed, _ = land(history, operator, base)
                step("land", landed, phase, base, False)
                step("drop", history, phase, base, False)
            if phase == IDLE and up:
                step("read_head", history, READ, len(history), fly)
            if phase == READ:
                step("write_head_delayed", history, UNSURE, base, True)
            if phase == READ and up:
                landed, accepted = land(history, operator, base)
                step("write_head", landed, ACCEPTED if accepted else REFUSED, base, fly)
                step("write_head_reply_lost", landed, UNSURE, base, fly)
            if phase == UNSURE and up:
                landed, _ = land(history, operator, base)
                step("repeat_write", *repeat(history, operator, base), base, fly)
                step("repeat_write_reply_lost", landed, UNSURE, base, fly)
            if phase == UNSURE:
                step("repeat_write_delayed", history, UNSURE, base, True)
                step("give_up", history, UNKNOWN, base, fly)
        return steps

    def told_truth(state):
        authors = [author for author, _ in state["history"]]
        for operator in OPERATORS:
            phase = state["phases"][operator][0]
            if phase == ACCEPTED and operator not in authors:
                return False
            if phase == REFUSED and operator in authors:
                return False
        return True

    def no_lost_update(state):
        return all(base == index for index, (_, base) in enumerate(state["history"]))

    def accepted_once(state):
        authors = [author for author, _ in state["history"]]
        return len(authors) == len(set(authors))

    idle = tuple((IDLE, 0) for _ in OPERATORS)
    return Protocol(
        name=f"acceptance {variant}".strip(),
        candidate=False,
        fields=("up", "history", "phases", "flying"),
        initial=(True, (), idle, tuple(False for _ in OPERATORS)),
        transitions=transitions,
        invariants={
            "told_truth": told_truth,
            "no_lost_update": no_lost_update,
            "accepted_once": accepted_once,
        },
    )


def spread(variant: str = "") -> Protocol:
    """Return the model of three nodes: a watcher, a follower that may be stale, one that restarts.

    State: whether the platform answers, the accepted number, each node's (number in force, read
    head, offer on its way, lowest number allowed), the restarting node's answers by source
    (platform, watcher, follower), and the restarts left. Nodes may pause anywhere, since every
    step may come late.

    :param variant: ``any_offer``, ``any_head`` or ``first_answer`` for a broken protocol.
    """

    def adopt(node, number, any_number):
        """Return a node after it judged a number."""
        current, head, offer, lowest = node
        taken = number if any_number or number > current else current
        return (taken, head, offer, max(lowest, current))

    def is_decided(up, answers):
        """Tell whether the starting node may begin with the highest answer."""
        if variant == "first_answer":
            return any(answers)
        return answers[0] > 0 or all(answers[1:])

    def transitions(state):
        up, accepted, nodes, answers, restarts = state
        steps = [("platform_down" if up else "platform_up", (not up, *state[1:]))]

        def step(label, index, node):
            steps.append((label, (up, accepted, put(nodes, index, node), answers, restarts)))

        if up and accepted < HIGHEST:
            steps.append(("accept", (up, accepted + 1, nodes, answers, restarts)))
        for index, node in enumerate(nodes):
            current, head, offer, lowest = node
            if current == 0:
                continue
            if up and index == WATCHER:
                for number in range(1, accepted + 1):
                    step(f"read_head {index} {number}", index, (current, number, offer, lowest))
            if head:
                taken = adopt((current, 0, offer, lowest), head, variant == "any_head")
                step(f"adopt_head {index}", index, taken)
            for peer, (theirs, *_) in enumerate(nodes):
                if peer != index and theirs and index != WATCHER:
                    asked = (current, head, theirs, lowest)
                    step(f"fetch_offer {index} {peer}", index, asked)
            if offer:
                taken = adopt((current, head, 0, lowest), offer, variant == "any_offer")
                step(f"adopt {index}", index, taken)
        steps += starting(state)
        return steps

    def starting(state):
        up, accepted, nodes, answers, restarts = state
        current, _, _, lowest = nodes[RESTARTING]
        others = max(nodes[WATCHER][0], nodes[FOLLOWER][0])
        if current and restarts:
            fresh = (0, 0, 0, min(max(lowest, current), others))
            after = (up, accepted, put(nodes, RESTARTING, fresh), (0, 0, 0), restarts - 1)
            return [("restart", after)]
        if current:
            return []
        steps = []
        offers = (accepted if up else 0, nodes[WATCHER][0], nodes[FOLLOWER][0])
        for source, number in enumerate(offers):
            if number and not answers[source]:
                after = put(answers, source, number)
                steps.append((f"on_offer {source}", (up, accepted, nodes, after, restarts)))
        if is_decided(up, answers):
            begun = (max(answers), 0, 0, lowest)
            after = (up, accepted, put(nodes, RESTARTING, begun), (0, 0, 0), restarts)
            steps.append(("is_decided", after))
        return steps

    def never_back(state):
        return all(current == 0 or current >= lowest for current, _, _, lowest in state["nodes"])

    def only_accepted(state):
        return all(current <= state["accepted"] for current, *_ in state["nodes"])

    node = (1, 0, 0, 1)
    return Protocol(
        name=f"spread {variant}".strip(),
        candidate=False,
        fields=("up", "accepted", "nodes", "answers", "restarts"),
        initial=(True, 1, (node, node, node), (0, 0, 0), RESTARTS),
        transitions=transitions,
        invariants={"never_back": never_back, "only_accepted": only_accepted},
    )
