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
from ..packets import Health, News, Packet, PacketKind, Phase, Update
from .members import Members
from .probes import Probes
from .rumours import Budget, Rumours
from .topics import Group, Spread, spread_of, value_of

UPDATE_VALUE = 3


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to send to a member.

    :param kind: label for metrics: the packet kind in lower case, or the topic of a sample.
    """

    target: int
    data: bytes
    kind: str


class Swim:
    """The protocol state of one member.

    :param me: id of the local member.
    :param generation: identifies this run of the process and has to grow from run to run. The
        wall-clock time in milliseconds is a suitable value.
    :param chance: source of randomness for targets and intervals.
    """

    def __init__(self, me: int, generation: int, chance: random.Random):
        self.me = me
        self.chance = chance
        self.members = Members(me, generation)
        self.probes = Probes(chance, self.probe_candidates)
        self.rumours = Rumours(lambda: len(self.members.entries))
        self.budget = Budget(defaults.CONTROL_RATE, defaults.CONTROL_BURST)
        self.groups: dict[str, tuple[Group, ...]] = {}
        self.routers: tuple[int, ...] = ()
        self.mine: dict[str, News] = {}
        self.seen: dict[tuple[str, int], int] = {}
        self.inbox: list[News] = []
        self.chunks: collections.deque[tuple[int, Packet]] = collections.deque()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.version = generation << 20
        self.heard_at = -math.inf
        self.latest: Packet | None = None
        self.ticked_at: float | None = None
        self.gossip_due = 0.0
        self.sample_due = 0.0
        self.sync_due = 0.0
        self.rounds = 0
        self.handlers = {
            PacketKind.PING: self.take_ping,
            PacketKind.ACK: self.take_ack,
            PacketKind.NACK: self.take_nack,
            PacketKind.RELAY: self.take_relay,
            PacketKind.GOSSIP: self.take_gossip,
            PacketKind.UPDATES: self.take_updates,
            PacketKind.DIGESTS: self.take_digests,
            PacketKind.DIGESTS_REPLY: self.take_digests,
        }

    def isolated(self, now: float) -> bool:
        """Return whether no member has been heard from for ``defaults.ISOLATION_TIME`` seconds.

        A missing answer from an isolated member's peers does not count as their failure.
        """
        return now - self.heard_at > defaults.ISOLATION_TIME

    def probe_candidates(self) -> list[int]:
        """Return the ids of the members to probe."""
        return self.members.live()

    def tell(self, topic: str, value: object) -> None:
        """Publish the local member's latest value of a topic.

        A value of a :attr:`Spread.REACHED` topic is ignored unless it exceeds the previous one.
        """
        self.version += 1
        news = News(self.me, topic, self.version, value)
        spread = spread_of(topic)
        if spread is Spread.REACHED and topic in self.mine and value <= self.mine[topic].value:
            return
        self.mine[topic] = news
        if spread is not Spread.SAMPLE:
            self.pass_on(news)

    def is_news(self, news: News) -> bool:
        """Record the version of an item and return whether the item has to be processed.

        Items that are no newer than the last one from the same origin are rejected, and so are
        values of :attr:`Spread.REACHED` topics that do not exceed the local member's own.
        """
        key = (news.topic, news.origin)
        if news.version <= self.seen.get(key, 0):
            return False
        self.seen[key] = news.version
        reached = spread_of(news.topic) is Spread.REACHED
        return (
            not reached or news.topic not in self.mine or news.value > self.mine[news.topic].value
        )

    def pass_on(self, news: News) -> None:
        """Queue an item for dissemination."""
        key = (news.topic, news.origin)
        self.rumours.add(key, news, len(packets.encode(news)), value_of(news.topic))

    def queue_updates(self) -> None:
        """Queue the membership updates that have changed since the last call."""
        for update in self.members.changed:
            size = len(packets.encode(update))
            self.rumours.add(("member", update.member), update, size, UPDATE_VALUE)
        self.members.changed.clear()

    def packet(
        self, kind: PacketKind, room: int, first: Update | None = None, copies: int = 1, **more
    ) -> Packet:
        """Return a packet with up to `room` bytes of queued updates and topics piggybacked.

        :param first: an update that is included whether it is queued or not.
        :param copies: number of members that the packet is sent to.
        """
        self.queue_updates()
        items = self.rumours.take(room, copies)
        updates = [item for item in items if isinstance(item, Update)]
        if first is not None and first not in updates:
            updates.insert(0, first)
        news = [item for item in items if isinstance(item, News)]
        if kind in (PacketKind.PING, PacketKind.ACK):
            news += [item for item in self.reached() if item not in news]
        return Packet(kind, self.me, updates=updates, news=news, **more)

    def reached(self) -> list[News]:
        """Return the local member's values of :attr:`Spread.REACHED` topics.

        Probes and their answers always carry them, for members that dissemination has missed.
        """
        return [news for topic, news in self.mine.items() if spread_of(topic) is Spread.REACHED]

    def send(self, target: int, packet: Packet) -> Send:
        """Return a datagram that is always sent; its size may overdraw the budget."""
        send = Send(target, packets.encode(packet), packet.kind.name.lower())
        self.budget.force(len(send.data) + defaults.DATAGRAM_OVERHEAD)
        return send

    def offer(self, target: int, packet: Packet, kind: str, reserve: float) -> list[Send]:
        """Return a datagram if the budget allows for it, otherwise count it as dropped.

        :param reserve: bytes that have to remain in the budget afterwards.
        """
        data = packets.encode(packet)
        if not self.budget.take(len(data) + defaults.DATAGRAM_OVERHEAD, reserve):
            self.dropped[kind] += 1
            return []
        return [Send(target, data, kind)]

    def my_update(self) -> Update:
        """Return the local member's own update."""
        return self.members.entries[self.me].update

    def tick(self, now: float) -> list[Send]:
        """Run everything that is due and return the datagrams to send.

        It is called every ``defaults.GOSSIP_TICK`` seconds.
        """
        self.notice_pause(now)
        self.budget.fill(now)
        sends = self.finish_probes(now)
        if not self.isolated(now):
            self.members.expire(now)
        sends += self.begin_probe(now)
        sends += self.gossip(now)
        sends += self.samples(now)
        sends += self.synchronise(now)
        return sends

    def notice_pause(self, now: float) -> None:
        """Discard time-outs that were running while this process was paused.

        Answers that arrived during the pause have not been read, so their absence says nothing
        about the other members.
        """
        gap = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        if gap < defaults.PAUSE_NOTICED:
            return
        self.probes.abandon(now)
        self.members.postpone(gap)

    def finish_probes(self, now: float) -> list[Send]:
        """Retry overdue probes, suspect members whose probes failed and report failed relays."""
        sends = []
        for number, probe in self.probes.unanswered(now):
            packet = Packet(PacketKind.RELAY, self.me, number, probe.target)
            sends += [self.send(helper, packet) for helper in self.probes.helpers(probe)]
            sends.append(self.ping(probe.target, number))
        for target in self.probes.failed(now):
            if not self.isolated(now):
                self.members.suspect(target, now)
        for relayed in self.probes.declined(now):
            packet = Packet(PacketKind.NACK, self.me, relayed.sequence, relayed.target)
            sends.append(self.send(relayed.origin, packet))
        return sends

    def begin_probe(self, now: float) -> list[Send]:
        """Start the probe of the next member if it is due.

        Every ``defaults.PROBE_GONE_EVERY`` rounds a member that is gone is probed as well, so that
        the two sides of a healed partition find each other again.
        """
        if now < self.probes.due:
            return []
        self.rounds += 1
        targets = []
        target = self.probes.next_target()
        if target is not None:
            targets.append(target)
        gone = self.members.gone() if self.rounds % defaults.PROBE_GONE_EVERY == 0 else []
        if gone:
            targets.append(self.chance.choice(gone))
        return [self.ping(target, self.probes.begin(target, now)) for target in targets]

    def ping(self, target: int, sequence: int) -> Send:
        """Return a probe.

        It carries the local view of a target that is not alive, so that the target can refute it.
        """
        entry = self.members.entries.get(target)
        packet = self.packet(
            PacketKind.PING, defaults.PIGGYBACK_BYTES, self.my_update(), sequence=sequence
        )
        if entry is not None and entry.update.health is not Health.ALIVE:
            packet.updates.append(entry.update)
        return self.send(target, packet)

    def gossip(self, now: float) -> list[Send]:
        """Send queued updates and topics to a few random members if it is due."""
        self.queue_updates()
        if now < self.gossip_due or not self.rumours:
            return []
        self.gossip_due = now + defaults.GOSSIP_INTERVAL
        live = self.members.live()
        targets = self.chance.sample(live, min(defaults.GOSSIP_FANOUT, len(live)))
        if not targets or self.budget.tokens < len(targets) * defaults.DATAGRAM_BYTES:
            self.dropped["gossip"] += 1
            return []
        packet = self.packet(PacketKind.GOSSIP, defaults.DATAGRAM_BYTES, copies=len(targets))
        return [self.send(target, packet) for target in targets]

    def samples(self, now: float) -> list[Send]:
        """Send the sampled topics to their groups if it is due, in order of descending value."""
        if now < self.sample_due:
            return []
        self.sample_due = now + defaults.SAMPLE_INTERVAL
        sends = []
        sampled = [name for name in self.mine if spread_of(name) is Spread.SAMPLE]
        order = sorted(sampled, key=lambda name: -value_of(name))
        for name in order:
            packet = Packet(PacketKind.GOSSIP, self.me, news=[self.mine[name]])
            low = value_of(name) == 0
            reserve = defaults.CONTROL_RESERVE * (2 if low else 1)
            for group in self.groups.get(name, ()):
                chosen = self.chance.sample(group.members, min(group.count, len(group.members)))
                for target in chosen:
                    sends += self.offer(target, packet, name, reserve)
        return sends

    def synchronise(self, now: float) -> list[Send]:
        """Start an anti-entropy exchange with a random member if it is due.

        Packets of exchanges that are under way are sent as far as the budget allows. Until the
        local member is established, exchanges start every ``defaults.PROBE_INTERVAL`` seconds.
        """
        live = self.members.live() if now >= self.sync_due else []
        if live:
            joined = self.members.established
            pause = defaults.SYNC_INTERVAL if joined else defaults.PROBE_INTERVAL
            self.sync_due = now + pause * self.chance.uniform(0.75, 1.25)
            digests = self.members.digests()
            packet = Packet(
                PacketKind.DIGESTS, self.me, updates=[self.my_update()], digests=digests
            )
            self.chunks.append((self.chance.choice(live), packet))
        sends = []
        while self.chunks and self.budget.tokens > defaults.CONTROL_RESERVE:
            sends.append(self.send(*self.chunks.popleft()))
        return sends

    def leave(self, phase: Phase, now: float) -> list[Send]:
        """Declare that the local member is draining or has left, and notify many members directly.

        :return: no datagrams when the phase did not change.
        """
        if not self.members.declare(phase):
            return []
        self.queue_updates()
        near = self.routers or tuple(self.members.live())
        targets = self.chance.sample(near, min(defaults.DRAIN_NOTICES, len(near)))
        packet = Packet(PacketKind.GOSSIP, self.me, updates=[self.my_update()])
        return [self.send(target, packet) for target in targets if target != self.me]

    def receive(self, data: bytes, now: float) -> list[Send]:
        """Process a datagram and return the answers.

        Datagrams from members outside the inventory are ignored.

        :raises msgspec.DecodeError: when the datagram is malformed.
        """
        packet = self.latest = packets.decode(data)
        if packet.sender not in self.members.entries or packet.sender == self.me:
            return []
        self.heard_at = now
        before = self.my_update()
        for update in packet.updates:
            self.members.hear(update, now)
        if self.my_update() != before:
            self.probes.blame_myself()
        for news in packet.news:
            self.take_news(news)
        return self.handlers[packet.kind](packet, now)

    def take_news(self, news: News) -> None:
        """Put a new topic value into the inbox, and forward it if its topic is a rumour."""
        if news.origin == self.me or not self.is_news(news):
            return
        self.inbox.append(news)
        if spread_of(news.topic) is Spread.RUMOUR:
            self.pass_on(news)

    def correction(self, packet: Packet) -> Update | None:
        """Return the local view of a sender if the sender has to correct it or yield to it.

        That is the case when the sender is not considered alive, or when merging its own update
        did not yield that update: another run has used a later generation or serial.
        """
        entry = self.members.entries[packet.sender]
        said = [update for update in packet.updates if update.member == packet.sender]
        wrong = entry.heard and said and said[0] != entry.update
        doubted = entry.update.health is not Health.ALIVE
        return entry.update if wrong or doubted else None

    def take_ping(self, packet: Packet, now: float) -> list[Send]:
        """Acknowledge a probe."""
        answer = self.packet(
            PacketKind.ACK,
            defaults.PIGGYBACK_BYTES,
            self.correction(packet),
            sequence=packet.sequence,
            target=self.me,
        )
        return [self.send(packet.sender, answer)]

    def take_ack(self, packet: Packet, now: float) -> list[Send]:
        """Complete a probe, or forward the acknowledgement to the member that asked for it."""
        relayed = self.probes.relayed.pop(packet.sequence, None)
        if relayed is not None and relayed.target == packet.target:
            answer = Packet(PacketKind.ACK, self.me, relayed.sequence, relayed.target)
            return [self.send(relayed.origin, answer)]
        probe = self.probes.open.get(packet.sequence)
        if probe is not None and probe.target == packet.target:
            self.probes.acknowledge(packet.sequence)
            corrected = any(update.member == self.me for update in packet.updates)
            self.members.established = self.members.established or not corrected
        return []

    def take_nack(self, packet: Packet, now: float) -> list[Send]:
        """Record that a helper answered but could not reach the target."""
        self.probes.decline(packet.sequence)
        return []

    def take_relay(self, packet: Packet, now: float) -> list[Send]:
        """Probe a member on behalf of the sender."""
        if packet.target not in self.members.entries:
            return []
        number = self.probes.relay(packet.sender, packet.sequence, packet.target, now)
        return [self.ping(packet.target, number)]

    def take_gossip(self, packet: Packet, now: float) -> list[Send]:
        """Notify a sender that is not considered alive, so that it can refute that.

        The content of the packet has been processed by :meth:`receive`.
        """
        entry = self.members.entries[packet.sender]
        if entry.update.health is Health.ALIVE:
            return []
        answer = Packet(PacketKind.GOSSIP, self.me, updates=[entry.update])
        return [self.send(packet.sender, answer)]

    def take_updates(self, packet: Packet, now: float) -> list[Send]:
        """Keep the updates of an anti-entropy exchange out of dissemination.

        Only the local member's own update, such as a refutation, is still queued: the others have
        been disseminated before.
        """
        changed = self.members.changed
        changed[:] = [update for update in changed if update.member == self.me]
        return []

    def take_digests(self, packet: Packet, now: float) -> list[Send]:
        """Queue the updates that the sender's table may lack, and request those missing here."""
        updates = self.members.differing(packet.digests)
        if not updates:
            return []
        if packet.kind is PacketKind.DIGESTS:
            digests = self.members.digests()
            reply = Packet(PacketKind.DIGESTS_REPLY, self.me, digests=digests)
            self.chunks.append((packet.sender, reply))
        each = defaults.SYNC_UPDATES
        for start in range(0, len(updates), each):
            chunk = Packet(PacketKind.UPDATES, self.me, updates=updates[start : start + each])
            self.chunks.append((packet.sender, chunk))
        return []
