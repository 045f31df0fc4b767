"""Parts that keep state in the object API. Those in the registry run under a lease each."""

from collections.abc import Awaitable
from typing import Protocol

from ..registry import Registry


class Controller(Protocol):
    """Something that one router at a time does for the fleet."""

    def run(self, number: int) -> Awaitable[None]:
        """Do what is due now.

        :param number: the lease's fencing number, for every write and order.
        """


controllers: Registry[type] = Registry("controller")
