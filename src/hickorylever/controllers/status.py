"""Publishes a status object on change, at a limited rate, and refreshes it periodically."""

import collections

import msgspec

from .. import defaults
from ..exceptions import Conflict
from ..packets import member_id
from . import controllers

KIND = "status"
NAME = "fleet"


class FleetStatus(msgspec.Struct, frozen=True):
    """The value of the status object.

    :param number: fencing number of the lease under which it was written.
    :param revision: configuration revision in force on the writer.
    :param states: number of members in each state.
    :param unready: names of members that are not ready, at most ``defaults.MAX_STATUS_NAMES``.
    """

    number: int
    revision: int
    states: dict[str, int]
    unready: list[str]


@controllers.register("status")
class Status:
    """Writes the status object.

    :param lease_client: client of this controller's lease.
    :param last_written: the status that was last written, None before.
    :param written_at: monotonic time in seconds of that write.
    """

    def __init__(self, env, lease_client):
        self.env = env
        self.lease_client = lease_client
        self.last_written: FleetStatus | None = None
        self.last_check_at = -defaults.STATUS_INTERVAL_SECONDS
        self.written_at = -defaults.STATUS_REFRESH_SECONDS

    def current_status(self, number: int) -> FleetStatus:
        """Return the status from this router's view of the membership."""
        members = self.env.gossip.swim.members
        states = {vm.name: members.state(member_id(vm.name)).value for vm in self.env.fleet.vms}
        unready = sorted(name for name, state in states.items() if state != "ready")
        counts = dict(collections.Counter(states.values()))
        revision = self.env.revisions.number
        return FleetStatus(number, revision, counts, unready[: defaults.MAX_STATUS_NAMES])

    async def run(self, number: int) -> None:
        """Write the status if it has changed or is ``defaults.STATUS_REFRESH_SECONDS`` old."""
        now = self.env.clock()
        if now - self.last_check_at < defaults.STATUS_INTERVAL_SECONDS:
            return
        self.last_check_at = now
        status = self.current_status(number)
        if status == self.last_written and now - self.written_at < defaults.STATUS_REFRESH_SECONDS:
            return
        await self.write(status)
        self.last_written = status
        self.written_at = now

    async def write(self, status: FleetStatus) -> None:
        """Write the status object.

        :raises Conflict: if a later holder of the lease has written it, or the lease has expired.
        """
        platform = self.env.platform
        entry = await platform.get(KIND, NAME)
        stored = msgspec.json.decode(entry.value, type=FleetStatus) if entry.version else None
        superseded = stored is not None and stored.number > status.number
        if superseded or not self.lease_client.lease.holds(self.env.clock()):
            raise Conflict(f"{KIND}/{NAME}: the lease has expired or has a later holder")
        await platform.put(KIND, NAME, msgspec.json.encode(status), entry.version)
