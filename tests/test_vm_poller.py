from harness import FleetHarness, run

from hickorylever import defaults, gossip, vm_poller
from hickorylever.packets import member_id
from hickorylever.records import MemberState
from hickorylever.settings import Settings
from hickorylever.standins.vms import SimulatedVMList


def test_vm_list_shows_changes_with_a_delay_and_in_order():
    now = [0.0]
    standin = SimulatedVMList(10.0, seed=3, clock=lambda: now[0])
    standin.set_state("a", "live")
    standin.set_state("a", "leaving")
    seen = []
    for now[0] in range(12):
        seen += [entry.state for entry in standin.list_vms() if entry.state not in seen]
    assert seen[-1] == "leaving"
    standin.set_state("a", "absent")
    now[0] = 30.0
    assert standin.list_vms() == []


def test_leaving_vm_is_drained_and_an_outage_changes_nothing():
    async def main():
        async with FleetHarness(engines=2) as world:
            standin = SimulatedVMList(0.0)
            port = await world.serve(standin.server)
            env = world.routers[0].env
            env.settings = Settings("entry-0", "north", "north-a", "", vm_list=f"127.0.0.1:{port}")
            gossip.attach_router(env)
            env.gossip.apply_fleet(env.revisions.current)
            standin.set_state("vm-engine-0", "leaving")
            standin.set_state("vm-engine-1", "live")
            for _ in range(2):
                await vm_poller.read_list(env)
                state = env.gossip.swim.members.state
                assert state(member_id("vm-engine-0")) is MemberState.DRAINING
                assert state(member_id("vm-engine-1")) is MemberState.JOINING
                standin.outage = True

    run(main)


def test_call_rate_of_the_fleet_is_bounded():
    assert 1130 / vm_poller.poll_interval(1130) <= defaults.VM_LIST_CALLS_PER_SECOND
    assert vm_poller.poll_interval(8) == defaults.MIN_VM_LIST_INTERVAL_SECONDS
