"""Components that keep state in the object API; each registered controller has its own lease."""

from collections.abc import Awaitable
from typing import Protocol

from ..registry import Registry


class Controller(Protocol):
    """A periodic task that one router at a time runs for the whole fleet."""

    def run(self, number: int) -> Awaitable[None]:
        """Run one iteration.

        :param number: fencing number of the lease, to be sent with every write and order.
        """


controllers: Registry[type] = Registry("controller")
