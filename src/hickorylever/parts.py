"""What the central object knows of the parts above it; each part fills in its own place."""

from typing import Protocol

from .decisions.claims import Change, Claim, Outcome
from .decisions.swim import Swim
from .exceptions import Kind
from .packets import Phase
from .records import VM, Member


class Membership(Protocol):
    """The members of the fleet, as :class:`hickorylever.gossip.Gossip` sees them.

    :ivar vms: the VM that an endpoint runs on, by the endpoint's name.
    :ivar inventory: VMs by the number that stands for them in packets.
    """

    swim: Swim
    vms: dict[str, str]
    inventory: dict[int, VM]

    def usable(self, endpoint: str) -> bool:
        """Tell whether an endpoint may be given new work."""

    def note_refusal(self, endpoint: str, kind: Kind) -> None:
        """Take an endpoint out of use whose sidecar drains or can't be reached."""

    def live_members(self) -> list[Member]:
        """Return the members that are believed to be ready."""

    def tell(self, topic: str, value: object) -> None:
        """Tell other members a value."""

    def bind(self, address: str, port: int) -> None:
        """Take the socket's address."""

    async def leave(self, phase: Phase) -> None:
        """Tell other members that this process drains or ends."""

    async def run(self) -> None:
        """Talk until cancelled."""


class ClaimKeeper(Protocol):
    """The claims of guarded requests, as :class:`hickorylever.controllers.claims.Claims`."""

    async def settle(self, change: Change, deadline: float) -> Claim:
        """Return the claim after a change was settled."""

    async def commit(self, change: Change) -> Claim:
        """Write a change."""

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Note how a claim's request ended."""
