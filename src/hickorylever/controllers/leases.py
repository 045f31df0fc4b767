"""Acquires leases in the object API and runs the controllers whose leases this router holds."""

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
    """Return object version and record of a lease; 0 and an empty record if it was never held.

    :raises PlatformError: if it cannot be read or decoded.
    """
    entry = await platform.get(KIND, name)
    if entry.version == 0:
        return 0, LeaseRecord()
    try:
        return entry.version, msgspec.json.decode(entry.value, type=LeaseRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"lease {name}: {error}") from None


class LeaseClient:
    """Acquires and renews one lease.

    :param name: name of the lease and of its controller.
    """

    def __init__(self, env, name: str):
        self.env = env
        self.name = name
        self.lease = Lease(env.incarnation)
        self.was_held = False

    def is_candidate(self) -> bool:
        """Return whether this router competes for the lease.

        Only ``defaults.LEASE_CANDIDATES`` routers do, chosen by rendezvous hashing, so that the
        calls do not grow with the fleet.
        """
        members = self.env.live_members()
        routers = [member.name for member in members if member.role == "router"]

        def hash_of(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{self.name} {name}".encode())

        candidates = sorted(routers, key=hash_of)[: defaults.LEASE_CANDIDATES]
        return not routers or self.env.settings.vm in candidates

    async def step(self) -> bool:
        """Take the action that is due and return whether the lease is held.

        :raises PlatformError: if the object API cannot be reached.
        """
        lease = self.lease
        now = self.env.clock()
        if not self.env.draining and (lease.holds(now) or self.is_candidate()):
            await ACTIONS[lease.next_step(now)](self)
        held = lease.holds(self.env.clock())
        if held != self.was_held:
            self.was_held = held
            event = Event.LEASE_TAKEN if held else Event.LEASE_LOST
            log(event, f"{self.name}: fencing number {lease.record.number}")
        return held

    async def wait(self) -> None:
        """Do nothing; no action is due."""

    async def read(self) -> None:
        """Read the lease from the object API."""
        version, record = await read_lease(self.env.platform, self.name)
        self.lease.observe(version, record, self.env.clock())

    async def acquire(self) -> None:
        """Try to acquire the lease."""
        await self.write(self.lease.record_for(Step.TAKE))

    async def renew(self) -> None:
        """Renew the lease."""
        await self.write(self.lease.record_for(Step.RENEW))

    async def write(self, record: LeaseRecord) -> None:
        """Write a record conditionally on the version that was last read."""
        lease = self.lease
        started_at = self.env.clock()
        value = msgspec.json.encode(record)
        try:
            entry = await self.env.platform.put(KIND, self.name, value, lease.version)
        except Conflict:
            lease.write_conflicted()
        except LostReply:
            lease.write_unconfirmed()
        else:
            lease.write_succeeded(entry.version, record, started_at)

    async def release(self) -> None:
        """Release the lease, so that another router can acquire it at once; log failures."""
        if not self.lease.holds(self.env.clock()):
            return
        try:
            await self.write(self.lease.release_record())
        except PlatformError as error:
            log(Event.CONTROLLER_FAILED, f"{self.name}: {error}", 30)


ACTIONS = {
    Step.WAIT: LeaseClient.wait,
    Step.READ: LeaseClient.read,
    Step.TAKE: LeaseClient.acquire,
    Step.RENEW: LeaseClient.renew,
}


class ControllerRunner:
    """Runs one controller while its lease is held.

    :param name: name of the controller.
    """

    def __init__(self, env, name: str):
        self.env = env
        self.lease_client = LeaseClient(env, name)
        self.controller = controllers[name](env, self.lease_client)

    async def run(self) -> None:
        """Run iterations until cancelled; failures are logged and retried.

        The interval is random, so that the routers' calls to the object API are spread over time.
        """
        while True:
            jitter = self.env.rng.uniform(0.8, 1.2)
            await curio.sleep(defaults.CONTROLLER_INTERVAL_SECONDS * jitter)
            try:
                await self.step()
            except (PlatformError, ConnectionLost) as error:
                log(Event.CONTROLLER_FAILED, f"{self.lease_client.name}: {error}", 30)

    async def step(self) -> None:
        """Renew the lease, then run the controller for at most a third of the lease's duration."""
        if self.env.draining:
            await self.lease_client.release()
        elif self.env.fleet is not None and await self.lease_client.step():
            async with curio.ignore_after(defaults.LEASE_DURATION_SECONDS / 3):
                await self.controller.run(self.lease_client.lease.record.number)


def attach(env) -> None:
    """Register a task for each controller with a router."""
    env.tasks += [ControllerRunner(env, name).run for name in controllers]
