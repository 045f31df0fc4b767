import curio
import pytest
from curio import socket
from harness import HOST, FleetHarness, run

from hickorylever import gossip, packets
from hickorylever.exceptions import Kind
from hickorylever.packets import Packet, PacketKind, Phase, TopicValue, member_id
from hickorylever.readiness import Readiness
from hickorylever.records import VM, MemberState
from hickorylever.standins.engine import Engine


class GossipHarness(FleetHarness):
    """Runs gossip over UDP between routers and sidecars."""

    def make_fleet(self, endpoints):
        fleet = super().make_fleet(endpoints)
        entries = [
            VM(f"entry-{number}", HOST, "north", "north-a", "entry")
            for number in range(self.router_count)
        ]
        return type(fleet)(**{**fields(fleet), "vms": (*fleet.vms, *entries)})

    def apply_fleet(self, fleet, number):
        for router in self.routers:
            gossip.attach_router(router.env)
        for sidecar in self.sidecars.values():
            gossip.attach_sidecar(sidecar.env, sidecar, lambda: True)
        super().apply_fleet(fleet, number)

    async def start(self):
        await super().start()
        addresses = {}
        for env in self.environments():
            env.gossip.bind(HOST, 0)
            addresses[member_id(env.settings.vm)] = (HOST, env.gossip.sock.getsockname()[1])
        for env in self.environments():
            env.gossip.addresses.update(addresses)
            await self.spawn(env.gossip.run)
        await self.wait_until(lambda: all(self.has_converged(env) for env in self.environments()))

    def has_converged(self, env):
        return len(env.gossip.live_members()) == len(self.environments())

    async def wait_until(self, condition):
        while not condition():
            await curio.sleep(0.01)


def fields(record):
    return {name: getattr(record, name) for name in record.__dataclass_fields__}


def test_topics_reach_their_handlers():
    async def main():
        async with GossipHarness() as harness:
            router = harness.routers[0].env
            reports = router.loads.reports
            harness.sidecars["engine-0"].attempts.work = 123.0
            await harness.wait_until(
                lambda: "engine-0" in reports and reports["engine-0"].work == 123.0
            )
            await gossip.handle_load(router, "vm-engine-1", ("engine-0", 9.0, 2, 1))
            assert reports["engine-0"].work == 123.0

    run(main)


def test_draining_sidecar_receives_no_requests():
    async def main():
        async with GossipHarness(routers=2) as harness:
            sidecar = harness.sidecars["engine-0"]
            sidecar.env.draining = True
            await sidecar.env.announce_phase(Phase.DRAINING)
            routers = [router.env for router in harness.routers]
            await harness.wait_until(lambda: not any(env.usable("engine-0") for env in routers))
            for number in range(4):
                status, _, _ = await harness.chat(f"chat {number}", router=number % 2)
                assert status == 200
            assert harness.engines[0].runs == 0 and harness.engines[1].runs == 4

    run(main)


@pytest.mark.parametrize(
    "kind, state",
    [(Kind.DRAINING, MemberState.DRAINING), (Kind.NO_ENDPOINT, MemberState.SUSPECT)],
)
def test_refused_attempt_marks_endpoint_unusable(kind, state):
    async def main():
        async with GossipHarness() as harness:
            env = harness.routers[0].env
            assert env.usable("engine-0")
            env.record_refusal("engine-0", kind)
            assert not env.usable("engine-0") and env.usable("engine-1")
            assert env.gossip.swim.members.state(member_id("vm-engine-0")) is state

    run(main)


def test_control_bytes_and_malformed_datagrams():
    async def main():
        async with GossipHarness() as harness:
            env = harness.routers[0].env
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender = member_id("vm-engine-0")
            invalid_values = [
                TopicValue(sender, "revision", 2**62, "high"),
                TopicValue(sender, "load", 2**62, 7),
            ]
            bad_revision = packets.encode(
                Packet(PacketKind.GOSSIP, sender, topic_values=invalid_values[:1])
            )
            bad_load = packets.encode(
                Packet(PacketKind.GOSSIP, sender, topic_values=invalid_values[1:])
            )
            malformed = (b"", b"\xc1", b"\x97" + b"\x00" * 9, b"x" * 5000, bad_revision, bad_load)
            for data in malformed:
                await sock.sendto(data, env.gossip.sock.getsockname())
            await harness.wait_until(lambda: b'kind="malformed"' in env.metrics.render())
            text = env.metrics.render().decode()
            assert 'direction="sent",kind="ping",peer="sidecar"' in text
            assert harness.has_converged(env)
            harness.sidecars["engine-1"].attempts.work = 5.0
            await harness.wait_until(lambda: "engine-1" in env.loads.reports)

    run(main)


def test_readiness_follows_endpoint():
    async def main():
        async with FleetHarness(engines=1) as harness:
            env = harness.sidecars["engine-0"].env
            engine = Engine("other")
            task_port = await harness.serve(engine.server)
            readiness = Readiness(env, HOST, task_port)
            assert not readiness.ready()
            await readiness.check()
            assert readiness.ready()
            await harness.tasks[-1].cancel()
            await readiness.check()
            assert readiness.ready()
            await readiness.check()
            assert not readiness.ready()

    run(main)
