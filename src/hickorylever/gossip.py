"""The gossip's shell: a UDP socket on the admin listener's port number, the clock and metrics."""

import time
from collections.abc import Awaitable, Callable

import curio
import msgspec
from curio import socket

from . import admission, configuration, defaults, limits, suspicion
from .decisions.members import VMListing
from .decisions.swim import Datagram, Swim
from .decisions.topics import SampleGroup
from .events import Event, log
from .exceptions import Kind
from .packets import PacketKind, Phase, Update, member_id
from .records import VM, Load, Member, MemberState
from .registry import Registry
from .settings import split_address

Handler = Callable[..., Awaitable[None]]
topics: Registry[Handler] = Registry("topic")

MALFORMED = (msgspec.DecodeError, TypeError, ValueError)
ROLES = {"entry": "router", "endpoint": "sidecar"}


@topics.register("load")
async def take_load(env, origin: str, value: object) -> None:
    """Take the load of a sidecar's endpoint."""
    endpoint, work, running, capacity = value
    if env.gossip.vms.get(endpoint) != origin:
        return
    load = Load(endpoint, float(work), int(running), int(capacity), time=env.clock())
    admission.take_load(env, load)


@topics.register("use")
async def take_use(env, origin: str, value: object) -> None:
    """Take another router's use of client accounts."""
    limits.record_usage(env, origin, value)


@topics.register("revision")
async def take_revision(env, origin: str, value: object) -> None:
    """Take the number of the revision that a member has in force."""
    await configuration.handle_announcement(env, origin, int(value))


@topics.register("suspect")
async def take_suspect(env, origin: str, value: object) -> None:
    """Take a record of a crash."""
    suspicion.take_suspects(env, origin, value)


class Gossip:
    """The membership as this process sees it, and topics told to other processes.

    :param ready: tells whether this process may be given work.
    """

    def __init__(self, env, ready: Callable[[], bool]):
        self.env = env
        self.ready = ready
        generation = time.time_ns() // 1_000_000
        self.swim = Swim(member_id(env.settings.vm), generation, env.chance)
        self.names: dict[int, str] = {}
        self.roles: dict[int, str] = {}
        self.places: dict[int, tuple[str, int]] = {}
        self.inventory: dict[int, VM] = {}
        self.vms: dict[str, str] = {}
        self.members: list[Member] = []
        self.members_version = -1
        self.answers: dict[str, bool] = {}
        self.superseded = False
        self.sock = None
        env.adopted.append(self.take_fleet)

    def take_fleet(self, revision) -> None:
        """Take members from the configuration that was put in force."""
        fleet = self.env.fleet
        ports = dict(split_address(peer) for peer in self.env.settings.peers)
        self.inventory = {member_id(vm.name): vm for vm in fleet.vms}
        self.names = {member: vm.name for member, vm in self.inventory.items()}
        self.roles = {member: ROLES[vm.role] for member, vm in self.inventory.items()}
        for member, vm in self.inventory.items():
            port = ports.get(vm.address, defaults.ADMIN_PORT)
            known = self.places.get(member, ("", 0))
            self.places[member] = known if known[0] == vm.address else (vm.address, port)
        self.vms = {endpoint.name: endpoint.vm for endpoint in fleet.endpoints}
        self.swim.members.set_inventory(self.inventory)
        self.set_groups()
        self.swim.publish("revision", revision.number)

    def set_groups(self) -> None:
        """Choose whom the sampled topics go to."""
        me = self.swim.local_id
        routers = tuple(m for m, role in self.roles.items() if role == "router" and m != me)
        pools = {endpoint.vm: endpoint.application for endpoint in self.env.fleet.endpoints}
        pool = pools.get(self.env.settings.vm)
        peers = tuple(member_id(vm) for vm, name in pools.items() if name == pool)
        peers = tuple(member for member in peers if member != me)
        self.swim.routers = routers
        self.swim.groups = {
            "use": (SampleGroup(routers, defaults.USAGE_FANOUT),),
            "load": (
                SampleGroup(peers, defaults.LOAD_PEER_FANOUT),
                SampleGroup(routers, defaults.LOAD_ROUTER_FANOUT),
            ),
        }

    def tell(self, topic: str, value: object) -> None:
        """Tell others this process's latest value of a topic."""
        self.swim.publish(topic, value)

    def bind(self, address: str, port: int) -> None:
        """Open the socket on the admin listener's number."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((address, port))

    async def run(self) -> None:
        """Receive and tick until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.receive)
            await group.spawn(self.tick)

    async def receive(self) -> None:
        """Take datagrams until cancelled; malformed ones are left out."""
        while True:
            data, place = await self.sock.recvfrom(2 * defaults.MAX_DATAGRAM_BYTES)
            try:
                sends = self.swim.receive(data, self.env.clock())
            except MALFORMED:
                self.count("malformed", "received", "", len(data))
                continue
            self.note_place(data, place)
            await self.transmit(sends)
            await self.handle_news()

    def note_place(self, data: bytes, place: tuple[str, int]) -> None:
        """Count a datagram, and remember the port of a member that listens on another one."""
        packet = self.swim.last_packet
        known = self.places.get(packet.sender)
        if known is not None and known[0] == place[0]:
            self.places[packet.sender] = place
        role = self.roles.get(packet.sender, "")
        self.count(PacketKind(packet.kind).name.lower(), "received", role, len(data))

    def count(self, kind: str, direction: str, peer: str, size: int) -> None:
        """Count the bytes of a datagram with its headers."""
        labels = {"kind": kind, "direction": direction, "peer": peer}
        self.env.metrics.control_bytes.add(labels, size + defaults.DATAGRAM_OVERHEAD_BYTES)

    async def transmit(self, sends: list[Datagram]) -> None:
        """Send datagrams; what the network refuses counts as lost."""
        for send in sends:
            place = self.places.get(send.target)
            if place is None:
                continue
            try:
                await self.sock.sendto(send.data, place)
            except OSError:
                continue
            self.count(send.kind, "sent", self.roles.get(send.target, ""), len(send.data))

    async def handle_news(self) -> None:
        """Give what was heard to the topics' handlers."""
        inbox = self.swim.inbox
        while inbox:
            news = inbox.pop(0)
            origin = self.names.get(news.origin)
            if origin is None or news.topic not in topics:
                continue
            try:
                await topics[news.topic](self.env, origin, news.value)
            except (TypeError, ValueError) as error:
                log(Event.NEWS_REJECTED, f"{news.topic}: {error}", 30, origin=origin)

    async def tick(self) -> None:
        """Do what is due until cancelled."""
        while True:
            self.declare_phase()
            await self.transmit(self.swim.tick(self.env.clock()))
            self.answers.clear()
            await curio.sleep(defaults.GOSSIP_TICK_SECONDS)

    def declare_phase(self) -> None:
        """Tell whether this process may be given work, and note a later run of it."""
        if not self.env.draining:
            self.swim.members.declare(Phase.READY if self.ready() else Phase.JOINING)
        if self.swim.members.superseded and not self.superseded:
            self.superseded = True
            log(Event.SUPERSEDED, f"another process runs as {self.env.settings.vm}", 30)

    async def leave(self, phase: Phase) -> None:
        """Tell many members at once that this process drains or ends."""
        if self.sock is not None:
            await self.transmit(self.swim.leave(phase, self.env.clock()))

    def note_refusal(self, endpoint: str, kind: Kind) -> None:
        """Take what a failed attempt tells about an endpoint."""
        note = REFUSALS.get(kind)
        if note is not None:
            note(self, endpoint)

    def note_draining(self, endpoint: str) -> None:
        """Take an endpoint out of use whose sidecar has refused work since it drains."""
        member = member_id(self.vms.get(endpoint, ""))
        entry = self.swim.members.entries.get(member)
        if entry is None:
            return
        known = entry.update
        update = Update(member, known.generation, known.serial, Phase.DRAINING, known.health)
        self.swim.members.apply_update(update, self.env.clock())
        self.answers.clear()

    def note_unreachable(self, endpoint: str) -> None:
        """Suspect an endpoint's sidecar that can't be connected to."""
        member = member_id(self.vms.get(endpoint, ""))
        if not self.swim.isolated(self.env.clock()):
            self.swim.members.suspect(member, self.env.clock())
            self.answers.clear()

    def set_listed(self, listed: dict[str, VMListing]) -> None:
        """Take the VM list."""
        self.swim.members.set_vm_list({member_id(name): value for name, value in listed.items()})

    def usable(self, endpoint: str) -> bool:
        """Tell whether an endpoint may be given new work."""
        answer = self.answers.get(endpoint)
        if answer is None:
            now = self.env.clock()
            member = member_id(self.vms.get(endpoint, ""))
            answer = self.swim.members.usable(member, now, self.swim.isolated(now))
            self.answers[endpoint] = answer
        return answer

    def live_members(self) -> list[Member]:
        """Return the ready members, this one among them."""
        version = self.swim.members.version
        if version != self.members_version:
            self.members_version = version
            self.members = [
                self.member(member, vm)
                for member, vm in self.inventory.items()
                if self.swim.members.state(member) is MemberState.READY
            ]
        return self.members

    def member(self, member: int, vm: VM) -> Member:
        """Return one member of the inventory."""
        update = self.swim.members.entries[member].update
        return Member(
            name=vm.name,
            address=vm.address,
            port=self.places[member][1],
            role=self.roles[member],
            region=vm.region,
            failure_domain=vm.failure_domain,
            incarnation=f"{update.generation:x}",
            state=self.swim.members.state(member),
            serial=update.serial,
        )


REFUSALS = {
    Kind.DRAINING: Gossip.note_draining,
    Kind.NO_ENDPOINT: Gossip.note_unreachable,
}


def attach(env, ready: Callable[[], bool]) -> None:
    """Let a process take part in the gossip once it runs."""
    env.gossip = Gossip(env, ready)


def attach_router(env) -> None:
    """Let a router take part; it tells its use of client accounts."""
    attach(env, lambda: env.fleet is not None)

    async def tell_use() -> None:
        value = env.limits.account_usage.local_work(env.clock())
        largest = sorted(value, key=value.get, reverse=True)[: defaults.MAX_USAGE_ACCOUNTS]
        env.gossip.tell("use", {name: value[name] for name in largest})

    env.timers.subscribe("use", defaults.SAMPLE_INTERVAL_SECONDS, tell_use)


def attach_sidecar(env, sidecar, ready: Callable[[], bool]) -> None:
    """Let a sidecar take part; it tells its endpoint's load."""
    attach(env, ready)

    async def tell_load() -> None:
        endpoint = sidecar.endpoint()
        if endpoint is not None:
            attempts = sidecar.attempts
            value = (endpoint.name, attempts.work, attempts.running, endpoint.capacity)
            env.gossip.tell("load", value)

    env.timers.subscribe("load", defaults.SAMPLE_INTERVAL_SECONDS / 2, tell_load)
