"""The timer service: parts subscribe to a period and are called on it."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio


@dataclass(frozen=True, slots=True)
class Subscription:
    """A call every `period` seconds, spread by up to `jitter` of the period."""

    name: str
    period: float
    call: Callable[[], Awaitable[None]]
    jitter: float = 0.1


class Timers:
    """Runs subscriptions until cancelled.

    :param report: called with name and exception when a subscription fails; it goes on.
    """

    def __init__(self, chance: random.Random, report: Callable[[str, Exception], None]):
        self.chance = chance
        self.report = report
        self.subscriptions: list[Subscription] = []

    def subscribe(
        self, name: str, period: float, call: Callable[[], Awaitable[None]], jitter: float = 0.1
    ) -> None:
        """Ask for `call` every `period` seconds once :meth:`run` is running."""
        self.subscriptions.append(Subscription(name, period, call, jitter))

    async def run(self) -> None:
        """Run every subscription until cancelled."""
        async with curio.TaskGroup() as group:
            for subscription in self.subscriptions:
                await group.spawn(self.repeat, subscription)

    async def repeat(self, subscription: Subscription) -> None:
        """Call one subscription for ever."""
        while True:
            spread = self.chance.uniform(-subscription.jitter, subscription.jitter)
            await curio.sleep(subscription.period * (1 + spread))
            try:
                await subscription.call()
            except curio.CancelledError:
                raise
            except Exception as error:  # A failing subscriber must not stop the others.
                self.report(subscription.name, error)
