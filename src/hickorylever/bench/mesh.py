"""Simulated gossip of many members in virtual time, over links with delay and loss."""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

from .. import defaults
from ..decisions.swim import Datagram, Swim
from ..decisions.topics import SampleGroup
from ..packets import Phase, member_id
from .scheduler import EventScheduler

TICK_SECONDS = 0.1
RETRANSMIT_SECONDS = 0.3


@dataclass(slots=True)
class Node:
    """One member and its traffic counters.

    :param partition: network partition; members of different partitions can't communicate.
    :param cpu_seconds: CPU time of its decisions, including encoding and decoding.
    :param revision: the highest revision number it has adopted.
    """

    name: str
    swim: Swim
    is_router: bool
    alive: bool = True
    paused: bool = False
    partition: int = 0
    sent: Counter = field(default_factory=Counter)
    received: Counter = field(default_factory=Counter)
    cpu_seconds: float = 0.0
    revision: int = 0


@dataclass(slots=True)
class Links:
    """Link properties: uniformly distributed delay in seconds, and the loss ratio."""

    min_delay_seconds: float = 0.002
    max_delay_seconds: float = 0.012
    loss: float = 0.0


class Mesh:
    """A simulated group of gossiping members.

    :param routers: number of routers.
    :param sidecars: number of sidecars; each 40 of them serve one application.
    """

    def __init__(self, scheduler: EventScheduler, routers: int, sidecars: int, links: Links):
        self.scheduler = scheduler
        self.links = links
        self.adopted_at: dict[tuple[str, int], float] = {}
        self.nodes: dict[int, Node] = {}
        names = [f"entry-{number}" for number in range(routers)]
        names += [f"engine-{number}" for number in range(sidecars)]
        self.ids = [member_id(name) for name in names]
        self.routers = tuple(self.ids[:routers])
        self.sidecars = tuple(self.ids[routers:])
        for name in names:
            self.start(name, 1)

    def start(self, name: str, generation: int) -> Node:
        """Start a member, or restart one with a new generation."""
        local_id = member_id(name)
        swim = Swim(local_id, generation, random.Random(self.scheduler.rng.random()))
        swim.members.set_inventory(self.ids)
        swim.members.declare(Phase.READY)
        swim.routers = self.routers
        node = Node(name, swim, local_id in self.routers)
        self.nodes[local_id] = node
        swim.groups = self.groups(local_id)
        self.scheduler.after(self.scheduler.rng.uniform(0, TICK_SECONDS), self.tick, node)
        return node

    def converge(self) -> None:
        """Make every member known to every other, as after convergence."""
        updates = [node.swim.local_update() for node in self.nodes.values()]
        for node in self.nodes.values():
            for update in updates:
                node.swim.members.apply_update(update, self.scheduler.now)
            node.swim.members.changed.clear()
            node.swim.members.established = True
            node.swim.last_received_at = self.scheduler.now
            node.swim.sync_due = self.scheduler.rng.uniform(0, defaults.SYNC_INTERVAL_SECONDS)
            node.swim.probes.due = self.scheduler.rng.uniform(0, defaults.PROBE_INTERVAL_SECONDS)
            node.swim.sample_due = self.scheduler.rng.uniform(0, defaults.SAMPLE_INTERVAL_SECONDS)

    def groups(self, local_id: int) -> dict[str, tuple[SampleGroup, ...]]:
        """Return the sample groups of a member by topic."""
        others = tuple(member for member in self.routers if member != local_id)
        if local_id in self.routers:
            return {"use": (SampleGroup(others, defaults.USAGE_FANOUT),)}
        index = self.sidecars.index(local_id) // 40 * 40
        peers = tuple(m for m in self.sidecars[index : index + 40] if m != local_id)
        return {
            "load": (
                SampleGroup(peers, defaults.LOAD_PEER_FANOUT),
                SampleGroup(self.routers, defaults.LOAD_ROUTER_FANOUT),
            )
        }

    def tick(self, node: Node) -> None:
        """Run the periodic work of a member and schedule the next tick."""
        if not node.alive:
            return
        self.scheduler.after(TICK_SECONDS, self.tick, node)
        if not node.paused:
            self.run(node, node.swim.tick, self.scheduler.now)

    def run(self, node: Node, call, *arguments) -> None:
        """Run and time one decision of a member; send the datagrams that it returns."""
        started_at = time.perf_counter()
        datagrams = call(*arguments)
        node.cpu_seconds += time.perf_counter() - started_at
        for topic_value in node.swim.inbox:
            if topic_value.topic == "revision" and topic_value.value > node.revision:
                self.scheduler.after(
                    self.pull_seconds(), self.adopt_revision, node, topic_value.value
                )
        node.swim.inbox.clear()
        for datagram in datagrams:
            self.send(node, datagram)

    def pull_seconds(self) -> float:
        """Return a random duration of a pull in seconds: one connection and one request."""
        links = self.links
        trips = sum(
            self.scheduler.rng.uniform(links.min_delay_seconds, links.max_delay_seconds)
            for _ in range(4)
        )
        lost = self.scheduler.rng.random() < 4 * links.loss
        return trips + (RETRANSMIT_SECONDS if lost else 0.0)

    def adopt_revision(self, node: Node, number: int) -> None:
        """Adopt a revision at a member and publish its number."""
        if not node.alive or number <= node.revision:
            return
        node.revision = number
        self.adopted_at[node.name, number] = self.scheduler.now
        node.swim.publish("revision", number)

    def send(self, node: Node, datagram: Datagram) -> None:
        """Send a datagram, which the link may drop."""
        size = len(datagram.data) + defaults.DATAGRAM_OVERHEAD_BYTES
        node.sent["messages"] += 1
        node.sent["bytes"] += size
        target = self.nodes[datagram.target]
        rng = self.scheduler.rng
        if rng.random() < self.links.loss or target.partition != node.partition:
            return
        delay = rng.uniform(self.links.min_delay_seconds, self.links.max_delay_seconds)
        self.scheduler.after(delay, self.deliver, target, datagram, size)

    def deliver(self, node: Node, datagram: Datagram, size: int) -> None:
        """Deliver a datagram; a dead member drops it, a paused one receives it later."""
        if not node.alive:
            return
        if node.paused:
            self.scheduler.after(TICK_SECONDS, self.deliver, node, datagram, size)
            return
        node.received["messages"] += 1
        node.received["bytes"] += size
        self.run(node, node.swim.receive, datagram.data, self.scheduler.now)

    def kill(self, node: Node) -> None:
        """Stop a member abruptly."""
        node.alive = False

    def drain(self, node: Node) -> None:
        """Have a member announce that it is draining."""
        self.run(node, node.swim.leave, Phase.DRAINING, self.scheduler.now)

    def reset(self) -> None:
        """Reset the traffic counters."""
        for node in self.nodes.values():
            node.sent.clear()
            node.received.clear()
            node.cpu_seconds = 0.0

    def live(self) -> list[Node]:
        """Return the running members."""
        return [node for node in self.nodes.values() if node.alive]
