"""Interfaces of components that :class:`~hickorylever.environment.Environment` refers to."""

from typing import Protocol

from .decisions.claims import Change, Claim, Outcome
from .decisions.swim import Swim
from .exceptions import Kind
from .packets import Phase
from .records import VM, Member


class Membership(Protocol):
    """The members of the fleet, implemented by :class:`hickorylever.gossip.Gossip`.

    :ivar vms: name of the VM of each endpoint, by the name of the endpoint.
    :ivar inventory: VMs by their member id in packets.
    """

    swim: Swim
    vms: dict[str, str]
    inventory: dict[int, VM]

    def usable(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive new requests."""

    def record_refusal(self, endpoint: str, kind: Kind) -> None:
        """Stop using an endpoint whose sidecar is draining or unreachable."""

    def live_members(self) -> list[Member]:
        """Return the members that are considered ready."""

    def publish(self, topic: str, value: object) -> None:
        """Publish a value on a topic."""

    def bind(self, address: str, port: int) -> None:
        """Bind the UDP socket."""

    async def leave(self, phase: Phase) -> None:
        """Announce that this process is draining or has left."""

    async def run(self) -> None:
        """Run the protocol until cancelled."""


class ClaimService(Protocol):
    """Claims of guarded requests; see :class:`hickorylever.controllers.claims.Claims`."""

    async def settle(self, change: Change, deadline: float) -> Claim:
        """Apply a change, by this router or a preferred one, and return the claim in force."""

    async def commit(self, change: Change) -> Claim:
        """Write a change to the object API and return the claim in force."""

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Record the outcome of a claimed request."""
