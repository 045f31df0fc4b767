import curio
import msgspec
import pytest
from harness import FleetHarness, run

from hickorylever import defaults
from hickorylever.controllers.cleanup import expired_suspicions
from hickorylever.controllers.leases import LeaseClient, read_lease
from hickorylever.controllers.status import FleetStatus, Status
from hickorylever.decisions.leases import FencingCheck, Lease, LeaseRecord, Step, Verdict
from hickorylever.exceptions import Conflict
from hickorylever.objects import Object
from hickorylever.standins.objects import Faults
from hickorylever.suspicion import CrashRecord


def take(lease, version=0, now=0.0):
    lease.observe(version, lease.record, now)
    record = lease.record_for(Step.TAKE)
    lease.write_succeeded(version + 1, record, now)
    return record


def test_a_lease_is_renewed_in_time_and_expires_by_the_clock_of_its_holder():
    lease = Lease("a")
    assert lease.next_step(0.0) is Step.READ
    assert take(lease) == LeaseRecord("a", 1, 1)
    assert lease.next_step(0.1) is Step.WAIT
    assert lease.next_step(defaults.LEASE_DURATION_SECONDS * 0.5) is Step.RENEW
    assert not lease.holds(defaults.LEASE_DURATION_SECONDS)


def test_an_observer_takes_over_only_after_the_object_stayed_unchanged():
    lease = Lease("b")
    for now in (0.0, 5.0, 10.0):
        lease.observe(int(now) + 1, LeaseRecord("a", 4, int(now)), now)
    assert lease.next_step(10.0 + defaults.LEASE_TAKEOVER_SECONDS - 0.1) is Step.READ
    assert lease.next_step(10.0 + defaults.LEASE_TAKEOVER_SECONDS) is Step.TAKE
    assert lease.record_for(Step.TAKE).number == 5
    lease.observe(12, LeaseRecord("", 4, 99), 11.0)
    assert lease.next_step(11.0) is Step.TAKE


def test_a_lease_is_read_again_after_a_lost_reply():
    lease = Lease("a")
    record = take(lease)
    lease.write_unconfirmed()
    assert not lease.holds(1.0) and lease.next_step(1.0) is Step.READ
    lease.observe(2, record, 1.0)
    assert lease.next_step(defaults.LEASE_DURATION_SECONDS + 1) is Step.RENEW


FENCING_CASES = [
    (None, 5, Verdict.NOT_READ),
    (5, 4, Verdict.OLDER),
    (5, 5, Verdict.OBEY),
    (5, 6, Verdict.OBEY),
]


@pytest.mark.parametrize("known, number, verdict", FENCING_CASES)
def test_older_numbers_and_all_numbers_before_the_lease_is_read_are_refused(
    known, number, verdict
):
    check = FencingCheck(known)
    assert check.validate(number) is verdict
    if verdict is Verdict.OBEY:
        assert check.validate(number - 1) is Verdict.OLDER
        check.set_stored_number(1)
        assert check.validate(number - 1) is Verdict.OLDER


def lease_clients(world, count=2):
    return [LeaseClient(router.env, "placement") for router in world.routers[:count]]


def test_a_paused_holder_is_fenced_off_after_a_take_over():
    async def main():
        async with FleetHarness(engines=0, routers=2) as world:
            first, second = lease_clients(world)
            shift = {"by": 0.0}
            env = world.routers[1].env
            real = env.clock
            env.clock = lambda: real() + shift["by"]
            for lease_client in (first, first, second, second):
                await lease_client.step()
            assert first.lease.holds(first.env.clock()) and not second.lease.holds(env.clock())
            shift["by"] = defaults.LEASE_TAKEOVER_SECONDS + 1
            assert await second.step()
            assert second.lease.record.number == 2
            first.lease.held_until = 0.0
            assert not await first.step()
            assert (await read_lease(env.platform, "placement"))[1].number == 2

    run(main)


def test_a_lost_reply_to_a_take_over_does_not_raise_the_number_twice():
    async def main():
        async with FleetHarness(engines=0) as world:
            (lease_client,) = lease_clients(world, 1)
            await lease_client.step()
            world.objects.faults = Faults(lost_replies=1.0)
            assert not await lease_client.step()
            world.objects.faults = Faults()
            await lease_client.step()
            assert await lease_client.step() and lease_client.lease.record.number == 1
            await lease_client.release()
            assert (await read_lease(lease_client.env.platform, "placement"))[1].holder == ""

    run(main)


def test_a_status_of_a_later_holder_is_never_replaced():
    async def main():
        async with FleetHarness(engines=0) as world:
            (lease_client,) = lease_clients(world, 1)
            await lease_client.step()
            assert await lease_client.step()
            status = Status(lease_client.env, lease_client)
            await status.write(FleetStatus(7, 1, {}, []))
            with pytest.raises(Conflict):
                await status.write(FleetStatus(6, 1, {}, []))
            lease_client.lease.held_until = 0.0
            with pytest.raises(Conflict):
                await status.write(FleetStatus(8, 1, {}, []))
            entry = await lease_client.env.platform.get("status", "fleet")
            assert msgspec.json.decode(entry.value, type=FleetStatus).number == 7

    run(main)


def test_only_old_suspicions_expire():
    def entry(time):
        return Object("suspects", "x", 1, msgspec.json.encode(CrashRecord("c", [], time)))

    old, young = entry(0.0), entry(10_000.0)
    assert expired_suspicions([old, young], 10_000.0) == [old]


def test_nothing_is_done_while_the_object_api_is_down():
    async def main():
        async with FleetHarness(routers=1) as world:
            (lease_client,) = lease_clients(world, 1)
            world.objects.faults = Faults(outage=True)
            with pytest.raises(Exception, match="status 503"):
                await lease_client.step()
            assert (await world.chat())[0] == 200
            await curio.sleep(0)

    run(main)
