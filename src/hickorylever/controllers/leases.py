"""Holds leases in the object API and runs the controllers of those that are held."""

import curio
import msgspec
import xxhash

from .. import defaults
from ..decisions.leases import Lease, LeaseRecord, Step
from ..events import Event, log
from ..exceptions import Conflict, ConnectionLost, LostReply, PlatformError
from . import cleanup, controllers, placement, status  # noqa: F401

KIND = "leases"


async def read_lease(platform, name: str) -> tuple[int, LeaseRecord]:
    """Return version and record of a lease; a missing one was never held.

    :raises PlatformError: when it can't be read.
    """
    entry = await platform.get(KIND, name)
    if entry.version == 0:
        return 0, LeaseRecord()
    try:
        return entry.version, msgspec.json.decode(entry.value, type=LeaseRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"lease {name}: {error}") from None


class Keeper:
    """Takes and renews one lease.

    :param name: of the lease, which is its controller's.
    """

    def __init__(self, env, name: str):
        self.env = env
        self.name = name
        self.lease = Lease(env.incarnation)
        self.told = False

    def candidate(self) -> bool:
        """Tell whether this router should try; few do, so that calls don't grow."""
        members = self.env.live_members()
        routers = [member.name for member in members if member.role == "router"]

        def rank(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{self.name} {name}".encode())

        chosen = sorted(routers, key=rank)[: defaults.LEASE_CANDIDATES]
        return not routers or self.env.settings.vm in chosen

    async def step(self) -> bool:
        """Do what is due and return whether the lease is held.

        :raises PlatformError: when the object API can't be asked.
        """
        lease = self.lease
        now = self.env.clock()
        if not self.env.draining and (lease.holds(now) or self.candidate()):
            await STEPS[lease.next_step(now)](self)
        held = lease.holds(self.env.clock())
        if held != self.told:
            self.told = held
            event = Event.LEASE_TAKEN if held else Event.LEASE_LOST
            log(event, f"{self.name}: fencing number {lease.record.number}")
        return held

    async def wait(self) -> None:
        """Nothing is due."""

    async def read(self) -> None:
        """Read the lease's object."""
        version, record = await read_lease(self.env.platform, self.name)
        self.lease.observe(version, record, self.env.clock())

    async def take(self) -> None:
        """Try to take the lease over."""
        await self.write(self.lease.record_for(Step.TAKE))

    async def renew(self) -> None:
        """Renew the lease."""
        await self.write(self.lease.record_for(Step.RENEW))

    async def write(self, record: LeaseRecord) -> None:
        """Write a record on the version that was seen."""
        lease = self.lease
        begun = self.env.clock()
        value = msgspec.json.encode(record)
        try:
            entry = await self.env.platform.put(KIND, self.name, value, lease.version)
        except Conflict:
            lease.write_conflicted()
        except LostReply:
            lease.write_unconfirmed()
        else:
            lease.write_succeeded(entry.version, record, begun)

    async def resign(self) -> None:
        """Give the lease up, so that another can take it at once; failures are ignored."""
        if not self.lease.holds(self.env.clock()):
            return
        try:
            await self.write(self.lease.release_record())
        except PlatformError as error:
            log(Event.CONTROLLER_FAILED, f"{self.name}: {error}", 30)


STEPS = {
    Step.WAIT: Keeper.wait,
    Step.READ: Keeper.read,
    Step.TAKE: Keeper.take,
    Step.RENEW: Keeper.renew,
}


class Runner:
    """Runs one controller while its lease is held.

    :param name: of the controller.
    """

    def __init__(self, env, name: str):
        self.env = env
        self.keeper = Keeper(env, name)
        self.controller = controllers[name](env, self.keeper)

    async def run(self) -> None:
        """Step until cancelled; a failure is logged and tried again."""
        while True:
            spread = self.env.rng.uniform(0.8, 1.2)
            await curio.sleep(defaults.CONTROLLER_INTERVAL_SECONDS * spread)
            try:
                await self.step()
            except (PlatformError, ConnectionLost) as error:
                log(Event.CONTROLLER_FAILED, f"{self.keeper.name}: {error}", 30)

    async def step(self) -> None:
        """Keep the lease, then let the controller work for less than the lease lasts."""
        if self.env.draining:
            await self.keeper.resign()
        elif self.env.fleet is not None and await self.keeper.step():
            async with curio.ignore_after(defaults.LEASE_DURATION_SECONDS / 3):
                await self.controller.run(self.keeper.lease.record.number)


def attach(env) -> None:
    """Let a router run controllers."""
    env.tasks += [Runner(env, name).run for name in controllers]
