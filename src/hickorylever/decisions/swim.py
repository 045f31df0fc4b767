"""The SWIM protocol of one member, without input or output.

It combines failure detection, dissemination of updates and topics, and anti-entropy between
membership tables. The caller owns the socket and the clock: it passes in received datagrams and
the current time in monotonic seconds, and sends the datagrams that are returned.
"""

import collections
import math
import random
from dataclasses import dataclass

from .. import defaults, packets
from ..packets import Health, Packet, PacketKind, Phase, TopicValue, Update
from .dissemination import DisseminationQueue, TokenBucket
from .members import Members
from .probes import Probes
from .topics import Delivery, SampleGroup, delivery_of, priority_of

UPDATE_PRIORITY = 3


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram to send to a member.

    :param kind: label for metrics: the packet kind in lower case, or the topic of a sample.
    """

    target: int
    data: bytes
    kind: str


class Swim:
    """The protocol state of one member.

    :param local_id: id of the local member.
    :param generation: identifies this run of the process and should grow from run to run. The
        wall-clock time in milliseconds is a suitable value. If it is too low, the membership
        corrects it, but peers ignore topic values until their versions, which start from it,
        exceed those of the earlier run.
    :param rng: source of randomness for targets and intervals.

    Callers set `groups`, the recipients of each sampled topic, and `routers`, the members that are
    notified first when the local member leaves. They take received topic values from `inbox`.
    """

    def __init__(self, local_id: int, generation: int, rng: random.Random):
        self.local_id = local_id
        self.rng = rng
        self.members = Members(local_id, generation)
        self.probes = Probes(rng, self.probe_candidates)
        self.dissemination = DisseminationQueue(lambda: len(self.members.entries))
        self.budget = TokenBucket(defaults.CONTROL_BYTES_PER_SECOND, defaults.CONTROL_BURST_BYTES)
        self.groups: dict[str, tuple[SampleGroup, ...]] = {}
        self.routers: tuple[int, ...] = ()
        self.published: dict[str, TopicValue] = {}
        self.latest_versions: dict[tuple[str, int], int] = {}
        self.inbox: list[TopicValue] = []
        self.sync_queue: collections.deque[tuple[int, Packet]] = collections.deque()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.version = generation << 20
        self.last_received_at = -math.inf
        self.last_packet: Packet | None = None
        self.last_tick_at: float | None = None
        self.gossip_due = 0.0
        self.sample_due = 0.0
        self.sync_due = 0.0
        self.probe_rounds = 0
        self.handlers = {
            PacketKind.PING: self.handle_ping,
            PacketKind.ACK: self.handle_ack,
            PacketKind.NACK: self.handle_nack,
            PacketKind.RELAY: self.handle_relay,
            PacketKind.GOSSIP: self.handle_gossip,
            PacketKind.UPDATES: self.handle_updates,
            PacketKind.DIGESTS: self.handle_digests,
            PacketKind.DIGESTS_REPLY: self.handle_digests,
        }

    def isolated(self, now: float) -> bool:
        """Return whether no member was heard within ``defaults.ISOLATION_TIMEOUT_SECONDS``.

        An isolated member does not treat missing answers as failures of other members.
        """
        return now - self.last_received_at > defaults.ISOLATION_TIMEOUT_SECONDS

    def probe_candidates(self) -> list[int]:
        """Return the ids of the members to probe."""
        return self.members.live()

    def publish(self, topic: str, value: object) -> None:
        """Publish the local member's latest value of a topic.

        A value of a :attr:`Delivery.ADOPTED` topic is ignored unless it exceeds the previous one.
        """
        self.version += 1
        topic_value = TopicValue(self.local_id, topic, self.version, value)
        delivery = delivery_of(topic)
        if (
            delivery is Delivery.ADOPTED
            and topic in self.published
            and value <= self.published[topic].value
        ):
            return
        self.published[topic] = topic_value
        if delivery is not Delivery.SAMPLE:
            self.enqueue(topic_value)

    def accept_topic_value(self, topic_value: TopicValue) -> bool:
        """Record the version of a topic value and return whether the value has to be processed.

        Values that are no newer than the last one from the same origin are rejected, and so are
        values of :attr:`Delivery.ADOPTED` topics that do not exceed the local member's own.
        """
        key = (topic_value.topic, topic_value.origin)
        if topic_value.version <= self.latest_versions.get(key, 0):
            return False
        self.latest_versions[key] = topic_value.version
        only_grows = delivery_of(topic_value.topic) is Delivery.ADOPTED
        return (
            not only_grows
            or topic_value.topic not in self.published
            or topic_value.value > self.published[topic_value.topic].value
        )

    def enqueue(self, topic_value: TopicValue) -> None:
        """Queue a topic value for dissemination."""
        key = (topic_value.topic, topic_value.origin)
        self.dissemination.add(
            key, topic_value, len(packets.encode(topic_value)), priority_of(topic_value.topic)
        )

    def enqueue_updates(self) -> None:
        """Queue the membership updates that have changed since the last call."""
        for update in self.members.changed:
            size = len(packets.encode(update))
            self.dissemination.add(("member", update.member), update, size, UPDATE_PRIORITY)
        self.members.changed.clear()

    def make_packet(
        self,
        kind: PacketKind,
        max_bytes: int,
        first: Update | None = None,
        recipients: int = 1,
        **fields,
    ) -> Packet:
        """Return a packet with up to `max_bytes` bytes of queued updates and topics piggybacked.

        :param first: an update that is included whether it is queued or not.
        :param recipients: number of members that the packet is sent to.
        """
        self.enqueue_updates()
        items = self.dissemination.take(max_bytes, recipients)
        updates = [item for item in items if isinstance(item, Update)]
        if first is not None and first not in updates:
            updates.insert(0, first)
        topic_values = [item for item in items if isinstance(item, TopicValue)]
        if kind in (PacketKind.PING, PacketKind.ACK):
            topic_values += [item for item in self.adopted_values() if item not in topic_values]
        return Packet(kind, self.local_id, updates=updates, topic_values=topic_values, **fields)

    def adopted_values(self) -> list[TopicValue]:
        """Return the local member's values of :attr:`Delivery.ADOPTED` topics.

        Probes and their answers always carry them, for members that dissemination has missed.
        """
        return [
            topic_value
            for topic, topic_value in self.published.items()
            if delivery_of(topic) is Delivery.ADOPTED
        ]

    def make_datagram(self, target: int, packet: Packet) -> Datagram:
        """Return a datagram that is always sent; its size may overdraw the budget."""
        datagram = Datagram(target, packets.encode(packet), packet.kind.name.lower())
        self.budget.overdraw(len(datagram.data) + defaults.DATAGRAM_OVERHEAD_BYTES)
        return datagram

    def make_datagram_within_budget(
        self, target: int, packet: Packet, kind: str, reserve: float
    ) -> list[Datagram]:
        """Return a datagram if the budget allows for it, otherwise count it as dropped.

        :param reserve: bytes that have to remain in the budget afterwards.
        """
        data = packets.encode(packet)
        if not self.budget.take(len(data) + defaults.DATAGRAM_OVERHEAD_BYTES, reserve):
            self.dropped[kind] += 1
            return []
        return [Datagram(target, data, kind)]

    def local_update(self) -> Update:
        """Return the local member's own update."""
        return self.members.entries[self.local_id].update

    def tick(self, now: float) -> list[Datagram]:
        """Run everything that is due and return the datagrams to send.

        It is called every ``defaults.GOSSIP_TICK_SECONDS`` seconds.
        """
        self.detect_pause(now)
        self.budget.refill(now)
        datagrams = self.check_probes(now)
        if not self.isolated(now):
            self.members.expire(now)
        datagrams += self.start_probe(now)
        datagrams += self.gossip(now)
        datagrams += self.send_samples(now)
        datagrams += self.synchronise(now)
        return datagrams

    def detect_pause(self, now: float) -> None:
        """Discard time-outs that were running while this process was paused.

        Answers that arrived during the pause have not been read, so their absence says nothing
        about the other members.
        """
        pause_seconds = now - self.last_tick_at if self.last_tick_at is not None else 0.0
        self.last_tick_at = now
        if pause_seconds < defaults.MIN_PROCESS_PAUSE_SECONDS:
            return
        self.probes.cancel_pending(now)
        self.members.extend_suspicions(pause_seconds)

    def check_probes(self, now: float) -> list[Datagram]:
        """Retry overdue probes, suspect members whose probes failed and report failed relays."""
        datagrams = []
        for sequence_number, probe in self.probes.start_retries(now):
            packet = Packet(PacketKind.RELAY, self.local_id, sequence_number, probe.target)
            datagrams += [
                self.make_datagram(helper, packet) for helper in self.probes.choose_helpers(probe)
            ]
            datagrams.append(self.ping(probe.target, sequence_number))
        for target in self.probes.remove_failed(now):
            if not self.isolated(now):
                self.members.suspect(target, now)
        for indirect in self.probes.remove_expired_indirect(now):
            packet = Packet(PacketKind.NACK, self.local_id, indirect.sequence, indirect.target)
            datagrams.append(self.make_datagram(indirect.origin, packet))
        return datagrams

    def start_probe(self, now: float) -> list[Datagram]:
        """Start the probe of the next member if it is due.

        Every ``defaults.ROUNDS_PER_GONE_PROBE`` rounds a member that is gone is probed as well, so
        that the two sides of a healed partition find each other again.
        """
        if now < self.probes.due:
            return []
        self.probe_rounds += 1
        targets = []
        target = self.probes.next_target()
        if target is not None:
            targets.append(target)
        gone = (
            self.members.gone() if self.probe_rounds % defaults.ROUNDS_PER_GONE_PROBE == 0 else []
        )
        if gone:
            targets.append(self.rng.choice(gone))
        return [self.ping(target, self.probes.begin(target, now)) for target in targets]

    def ping(self, target: int, sequence: int) -> Datagram:
        """Return a probe.

        It carries the local view of a target that is not alive, so that the target can refute it.
        """
        entry = self.members.entries.get(target)
        packet = self.make_packet(
            PacketKind.PING, defaults.MAX_PIGGYBACK_BYTES, self.local_update(), sequence=sequence
        )
        if entry is not None and entry.update.health is not Health.ALIVE:
            packet.updates.append(entry.update)
        return self.make_datagram(target, packet)

    def gossip(self, now: float) -> list[Datagram]:
        """Send queued updates and topics to a few random members if it is due."""
        self.enqueue_updates()
        if now < self.gossip_due or not self.dissemination:
            return []
        self.gossip_due = now + defaults.GOSSIP_INTERVAL_SECONDS
        live = self.members.live()
        targets = self.rng.sample(live, min(defaults.GOSSIP_FANOUT, len(live)))
        if not targets or self.budget.tokens < len(targets) * defaults.MAX_DATAGRAM_BYTES:
            self.dropped["gossip"] += 1
            return []
        packet = self.make_packet(
            PacketKind.GOSSIP, defaults.MAX_DATAGRAM_BYTES, recipients=len(targets)
        )
        return [self.make_datagram(target, packet) for target in targets]

    def send_samples(self, now: float) -> list[Datagram]:
        """Send the sampled topics to their groups if it is due, in descending priority."""
        if now < self.sample_due:
            return []
        self.sample_due = now + defaults.SAMPLE_INTERVAL_SECONDS
        datagrams = []
        sampled = [name for name in self.published if delivery_of(name) is Delivery.SAMPLE]
        order = sorted(sampled, key=lambda name: -priority_of(name))
        for name in order:
            packet = Packet(PacketKind.GOSSIP, self.local_id, topic_values=[self.published[name]])
            low_priority = priority_of(name) == 0
            reserve = defaults.CONTROL_RESERVE_BYTES * (2 if low_priority else 1)
            for group in self.groups.get(name, ()):
                chosen = self.rng.sample(group.members, min(group.count, len(group.members)))
                for target in chosen:
                    datagrams += self.make_datagram_within_budget(target, packet, name, reserve)
        return datagrams

    def synchronise(self, now: float) -> list[Datagram]:
        """Start an anti-entropy exchange with a random member if it is due.

        Packets of exchanges that are under way are sent as far as the budget allows. Until the
        local member is established, exchanges start every ``defaults.PROBE_INTERVAL_SECONDS``
        seconds.
        """
        live = self.members.live() if now >= self.sync_due else []
        if live:
            confirmed = self.members.established
            pause = (
                defaults.SYNC_INTERVAL_SECONDS if confirmed else defaults.PROBE_INTERVAL_SECONDS
            )
            self.sync_due = now + pause * self.rng.uniform(0.75, 1.25)
            digests = self.members.digests()
            packet = Packet(
                PacketKind.DIGESTS, self.local_id, updates=[self.local_update()], digests=digests
            )
            self.sync_queue.append((self.rng.choice(live), packet))
        datagrams = []
        while self.sync_queue and self.budget.tokens > defaults.CONTROL_RESERVE_BYTES:
            datagrams.append(self.make_datagram(*self.sync_queue.popleft()))
        return datagrams

    def leave(self, phase: Phase, now: float) -> list[Datagram]:
        """Declare that the local member is draining or has left, and notify many members directly.

        :return: no datagrams when the phase did not change.
        """
        if not self.members.declare(phase):
            return []
        self.enqueue_updates()
        candidates = self.routers or tuple(self.members.live())
        targets = self.rng.sample(candidates, min(defaults.MAX_DRAIN_NOTICES, len(candidates)))
        packet = Packet(PacketKind.GOSSIP, self.local_id, updates=[self.local_update()])
        return [
            self.make_datagram(target, packet) for target in targets if target != self.local_id
        ]

    def receive(self, data: bytes, now: float) -> list[Datagram]:
        """Process a datagram and return the answers.

        Datagrams from members outside the inventory are ignored.

        :raises msgspec.DecodeError: when the datagram is malformed.
        """
        packet = self.last_packet = packets.decode(data)
        if packet.sender not in self.members.entries or packet.sender == self.local_id:
            return []
        self.last_received_at = now
        before = self.local_update()
        for update in packet.updates:
            self.members.apply_update(update, now)
        if self.local_update() != before:
            self.probes.degrade_health()
        for topic_value in packet.topic_values:
            self.handle_topic_value(topic_value)
        return self.handlers[packet.kind](packet, now)

    def handle_topic_value(self, topic_value: TopicValue) -> None:
        """Put a new topic value into the inbox, and forward it if its topic is a rumour."""
        if topic_value.origin == self.local_id or not self.accept_topic_value(topic_value):
            return
        self.inbox.append(topic_value)
        if delivery_of(topic_value.topic) is Delivery.RUMOUR:
            self.enqueue(topic_value)

    def correction(self, packet: Packet) -> Update | None:
        """Return the local view of a sender if the sender has to correct it or yield to it.

        That is the case when the sender is not considered alive, or when merging its own update
        did not yield that update: another run has used a later generation or serial.
        """
        entry = self.members.entries[packet.sender]
        claimed = [update for update in packet.updates if update.member == packet.sender]
        conflicting = entry.observed and claimed and claimed[0] != entry.update
        not_alive = entry.update.health is not Health.ALIVE
        return entry.update if conflicting or not_alive else None

    def handle_ping(self, packet: Packet, now: float) -> list[Datagram]:
        """Acknowledge a probe."""
        answer = self.make_packet(
            PacketKind.ACK,
            defaults.MAX_PIGGYBACK_BYTES,
            self.correction(packet),
            sequence=packet.sequence,
            target=self.local_id,
        )
        return [self.make_datagram(packet.sender, answer)]

    def handle_ack(self, packet: Packet, now: float) -> list[Datagram]:
        """Complete a probe, or forward the acknowledgement to the member that asked for it."""
        indirect = self.probes.indirect.pop(packet.sequence, None)
        if indirect is not None and indirect.target == packet.target:
            answer = Packet(PacketKind.ACK, self.local_id, indirect.sequence, indirect.target)
            return [self.make_datagram(indirect.origin, answer)]
        probe = self.probes.pending.get(packet.sequence)
        if probe is not None and probe.target == packet.target:
            self.probes.acknowledge(packet.sequence)
            corrected = any(update.member == self.local_id for update in packet.updates)
            self.members.established = self.members.established or not corrected
        return []

    def handle_nack(self, packet: Packet, now: float) -> list[Datagram]:
        """Record that a helper answered but could not reach the target."""
        self.probes.record_nack(packet.sequence)
        return []

    def handle_relay(self, packet: Packet, now: float) -> list[Datagram]:
        """Probe a member on behalf of the sender."""
        if packet.target not in self.members.entries:
            return []
        sequence_number = self.probes.relay(packet.sender, packet.sequence, packet.target, now)
        return [self.ping(packet.target, sequence_number)]

    def handle_gossip(self, packet: Packet, now: float) -> list[Datagram]:
        """Notify a sender that is not considered alive, so that it can refute that.

        The content of the packet has been processed by :meth:`receive`.
        """
        entry = self.members.entries[packet.sender]
        if entry.update.health is Health.ALIVE:
            return []
        answer = Packet(PacketKind.GOSSIP, self.local_id, updates=[entry.update])
        return [self.make_datagram(packet.sender, answer)]

    def handle_updates(self, packet: Packet, now: float) -> list[Datagram]:
        """Keep the updates of an anti-entropy exchange out of dissemination.

        Only the local member's own update, such as a refutation, is still queued: the others have
        been disseminated before.
        """
        changed = self.members.changed
        changed[:] = [update for update in changed if update.member == self.local_id]
        return []

    def handle_digests(self, packet: Packet, now: float) -> list[Datagram]:
        """Queue the updates that the sender's table may lack, and request those missing here."""
        updates = self.members.differing_updates(packet.digests)
        if not updates:
            return []
        if packet.kind is PacketKind.DIGESTS:
            digests = self.members.digests()
            reply = Packet(PacketKind.DIGESTS_REPLY, self.local_id, digests=digests)
            self.sync_queue.append((packet.sender, reply))
        chunk_size = defaults.UPDATES_PER_SYNC_PACKET
        for start in range(0, len(updates), chunk_size):
            chunk = Packet(
                PacketKind.UPDATES, self.local_id, updates=updates[start : start + chunk_size]
            )
            self.sync_queue.append((packet.sender, chunk))
        return []
