"""A stand-in for the platform's VM list: HTTP and JSON, behind by a seeded lag."""

import random
import time
from collections.abc import Callable

from ..exceptions import Kind, RequestError
from ..http import Exchange, Server
from ..node import refuse, respond_json
from ..vm_poller import PATH, ListedVM


class VMs:
    """Answers with the state that each VM had some seconds ago.

    :param lag: the largest lag in seconds; each change gets its own.
    """

    def __init__(self, lag: float, seed: int = 0, clock: Callable[[], float] = time.monotonic):
        self.lag = lag
        self.clock = clock
        self.chance = random.Random(seed)
        self.outage = False
        self.changes: dict[str, list[tuple[float, str]]] = {}
        self.server = Server(self.handle, refuse)

    def set(self, name: str, state: str) -> None:
        """Change a VM to ``live``, ``leaving`` or ``absent``; the list shows it later."""
        changes = self.changes.setdefault(name, [])
        shown = self.clock() + self.chance.uniform(0, self.lag)
        changes.append((max([shown, *(at for at, _ in changes)]), state))

    def listed(self) -> list[ListedVM]:
        """Return the list as it shows now."""
        now = self.clock()
        result = []
        for name, changes in self.changes.items():
            shown = [state for at, state in changes if at <= now]
            if shown and shown[-1] != "absent":
                result.append(ListedVM(name, shown[-1]))
        return result

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        if exchange.path != PATH:
            raise RequestError(Kind.NOT_FOUND)
        if self.outage:
            raise RequestError(Kind.NOT_READY, "outage")
        await respond_json(exchange, self.listed())
