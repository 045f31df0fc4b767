"""Simulated VM list API of the platform, in which changes appear with a random delay."""

import random
import time
from collections.abc import Callable

from ..exceptions import Kind, RequestError
from ..http import Exchange, Server
from ..node import refuse, respond_json
from ..vm_poller import PATH, ListedVM


class SimulatedVMList:
    """Simulated VM list.

    :param max_delay: maximum delay of a change in seconds. The delay of each change is random.
    :param seed: seed for the delays.
    :ivar outage: whether calls fail.
    :ivar changes: for each VM, the times from which its states are listed.
    """

    def __init__(
        self, max_delay: float, seed: int = 0, clock: Callable[[], float] = time.monotonic
    ):
        self.max_delay = max_delay
        self.clock = clock
        self.rng = random.Random(seed)
        self.outage = False
        self.changes: dict[str, list[tuple[float, str]]] = {}
        self.server = Server(self.handle, refuse)

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a VM. The list shows the change after a delay.

        :param state: ``live``, ``leaving`` or ``absent``.
        """
        changes = self.changes.setdefault(name, [])
        listed_at = self.clock() + self.rng.uniform(0, self.max_delay)
        changes.append((max([listed_at, *(at for at, _ in changes)]), state))

    def list_vms(self) -> list[ListedVM]:
        """Return the VMs that the list shows now."""
        now = self.clock()
        result = []
        for name, changes in self.changes.items():
            states = [state for at, state in changes if at <= now]
            if states and states[-1] != "absent":
                result.append(ListedVM(name, states[-1]))
        return result

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a call."""
        if exchange.path != PATH:
            raise RequestError(Kind.NOT_FOUND)
        if self.outage:
            raise RequestError(Kind.NOT_READY, "outage")
        await respond_json(exchange, self.list_vms())
