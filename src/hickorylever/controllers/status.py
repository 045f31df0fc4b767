"""Publishes what the fleet looks like, at a bounded rate and only when it changed."""

import collections

import msgspec

from .. import defaults
from ..exceptions import Conflict
from ..packets import member_id
from . import controllers

KIND = "status"
NAME = "fleet"


class FleetStatus(msgspec.Struct, frozen=True):
    """The status object.

    :param number: the fencing number that it was written under.
    :param states: number of members in each state.
    :param unready: names of members that are not ready, as many as fit.
    """

    number: int
    revision: int
    states: dict[str, int]
    unready: list[str]


@controllers.register("status")
class Status:
    """Writes the status object."""

    def __init__(self, env, keeper):
        self.env = env
        self.keeper = keeper
        self.written: FleetStatus | None = None
        self.looked_at = -defaults.STATUS_INTERVAL_SECONDS
        self.written_at = -defaults.STATUS_REFRESH_SECONDS

    def status(self, number: int) -> FleetStatus:
        """Return the status as this router sees it."""
        members = self.env.gossip.swim.members
        states = {vm.name: members.state(member_id(vm.name)).value for vm in self.env.fleet.vms}
        unready = sorted(name for name, state in states.items() if state != "ready")
        counts = dict(collections.Counter(states.values()))
        revision = self.env.revisions.number
        return FleetStatus(number, revision, counts, unready[: defaults.MAX_STATUS_NAMES])

    async def run(self, number: int) -> None:
        """Write the status when it has changed or the last write is long ago."""
        now = self.env.clock()
        if now - self.looked_at < defaults.STATUS_INTERVAL_SECONDS:
            return
        self.looked_at = now
        status = self.status(number)
        if status == self.written and now - self.written_at < defaults.STATUS_REFRESH_SECONDS:
            return
        await self.write(status)
        self.written = status
        self.written_at = now

    async def write(self, status: FleetStatus) -> None:
        """Write the status unless a later holder has written.

        :raises Conflict: when one has, or the lease lapsed meanwhile.
        """
        platform = self.env.platform
        entry = await platform.get(KIND, NAME)
        known = msgspec.json.decode(entry.value, type=FleetStatus) if entry.version else None
        later = known is not None and known.number > status.number
        if later or not self.keeper.lease.holds(self.env.clock()):
            raise Conflict(f"{KIND}/{NAME}: a later holder of the lease writes it")
        await platform.put(KIND, NAME, msgspec.json.encode(status), entry.version)
