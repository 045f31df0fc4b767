"""One member of the gossip: probes, rumours, samples and synchronisation over datagrams.

Bytes go in and out; sockets and the clock belong to the caller.
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
    """A datagram for a member."""

    target: int
    data: bytes
    kind: str


class Swim:
    """The whole state of one member's gossip.

    :param me: this member's id.
    :param generation: this run of the process; the wall clock's milliseconds are a good hint.
    """

    def __init__(self, me: int, generation: int, chance: random.Random):
        self.me = me
        self.chance = chance
        self.members = Members(me, generation)
        self.probes = Probes(chance, self.probe_candidates)
        self.rumours = Rumours(lambda: len(self.members.entries))
        self.budget = Budget(defaults.CONTROL_BYTES_PER_SECOND, defaults.CONTROL_BURST_BYTES)
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
        """Tell whether nobody was heard for a while, so that silence means nothing."""
        return now - self.heard_at > defaults.ISOLATION_TIMEOUT_SECONDS

    def probe_candidates(self) -> list[int]:
        """Return the members to probe."""
        return self.members.live()

    def tell(self, topic: str, value: object) -> None:
        """Tell others this member's latest value of a topic."""
        self.version += 1
        news = News(self.me, topic, self.version, value)
        spread = spread_of(topic)
        if spread is Spread.REACHED and topic in self.mine and value <= self.mine[topic].value:
            return
        self.mine[topic] = news
        if spread is not Spread.SAMPLE:
            self.pass_on(news)

    def is_news(self, news: News) -> bool:
        """Remember an item if it is newer than what is known. False when it is not."""
        key = (news.topic, news.origin)
        if news.version <= self.seen.get(key, 0):
            return False
        self.seen[key] = news.version
        reached = spread_of(news.topic) is Spread.REACHED
        return (
            not reached or news.topic not in self.mine or news.value > self.mine[news.topic].value
        )

    def pass_on(self, news: News) -> None:
        """Queue an item for others."""
        key = (news.topic, news.origin)
        self.rumours.add(key, news, len(packets.encode(news)), value_of(news.topic))

    def queue_updates(self) -> None:
        """Queue changed members for others."""
        for update in self.members.changed:
            size = len(packets.encode(update))
            self.rumours.add(("member", update.member), update, size, UPDATE_VALUE)
        self.members.changed.clear()

    def packet(
        self, kind: PacketKind, room: int, first: Update | None = None, copies: int = 1, **more
    ) -> Packet:
        """Return a packet filled with rumours up to `room` bytes, for `copies` members."""
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
        """Return the values that this member has reached; probes carry them for laggards."""
        return [news for topic, news in self.mine.items() if spread_of(topic) is Spread.REACHED]

    def send(self, target: int, packet: Packet) -> Send:
        """Return a datagram that must go out; it is charged to the budget."""
        send = Send(target, packets.encode(packet), packet.kind.name.lower())
        self.budget.force(len(send.data) + defaults.DATAGRAM_OVERHEAD_BYTES)
        return send

    def offer(self, target: int, packet: Packet, kind: str, reserve: float) -> list[Send]:
        """Return a datagram if the budget has room for it."""
        data = packets.encode(packet)
        if not self.budget.take(len(data) + defaults.DATAGRAM_OVERHEAD_BYTES, reserve):
            self.dropped[kind] += 1
            return []
        return [Send(target, data, kind)]

    def my_update(self) -> Update:
        """Return what this member says of itself."""
        return self.members.entries[self.me].update

    def tick(self, now: float) -> list[Send]:
        """Do what is due. Call it several times a second."""
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
        """After a pause of this process, trust no silence that fell into it."""
        gap = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        if gap < defaults.MIN_PROCESS_PAUSE_SECONDS:
            return
        self.probes.abandon(now)
        self.members.postpone(gap)

    def finish_probes(self, now: float) -> list[Send]:
        """Ask again and ask helpers, suspect silent members and tell others of failed relays."""
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
        """Probe the next member, and now and then one that is gone."""
        if now < self.probes.due:
            return []
        self.rounds += 1
        targets = []
        target = self.probes.next_target()
        if target is not None:
            targets.append(target)
        gone = self.members.gone() if self.rounds % defaults.ROUNDS_PER_GONE_PROBE == 0 else []
        if gone:
            targets.append(self.chance.choice(gone))
        return [self.ping(target, self.probes.begin(target, now)) for target in targets]

    def ping(self, target: int, sequence: int) -> Send:
        """Return a probe; it carries what is known of its target, which may refute it."""
        entry = self.members.entries.get(target)
        packet = self.packet(
            PacketKind.PING, defaults.MAX_PIGGYBACK_BYTES, self.my_update(), sequence=sequence
        )
        if entry is not None and entry.update.health is not Health.ALIVE:
            packet.updates.append(entry.update)
        return self.send(target, packet)

    def gossip(self, now: float) -> list[Send]:
        """Pass rumours on to a few random members."""
        self.queue_updates()
        if now < self.gossip_due or not self.rumours:
            return []
        self.gossip_due = now + defaults.GOSSIP_INTERVAL_SECONDS
        live = self.members.live()
        targets = self.chance.sample(live, min(defaults.GOSSIP_FANOUT, len(live)))
        if not targets or self.budget.tokens < len(targets) * defaults.MAX_DATAGRAM_BYTES:
            self.dropped["gossip"] += 1
            return []
        packet = self.packet(PacketKind.GOSSIP, defaults.MAX_DATAGRAM_BYTES, copies=len(targets))
        return [self.send(target, packet) for target in targets]

    def samples(self, now: float) -> list[Send]:
        """Send the sampled topics, those of high value first."""
        if now < self.sample_due:
            return []
        self.sample_due = now + defaults.SAMPLE_INTERVAL_SECONDS
        sends = []
        sampled = [name for name in self.mine if spread_of(name) is Spread.SAMPLE]
        order = sorted(sampled, key=lambda name: -value_of(name))
        for name in order:
            packet = Packet(PacketKind.GOSSIP, self.me, news=[self.mine[name]])
            low = value_of(name) == 0
            reserve = defaults.CONTROL_RESERVE_BYTES * (2 if low else 1)
            for group in self.groups.get(name, ()):
                chosen = self.chance.sample(group.members, min(group.count, len(group.members)))
                for target in chosen:
                    sends += self.offer(target, packet, name, reserve)
        return sends

    def synchronise(self, now: float) -> list[Send]:
        """Compare tables with a random member now and then, and send what was asked for."""
        live = self.members.live() if now >= self.sync_due else []
        if live:
            joined = self.members.established
            pause = defaults.SYNC_INTERVAL_SECONDS if joined else defaults.PROBE_INTERVAL_SECONDS
            self.sync_due = now + pause * self.chance.uniform(0.75, 1.25)
            digests = self.members.digests()
            packet = Packet(
                PacketKind.DIGESTS, self.me, updates=[self.my_update()], digests=digests
            )
            self.chunks.append((self.chance.choice(live), packet))
        sends = []
        while self.chunks and self.budget.tokens > defaults.CONTROL_RESERVE_BYTES:
            sends.append(self.send(*self.chunks.popleft()))
        return sends

    def leave(self, phase: Phase, now: float) -> list[Send]:
        """Declare that this member drains or has left, to many members at once."""
        if not self.members.declare(phase):
            return []
        self.queue_updates()
        near = self.routers or tuple(self.members.live())
        targets = self.chance.sample(near, min(defaults.MAX_DRAIN_NOTICES, len(near)))
        packet = Packet(PacketKind.GOSSIP, self.me, updates=[self.my_update()])
        return [self.send(target, packet) for target in targets if target != self.me]

    def receive(self, data: bytes, now: float) -> list[Send]:
        """Take a datagram and return the answers.

        :raises msgspec.DecodeError: when it is malformed.
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
        """Keep news for the handlers, and pass rumours on."""
        if news.origin == self.me or not self.is_news(news):
            return
        self.inbox.append(news)
        if spread_of(news.topic) is Spread.RUMOUR:
            self.pass_on(news)

    def correction(self, packet: Packet) -> Update | None:
        """Return what is known of a sender if that is newer than what it says of itself."""
        entry = self.members.entries[packet.sender]
        said = [update for update in packet.updates if update.member == packet.sender]
        wrong = entry.heard and said and said[0] != entry.update
        doubted = entry.update.health is not Health.ALIVE
        return entry.update if wrong or doubted else None

    def take_ping(self, packet: Packet, now: float) -> list[Send]:
        """Answer a probe."""
        answer = self.packet(
            PacketKind.ACK,
            defaults.MAX_PIGGYBACK_BYTES,
            self.correction(packet),
            sequence=packet.sequence,
            target=self.me,
        )
        return [self.send(packet.sender, answer)]

    def take_ack(self, packet: Packet, now: float) -> list[Send]:
        """Note a sign of life, for this member or for the one that asked for it."""
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
        """Note that a helper could not reach the target."""
        self.probes.decline(packet.sequence)
        return []

    def take_relay(self, packet: Packet, now: float) -> list[Send]:
        """Probe a member for the sender."""
        if packet.target not in self.members.entries:
            return []
        number = self.probes.relay(packet.sender, packet.sequence, packet.target, now)
        return [self.ping(packet.target, number)]

    def take_gossip(self, packet: Packet, now: float) -> list[Send]:
        """Rumours were taken already; a doubted sender is told of the doubt."""
        entry = self.members.entries[packet.sender]
        if entry.update.health is Health.ALIVE:
            return []
        answer = Packet(PacketKind.GOSSIP, self.me, updates=[entry.update])
        return [self.send(packet.sender, answer)]

    def take_updates(self, packet: Packet, now: float) -> list[Send]:
        """Pass on only what concerns this member; the rest was told before."""
        changed = self.members.changed
        changed[:] = [update for update in changed if update.member == self.me]
        return []

    def take_digests(self, packet: Packet, now: float) -> list[Send]:
        """Queue the updates that the sender's table may lack, and ask for its own."""
        updates = self.members.differing(packet.digests)
        if not updates:
            return []
        if packet.kind is PacketKind.DIGESTS:
            digests = self.members.digests()
            reply = Packet(PacketKind.DIGESTS_REPLY, self.me, digests=digests)
            self.chunks.append((packet.sender, reply))
        each = defaults.UPDATES_PER_SYNC_PACKET
        for start in range(0, len(updates), each):
            chunk = Packet(PacketKind.UPDATES, self.me, updates=updates[start : start + each])
            self.chunks.append((packet.sender, chunk))
        return []
