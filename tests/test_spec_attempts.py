import random

import pytest
from minicheck import check_safety
from walks import follow

from hickorylever.bench.actors import LIFETIME
from hickorylever.bench.world import World
from spec.attempts import State, attempts

BROKEN_VARIANTS = [
    "no_tombstone",
    "no_stamp",
    "forgotten_is_not_run",
    "known_is_not_run",
    "any_incarnation",
    "stale_is_not_run",
]
WALK_COUNT = 400
STEP_SECONDS = LIFETIME / 2 + 1


def test_invariants_hold():
    result = check_safety(attempts())
    print(f"attempts: {result['reachable_states']} states")
    assert result["exhaustive"]
    assert all(entry["holds"] is True for entry in result["properties"].values())


@pytest.mark.parametrize("variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(variant):
    properties = check_safety(attempts(variant))["properties"].values()
    assert any(entry["holds"] is False for entry in properties)


class Implementation:
    """The program's decisions in a simulation with one router, one sidecar and one call."""

    def __init__(self):
        self.world = World(random.Random(0), routers=1, endpoints=1)
        self.router, self.sidecar = self.world.routers[0], self.world.sidecars[0]
        self.world.learn(self.router, self.sidecar)
        self.call = None
        self.incarnation = self.sidecar.table.incarnation
        self.stamp = self.world.now

    def hand_over(self):
        self.call = self.world.submit(self.router, b"k", False)

    def find(self, kind, copy=False):
        return next(
            message
            for message in self.world.messages
            if (message.kind, message.copy) == (kind, copy) and self.is_current(message)
        )

    def is_current(self, message):
        if message.kind == "hand_over":
            return True
        return message.connection == self.call.connection

    def run(self):
        self.world.run(self.sidecar, self.call.attempt.id)

    def pass_time(self):
        self.world.now += STEP_SECONDS

    def expire(self):
        self.world.now += 2 * STEP_SECONDS
        self.sidecar.table.expire(self.world.now)

    def restart(self):
        self.world.restart_sidecar(self.sidecar)

    def take(self, label):
        """Perform the action that the model's label names."""
        name, _, which = label.partition(" ")
        world = self.world
        actions = {
            "hand_over": self.hand_over,
            "ask": lambda: world.ask(self.call),
            "give_up": lambda: world.give_up(self.call),
            "deliver_reply": lambda: world.deliver(self.find("reply")),
            "deliver_ask": lambda: world.deliver(self.find("ask")),
            "deliver_hand_over": lambda: world.deliver(self.find("hand_over", which == "copy")),
            "duplicate": lambda: world.duplicate(self.find("hand_over")),
            "lose": lambda: world.lose(
                self.find("reply") if which == "reply" else self.find("hand_over", which == "copy")
            ),
            "start": self.run,
            "finish": self.run,
            "crash": lambda: world.crash(self.sidecar, self.call.attempt.id),
            "expire": self.expire,
            "pass_time": self.pass_time,
            "restart_sidecar": self.restart,
        }
        actions[name]()

    def state(self):
        """Return the model's view of the world."""
        call, table = self.call, self.sidecar.table
        restarted = table.incarnation != self.incarnation
        age = min(2, int((self.world.now - self.stamp) // STEP_SECONDS))
        if call is None:
            return State(restarted=restarted, age=age)
        messages = [m for m in self.world.messages if m.call is call]
        live = call.told is None
        entry = table.entries.get(call.attempt.id)
        replies = [
            m.reply.ran.value if m.reply else "yes" for m in messages if self.is_current_reply(m)
        ]
        waiting = self.sidecar.waiting.get(call.attempt.id, ())
        return State(
            call_state=call.told.value if call.told else "waiting",
            hand_over_pending=any(m.kind == "hand_over" and not m.copy for m in messages),
            duplicate_pending=any(m.kind == "hand_over" and m.copy for m in messages),
            delivered=call.attempt.id in self.world.delivered,
            query_pending=live and any(m.kind == "ask" and self.is_current(m) for m in messages),
            reply_expected=live and any(m.connection == call.connection for m in waiting),
            first_connection=call.connection == 1,
            reply=replies[-1] if replies else "",
            entry=entry.state.value if entry else "",
            restarted=restarted,
            age=age,
            run_count=self.world.runs[b"k"],
        )

    def is_current_reply(self, message):
        alive = self.call.told is None and message.connection == self.call.connection
        return message.kind == "reply" and alive


def comparable(state):
    """Return the state without fields that only matter while the call waits."""
    if state.call_state in ("new", "waiting"):
        return state
    return state._replace(
        first_connection=False, reply_expected=False, reply="", query_pending=False
    )


def test_implementation_conforms_to_model():
    rng = random.Random(11)
    transitions = attempts().transitions
    taken = follow(transitions, Implementation, State, comparable, rng, WALK_COUNT, (4, 24))
    assert taken >= {"expire", "crash", "deliver_reply"}
