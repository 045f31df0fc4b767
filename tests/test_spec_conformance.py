import random

from walks import follow

from hickorylever.bench.actors import Sidecar
from hickorylever.bench.simulation import ProtocolSimulation
from spec.claims import Flight, Side, State, claims

WALKS = 600


class Places:
    """Replaces the random generator: each call's attempt goes to its own sidecar."""

    place = 0

    def choice(self, entries):
        return entries[self.place]


class Real:
    """The real decisions with two routers, two sidecars and one key."""

    def __init__(self):
        self.places = Places()
        self.simulation = ProtocolSimulation(self.places, routers=2, endpoints=2)
        for router in self.simulation.routers:
            for sidecar in self.simulation.sidecars:
                self.simulation.learn(router, sidecar)
        self.incarnations = [sidecar.table.incarnation for sidecar in self.simulation.sidecars]
        self.calls = [None, None]
        self.own = ["", ""]

    def submit(self, n):
        self.places.place = n
        self.calls[n] = call = self.simulation.submit(self.simulation.routers[n], b"k", True)
        self.own[n] = call.proposal.id
        call.proposal_count = 4  # no endpoint is left after this one

    def land_late(self, n, base):
        """Land every late write with this base; the model takes equal ones for one."""
        router = self.simulation.routers[n]
        for pending in list(self.simulation.writes):
            late = pending.router is router and pending is not router.pending_write
            if late and pending.write.base == base:
                self.simulation.land(pending, False)

    def land(self, n, late):
        if late:
            self.land_late(n, int(late[-1]))
        else:
            self.simulation.land(self.simulation.routers[n].pending_write, False)

    def claims_unavailable(self, n):
        router = self.simulation.routers[n]
        waiting, router.waiting = router.waiting, []
        self.simulation.refuse_claims(waiting)

    def ask(self, n):
        call = self.calls[n]
        if not self.messages("ask", call):
            self.simulation.ask(call)
        self.simulation.deliver(self.messages("ask", call)[0])
        self.replies(call)

    def messages(self, kind, call):
        return [
            message
            for message in self.simulation.messages
            if (message.kind, message.call) == (kind, call)
            and message.connection == call.connection
        ]

    def replies(self, call):
        for message in self.messages("reply", call):
            self.simulation.deliver(message)

    def hand_over(self, n):
        return next(
            message
            for message in self.simulation.messages
            if message.kind == "hand_over" and message.attempt.id == self.own[n]
        )

    def deliver_hand_over(self, n):
        message = self.hand_over(n)
        self.simulation.deliver(message)
        if self.own[n] in self.simulation.sidecars[n].live:
            self.run(n)
        self.replies(message.call)

    def run(self, n):
        self.simulation.run(self.simulation.sidecars[n], self.own[n])

    def take(self, label):
        """Take the action of the model with this label."""
        name, number, *late = label.split()
        n = int(number) - 1
        simulation = self.simulation
        actions = {
            "begin_write": lambda: simulation.begin_write(simulation.routers[n]),
            "land": lambda: self.land(n, late),
            "lose_reply": lambda: simulation.land(simulation.routers[n].pending_write, True),
            "time_out": lambda: simulation.time_out(simulation.routers[n]),
            "give_up": lambda: simulation.give_up(self.calls[n]),
            "lose": lambda: simulation.lose(self.hand_over(n)),
            "finish": lambda: self.run(n),
            "crash": lambda: simulation.crash(simulation.sidecars[n], self.own[n]),
            "restart_sidecar": lambda: simulation.restart_sidecar(simulation.sidecars[n]),
        }
        if name in actions:
            actions[name]()
        else:
            getattr(self, name)(n)

    def number(self, attempt):
        return self.own.index(attempt) + 1 if attempt in self.own and attempt else 0

    def entry(self, n, sidecar: Sidecar):
        if sidecar.table.incarnation != self.incarnations[n]:
            return "gone"
        entry = sidecar.table.entries.get(self.own[n])
        return entry.state.value if entry else ""

    def force(self, claim):
        return self.number(claim.attempt) if claim else 0

    def side(self, n):
        simulation, router, call = self.simulation, self.simulation.routers[n], self.calls[n]
        shard = router.shard
        known = (
            (shard.version, self.force(shard.claims_in_force.get(b"k")))
            if shard.is_loaded()
            else None
        )
        sent = any(
            m.kind == "hand_over" and m.attempt.id == self.own[n] for m in simulation.messages
        )
        fields = {"known": known, "sent": sent, "entry": self.entry(n, simulation.sidecars[n])}
        fields["ran"] = self.own[n] in simulation.executed
        if call is None:
            return Side(**fields)
        phase = "following"
        if call.reported_ran is not None:
            phase = call.reported_ran.value
        elif call in router.waiting:
            phase = "waiting"
        elif router.pending_write is not None:
            phase = "writing"
        following = phase == "following"
        target = self.number(call.flow.current.attempt) if following else 0
        expected = (
            0 if phase in ("no", "yes", "unknown") else self.number(call.flow.change.expected)
        )
        return Side(phase=phase, expected=expected, target=target, **fields)

    def state(self):
        store = self.simulation.store
        flights = frozenset(
            Flight(
                self.simulation.routers.index(f.router) + 1,
                f.write.base,
                f.router.pending_write is f,
            )
            for f in self.simulation.writes
        )
        sides = (self.side(0), self.side(1))
        force = self.force(store.head.claims[-1]) if store.head.claims else 0
        return State(sides, store.version, force, flights)


def comparable(state):
    """Leave out the model's budget of questions, and what is over."""
    sides = []
    for side in state.sides:
        side = side._replace(questions=0)
        if side.phase != "following":
            side = side._replace(target=0)
        if side.phase in ("no", "yes", "unknown"):
            side = side._replace(expected=0)
        sides.append(side)
    return state._replace(sides=tuple(sides))


def test_real_decisions_follow_the_model():
    chance = random.Random(5)
    transitions = claims().transitions
    taken = follow(transitions, Real, State, comparable, chance, WALKS, (6, 30))
    assert taken >= {
        "land",
        "lose_reply",
        "time_out",
        "ask",
        "deliver_hand_over",
        "finish",
        "crash",
    }
