"""Gossip I/O: runs the protocol of :class:`~.decisions.swim.Swim` over a UDP socket.

The socket has the port number of the admin listener.
"""

import time
from collections.abc import Awaitable, Callable

import curio
import msgspec
from curio import socket

from . import admission, configuration, defaults, limits, suspicion
from .addresses import split_address
from .decisions.members import VMListing
from .decisions.swim import Datagram, Swim
from .decisions.topics import SampleGroup
from .events import Event, log
from .exceptions import Kind
from .packets import PacketKind, Phase, Update, member_id
from .records import VM, Load, Member, MemberState
from .registry import Registry
from .turns import Turns

Handler = Callable[..., Awaitable[None]]
topics: Registry[Handler] = Registry("topic")

DECODE_ERRORS = (msgspec.DecodeError, TypeError, ValueError)
ROLES = {"entry": "router", "endpoint": "sidecar"}


@topics.register("load")
async def handle_load(env, origin: str, value: object) -> None:
    """Record the load of an endpoint, if its own sidecar sent it."""
    endpoint, work, running, capacity = value
    if env.gossip.vms.get(endpoint) != origin:
        return
    load = Load(endpoint, float(work), int(running), int(capacity), time=env.clock())
    admission.record_load(env, load)


@topics.register("use")
async def handle_usage(env, origin: str, value: object) -> None:
    """Record the usage of client accounts at another router."""
    limits.record_usage(env, origin, value)


@topics.register("revision")
async def handle_revision(env, origin: str, value: object) -> None:
    """Process the revision number that a member has in force."""
    await configuration.handle_announcement(env, origin, int(value))


@topics.register("suspect")
async def handle_suspect(env, origin: str, value: object) -> None:
    """Apply a crash or trial record."""
    suspicion.receive_record(env, origin, value)


class Gossip:
    """Membership as seen by this process, and publication of topics to other processes.

    :param ready: returns whether this process accepts work.
    """

    def __init__(self, env, ready: Callable[[], bool]):
        self.env = env
        self.ready = ready
        generation = time.time_ns() // 1_000_000
        self.swim = Swim(member_id(env.settings.vm), generation, env.rng)
        self.vm_names: dict[int, str] = {}
        self.roles: dict[int, str] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.inventory: dict[int, VM] = {}
        self.vms: dict[str, str] = {}
        self.members: list[Member] = []
        self.members_version = -1
        self.usable_cache: dict[str, bool] = {}
        self.superseded = False
        self.sock = None
        env.configuration_callbacks.append(self.apply_fleet)

    def apply_fleet(self, revision) -> None:
        """Update members, addresses and topic groups from the configuration in force."""
        fleet = self.env.fleet
        ports = dict(split_address(peer) for peer in self.env.settings.peers)
        self.inventory = {member_id(vm.name): vm for vm in fleet.vms}
        self.vm_names = {member: vm.name for member, vm in self.inventory.items()}
        self.roles = {member: ROLES[vm.role] for member, vm in self.inventory.items()}
        for member, vm in self.inventory.items():
            port = ports.get(vm.address, defaults.ADMIN_PORT)
            known = self.addresses.get(member, ("", 0))
            self.addresses[member] = known if known[0] == vm.address else (vm.address, port)
        self.vms = {endpoint.name: endpoint.vm for endpoint in fleet.endpoints}
        self.swim.members.set_inventory(self.inventory)
        self.set_topic_groups()
        self.swim.publish("revision", revision.number)

    def set_topic_groups(self) -> None:
        """Set the receivers of the sampled topics."""
        own_id = self.swim.local_id
        routers = tuple(m for m, role in self.roles.items() if role == "router" and m != own_id)
        pools = {endpoint.vm: endpoint.application for endpoint in self.env.fleet.endpoints}
        pool = pools.get(self.env.settings.vm)
        peers = tuple(member_id(vm) for vm, name in pools.items() if name == pool)
        peers = tuple(member for member in peers if member != own_id)
        self.swim.routers = routers
        self.swim.groups = {
            "use": (SampleGroup(routers, defaults.USAGE_FANOUT),),
            "load": (
                SampleGroup(peers, defaults.LOAD_PEER_FANOUT),
                SampleGroup(routers, defaults.LOAD_ROUTER_FANOUT),
            ),
        }

    def publish(self, topic: str, value: object) -> None:
        """Publish the latest value of a topic."""
        self.swim.publish(topic, value)

    def bind(self, address: str, port: int) -> None:
        """Bind the UDP socket."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((address, port))

    async def run(self) -> None:
        """Run the receiver and the periodic tasks until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.receive)
            await group.spawn(self.tick)

    async def receive(self) -> None:
        """Receive datagrams until cancelled; malformed ones are counted and dropped."""
        turns = Turns(defaults.DATAGRAMS_PER_TURN)
        while True:
            await turns.step()
            data, peer_address = await self.sock.recvfrom(2 * defaults.MAX_DATAGRAM_BYTES)
            try:
                datagrams = self.swim.receive(data, self.env.clock())
            except DECODE_ERRORS:
                self.count("malformed", "received", "", len(data))
                continue
            self.record_sender(data, peer_address)
            await self.transmit(datagrams)
            await self.handle_topic_values()

    def record_sender(self, data: bytes, peer_address: tuple[str, int]) -> None:
        """Count a received datagram, and update the port of its sender.

        A member may listen on another port than the default. Its address must match the
        configuration.
        """
        packet = self.swim.last_packet
        known = self.addresses.get(packet.sender)
        if known is not None and known[0] == peer_address[0]:
            self.addresses[packet.sender] = peer_address
        role = self.roles.get(packet.sender, "")
        self.count(PacketKind(packet.kind).name.lower(), "received", role, len(data))

    def count(self, kind: str, direction: str, peer: str, size: int) -> None:
        """Count the bytes of a datagram, IP and UDP headers included."""
        labels = {"kind": kind, "direction": direction, "peer": peer}
        self.env.metrics.control_bytes.add(labels, size + defaults.DATAGRAM_OVERHEAD_BYTES)

    async def transmit(self, datagrams: list[Datagram]) -> None:
        """Send datagrams. Send errors are ignored, as the protocol tolerates packet loss."""
        for datagram in datagrams:
            peer_address = self.addresses.get(datagram.target)
            if peer_address is None:
                continue
            try:
                await self.sock.sendto(datagram.data, peer_address)
            except OSError:
                continue
            self.count(
                datagram.kind, "sent", self.roles.get(datagram.target, ""), len(datagram.data)
            )

    async def handle_topic_values(self) -> None:
        """Pass received topic values to their handlers."""
        inbox = self.swim.inbox
        while inbox:
            topic_value = inbox.pop(0)
            origin = self.vm_names.get(topic_value.origin)
            if origin is None or topic_value.topic not in topics:
                continue
            try:
                await topics[topic_value.topic](self.env, origin, topic_value.value)
            except (TypeError, ValueError) as error:
                log(Event.NEWS_REJECTED, f"{topic_value.topic}: {error}", 30, origin=origin)

    async def tick(self) -> None:
        """Run the protocol periods until cancelled."""
        while True:
            self.update_phase()
            await self.transmit(self.swim.tick(self.env.clock()))
            self.usable_cache.clear()
            await curio.sleep(defaults.GOSSIP_TICK_SECONDS)

    def update_phase(self) -> None:
        """Announce the phase of this process; log once when it has been superseded."""
        if not self.env.draining:
            self.swim.members.declare(Phase.READY if self.ready() else Phase.JOINING)
        if self.swim.members.superseded and not self.superseded:
            self.superseded = True
            log(
                Event.SUPERSEDED,
                f"a later process runs under the VM name {self.env.settings.vm}",
                30,
            )

    async def leave(self, phase: Phase) -> None:
        """Announce directly to many members that this process is draining or has left."""
        if self.sock is not None:
            await self.transmit(self.swim.leave(phase, self.env.clock()))

    def record_refusal(self, endpoint: str, kind: Kind) -> None:
        """Update the state of an endpoint's member after a refused attempt."""
        handler = REFUSAL_HANDLERS.get(kind)
        if handler is not None:
            handler(self, endpoint)

    def mark_draining(self, endpoint: str) -> None:
        """Mark the sidecar of an endpoint as draining."""
        member = member_id(self.vms.get(endpoint, ""))
        entry = self.swim.members.entries.get(member)
        if entry is None:
            return
        known = entry.update
        update = Update(member, known.generation, known.serial, Phase.DRAINING, known.health)
        self.swim.members.apply_update(update, self.env.clock())
        self.usable_cache.clear()

    def mark_unreachable(self, endpoint: str) -> None:
        """Mark the sidecar of an endpoint as suspected, unless this process is isolated."""
        member = member_id(self.vms.get(endpoint, ""))
        if not self.swim.isolated(self.env.clock()):
            self.swim.members.suspect(member, self.env.clock())
            self.usable_cache.clear()

    def set_vm_list(self, vm_list: dict[str, VMListing]) -> None:
        """Pass the VM list of the platform to the membership."""
        self.swim.members.set_vm_list({member_id(name): value for name, value in vm_list.items()})

    def usable(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive new requests."""
        is_usable = self.usable_cache.get(endpoint)
        if is_usable is None:
            now = self.env.clock()
            member = member_id(self.vms.get(endpoint, ""))
            is_usable = self.swim.members.usable(member, now, self.swim.isolated(now))
            self.usable_cache[endpoint] = is_usable
        return is_usable

    def live_members(self) -> list[Member]:
        """Return the ready members, including this process if it is ready."""
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
        """Return the member record of a VM of the inventory."""
        update = self.swim.members.entries[member].update
        return Member(
            name=vm.name,
            address=vm.address,
            port=self.addresses[member][1],
            role=self.roles[member],
            region=vm.region,
            failure_domain=vm.failure_domain,
            incarnation=f"{update.generation:x}",
            state=self.swim.members.state(member),
            serial=update.serial,
        )


REFUSAL_HANDLERS = {
    Kind.DRAINING: Gossip.mark_draining,
    Kind.NO_ENDPOINT: Gossip.mark_unreachable,
}


def attach(env, ready: Callable[[], bool]) -> None:
    """Create the gossip of a process; :func:`.node.run_node` runs it."""
    env.gossip = Gossip(env, ready)


def attach_router(env) -> None:
    """Create the gossip of a router, which publishes its usage of client accounts."""
    attach(env, lambda: env.fleet is not None)

    async def publish_usage() -> None:
        value = env.limits.account_usage.local_work(env.clock())
        largest = sorted(value, key=value.get, reverse=True)[: defaults.MAX_USAGE_ACCOUNTS]
        env.gossip.publish("use", {name: value[name] for name in largest})

    env.timers.subscribe("use", defaults.SAMPLE_INTERVAL_SECONDS, publish_usage)


def attach_sidecar(env, sidecar, ready: Callable[[], bool]) -> None:
    """Create the gossip of a sidecar, which publishes the load of its endpoint."""
    attach(env, ready)

    async def publish_load() -> None:
        endpoint = sidecar.endpoint()
        if endpoint is not None:
            attempts = sidecar.attempts
            value = (endpoint.name, attempts.work, attempts.running, endpoint.capacity)
            env.gossip.publish("load", value)

    env.timers.subscribe("load", defaults.SAMPLE_INTERVAL_SECONDS / 2, publish_load)
