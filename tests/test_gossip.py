import curio
import pytest
from curio import socket
from harness import HOST, World, run

from hickorylever import gossip, packets
from hickorylever.exceptions import Kind
from hickorylever.packets import Packet, PacketKind, Phase, TopicValue, member_id
from hickorylever.readiness import Readiness
from hickorylever.records import VM, MemberState
from hickorylever.standins.engine import Engine


class Talk(World):
    """A world whose routers and sidecars gossip over UDP."""

    def make_fleet(self, endpoints):
        fleet = super().make_fleet(endpoints)
        entries = [
            VM(f"entry-{number}", HOST, "north", "north-a", "entry")
            for number in range(self.router_count)
        ]
        return type(fleet)(**{**fields(fleet), "vms": (*fleet.vms, *entries)})

    def put_in_force(self, fleet, number):
        for router in self.routers:
            gossip.attach_router(router.env)
        for sidecar in self.sidecars.values():
            gossip.attach_sidecar(sidecar.env, sidecar, lambda: True)
        super().put_in_force(fleet, number)

    async def start(self):
        await super().start()
        addresses = {}
        for env in self.environments():
            env.gossip.bind(HOST, 0)
            addresses[member_id(env.settings.vm)] = (HOST, env.gossip.sock.getsockname()[1])
        for env in self.environments():
            env.gossip.addresses.update(addresses)
            await self.spawn(env.gossip.run)
        await self.until(lambda: all(self.knows(env) for env in self.environments()))

    def knows(self, env):
        return len(env.gossip.live_members()) == len(self.environments())

    async def until(self, condition):
        while not condition():
            await curio.sleep(0.01)


def fields(record):
    return {name: getattr(record, name) for name in record.__dataclass_fields__}


def test_topics_reach_their_handlers():
    async def main():
        async with Talk() as world:
            router = world.routers[0].env
            reports = router.loads.reports
            world.sidecars["engine-0"].attempts.work = 123.0
            await world.until(lambda: "engine-0" in reports and reports["engine-0"].work == 123.0)
            await gossip.handle_load(router, "vm-engine-1", ("engine-0", 9.0, 2, 1))
            assert reports["engine-0"].work == 123.0

    run(main)


def test_a_draining_sidecar_is_out_of_use_at_routers_and_requests_go_on():
    async def main():
        async with Talk(routers=2) as world:
            sidecar = world.sidecars["engine-0"]
            sidecar.env.draining = True
            await sidecar.env.tell_phase(Phase.DRAINING)
            routers = [router.env for router in world.routers]
            await world.until(lambda: not any(env.usable("engine-0") for env in routers))
            for number in range(4):
                status, _, _ = await world.chat(f"chat {number}", router=number % 2)
                assert status == 200
            assert world.engines[0].runs == 0 and world.engines[1].runs == 4

    run(main)


@pytest.mark.parametrize(
    "kind, state",
    [(Kind.DRAINING, MemberState.DRAINING), (Kind.NO_ENDPOINT, MemberState.SUSPECT)],
)
def test_a_failed_attempt_takes_the_endpoint_out_of_use_at_once(kind, state):
    async def main():
        async with Talk() as world:
            env = world.routers[0].env
            assert env.usable("engine-0")
            env.note_refusal("engine-0", kind)
            assert not env.usable("engine-0") and env.usable("engine-1")
            assert env.gossip.swim.members.state(member_id("vm-engine-0")) is state

    run(main)


def test_control_bytes_are_counted_and_malformed_datagrams_ignored():
    async def main():
        async with Talk() as world:
            env = world.routers[0].env
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            teller = member_id("vm-engine-0")
            wrong = [
                TopicValue(teller, "revision", 2**62, "high"),
                TopicValue(teller, "load", 2**62, 7),
            ]
            strange = packets.encode(Packet(PacketKind.GOSSIP, teller, topic_values=wrong[:1]))
            unread = packets.encode(Packet(PacketKind.GOSSIP, teller, topic_values=wrong[1:]))
            malformed = (b"", b"\xc1", b"\x97" + b"\x00" * 9, b"x" * 5000, strange, unread)
            for data in malformed:
                await sock.sendto(data, env.gossip.sock.getsockname())
            await world.until(lambda: b'kind="malformed"' in env.metrics.render())
            text = env.metrics.render().decode()
            assert 'direction="sent",kind="ping",peer="sidecar"' in text
            assert world.knows(env)
            world.sidecars["engine-1"].attempts.work = 5.0
            await world.until(lambda: "engine-1" in env.loads.reports)

    run(main)


def test_readiness_follows_the_endpoint():
    async def main():
        async with World(engines=1) as world:
            env = world.sidecars["engine-0"].env
            engine = Engine("other")
            task_port = await world.serve(engine.server)
            readiness = Readiness(env, HOST, task_port)
            assert not readiness.ready()
            await readiness.check()
            assert readiness.ready()
            await world.tasks[-1].cancel()
            await readiness.check()
            assert readiness.ready()
            await readiness.check()
            assert not readiness.ready()

    run(main)
