"""Models of how a configuration is accepted and how it is distributed.

Transitions are named after the functions of the program that they stand for: ``read_head``,
``write_head`` and ``repeat_write`` of `fleet.heads`, ``adopt_head`` of `configuration`,
``fetch_offer`` of `peer_configuration`, ``adopt`` of `decisions.revisions.Revisions`, and
``on_offer`` and ``is_decided`` of `decisions.revisions.StartupSelection`.
"""

from minicheck import Protocol

IDLE, READ, UNCONFIRMED, ACCEPTED, REFUSED, UNKNOWN = range(6)

OPERATORS = (0, 1)
MAX_NUMBER = 3
WATCHER, FOLLOWER, RESTARTING = range(3)
RESTARTS = 1


def replace(values: tuple, index: int, value) -> tuple:
    """Return a copy of the tuple with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def acceptance(variant: str = "") -> Protocol:
    """Return the model of two operators who write the head concurrently.

    State: whether the platform is available; the accepted writes in order as (operator, base);
    each operator's (phase, base); and whether each operator has a delayed write in flight. A base
    is the number of writes accepted when the operator read the head.

    :param variant: ``overwrite``, ``read_only`` or ``newest_only`` selects a broken protocol,
        which must violate an invariant.
    """

    def land(history, operator, base):
        """Return the history after a conditional write, and whether the write was accepted."""
        if base == len(history) or variant == "overwrite":
            return (*history, (operator, base)), True
        return history, False

    def repeat_write(history, operator, base):
        """Return the history and the phase after a write whose reply was lost is repeated."""
        if variant != "read_only":
            history, accepted = land(history, operator, base)
            if accepted:
                return history, ACCEPTED
        chain = history[-1:] if variant == "newest_only" else history
        return history, ACCEPTED if operator in [writer for writer, _ in chain] else REFUSED

    def transitions(state):
        up, history, phases, delayed = state
        steps = [("platform_down" if up else "platform_up", (not up, *state[1:]))]
        for operator in OPERATORS:
            phase, base = phases[operator]

            def step(label, history, phase, base, pending, operator=operator):
                after = (up, history, replace(phases, operator, (phase, base)))
                steps.append(
                    (f"{label} {operator}", (*after, replace(delayed, operator, pending)))
                )

            pending = delayed[operator]
            if pending:
                updated, _ = land(history, operator, base)
                step("land", updated, phase, base, False)
                step("drop", history, phase, base, False)
            if phase == IDLE and up:
                step("read_head", history, READ, len(history), pending)
            if phase == READ:
                step("write_head_delayed", history, UNCONFIRMED, base, True)
            if phase == READ and up:
                updated, accepted = land(history, operator, base)
                step("write_head", updated, ACCEPTED if accepted else REFUSED, base, pending)
                step("write_head_reply_lost", updated, UNCONFIRMED, base, pending)
            if phase == UNCONFIRMED and up:
                updated, _ = land(history, operator, base)
                step("repeat_write", *repeat_write(history, operator, base), base, pending)
                step("repeat_write_reply_lost", updated, UNCONFIRMED, base, pending)
            if phase == UNCONFIRMED:
                step("repeat_write_delayed", history, UNCONFIRMED, base, True)
                step("give_up", history, UNKNOWN, base, pending)
        return steps

    def reports_are_true(state):
        writers = [writer for writer, _ in state["history"]]
        for operator in OPERATORS:
            phase = state["phases"][operator][0]
            if phase == ACCEPTED and operator not in writers:
                return False
            if phase == REFUSED and operator in writers:
                return False
        return True

    def no_lost_update(state):
        return all(base == index for index, (_, base) in enumerate(state["history"]))

    def accepted_once(state):
        writers = [writer for writer, _ in state["history"]]
        return len(writers) == len(set(writers))

    idle = tuple((IDLE, 0) for _ in OPERATORS)
    return Protocol(
        name=f"acceptance {variant}".strip(),
        candidate=False,
        fields=("up", "history", "phases", "delayed"),
        initial=(True, (), idle, tuple(False for _ in OPERATORS)),
        transitions=transitions,
        invariants={
            "reports_are_true": reports_are_true,
            "no_lost_update": no_lost_update,
            "accepted_once": accepted_once,
        },
    )


def distribution(variant: str = "") -> Protocol:
    """Return the model of a watcher, a follower that may be stale, and a node that restarts.

    State: whether the platform is available; the accepted revision number; each node's (number
    in force, head read, offer in flight, lowest number allowed), with 0 for none; the numbers
    offered to the starting node by the platform, the watcher and the follower; and the restarts
    left. No transition is forced, so a node may pause at any point.

    :param variant: ``any_offer``, ``any_head`` or ``first_offer`` selects a broken protocol,
        which must violate an invariant.
    """

    def adopt(node, number, any_number):
        """Return a node after it has adopted or rejected a number."""
        current, head, offer, minimum = node
        adopted = number if any_number or number > current else current
        return (adopted, head, offer, max(minimum, current))

    def is_decided(up, offered):
        """Return whether the starting node may adopt the highest number offered."""
        if variant == "first_offer":
            return any(offered)
        return offered[0] > 0 or all(offered[1:])

    def transitions(state):
        up, accepted, nodes, offered, restarts = state
        steps = [("platform_down" if up else "platform_up", (not up, *state[1:]))]

        def step(label, index, node):
            steps.append((label, (up, accepted, replace(nodes, index, node), offered, restarts)))

        if up and accepted < MAX_NUMBER:
            steps.append(("accept", (up, accepted + 1, nodes, offered, restarts)))
        for index, node in enumerate(nodes):
            current, head, offer, minimum = node
            if current == 0:
                continue
            if up and index == WATCHER:
                for number in range(1, accepted + 1):
                    step(f"read_head {index} {number}", index, (current, number, offer, minimum))
            if head:
                adopted = adopt((current, 0, offer, minimum), head, variant == "any_head")
                step(f"adopt_head {index}", index, adopted)
            for peer, (peer_number, *_) in enumerate(nodes):
                if peer != index and peer_number and index != WATCHER:
                    pulled = (current, head, peer_number, minimum)
                    step(f"fetch_offer {index} {peer}", index, pulled)
            if offer:
                adopted = adopt((current, head, 0, minimum), offer, variant == "any_offer")
                step(f"adopt {index}", index, adopted)
        steps += startup_steps(state)
        return steps

    def startup_steps(state):
        up, accepted, nodes, offered, restarts = state
        current, _, _, minimum = nodes[RESTARTING]
        highest_peer = max(nodes[WATCHER][0], nodes[FOLLOWER][0])
        if current and restarts:
            restarted = (0, 0, 0, min(max(minimum, current), highest_peer))
            after = (up, accepted, replace(nodes, RESTARTING, restarted), (0, 0, 0), restarts - 1)
            return [("restart", after)]
        if current:
            return []
        steps = []
        available = (accepted if up else 0, nodes[WATCHER][0], nodes[FOLLOWER][0])
        for source, number in enumerate(available):
            if number and not offered[source]:
                after = replace(offered, source, number)
                steps.append((f"on_offer {source}", (up, accepted, nodes, after, restarts)))
        if is_decided(up, offered):
            started = (max(offered), 0, 0, minimum)
            after = (up, accepted, replace(nodes, RESTARTING, started), (0, 0, 0), restarts)
            steps.append(("is_decided", after))
        return steps

    def numbers_never_decrease(state):
        return all(current == 0 or current >= minimum for current, _, _, minimum in state["nodes"])

    def only_accepted(state):
        return all(current <= state["accepted"] for current, *_ in state["nodes"])

    node = (1, 0, 0, 1)
    return Protocol(
        name=f"distribution {variant}".strip(),
        candidate=False,
        fields=("up", "accepted", "nodes", "offered", "restarts"),
        initial=(True, 1, (node, node, node), (0, 0, 0), RESTARTS),
        transitions=transitions,
        invariants={
            "numbers_never_decrease": numbers_never_decrease,
            "only_accepted": only_accepted,
        },
    )
