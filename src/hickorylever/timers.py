"""Periodic callbacks."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio


@dataclass(frozen=True, slots=True)
class Subscription:
    """A callback every `period` seconds.

    :param jitter: random deviation from the period, as a fraction of it.
    """

    name: str
    period: float
    call: Callable[[], Awaitable[None]]
    jitter: float = 0.1


class Timers:
    """Runs periodic callbacks.

    :param report: called with the name and the exception when a callback fails. The callback is
        called again after the next period.
    """

    def __init__(self, chance: random.Random, report: Callable[[str, Exception], None]):
        self.chance = chance
        self.report = report
        self.subscriptions: list[Subscription] = []

    def subscribe(
        self, name: str, period: float, call: Callable[[], Awaitable[None]], jitter: float = 0.1
    ) -> None:
        """Add a callback. It is called every `period` seconds while :meth:`run` runs."""
        self.subscriptions.append(Subscription(name, period, call, jitter))

    async def run(self) -> None:
        """Run all subscriptions until cancelled."""
        async with curio.TaskGroup() as group:
            for subscription in self.subscriptions:
                await group.spawn(self.repeat, subscription)

    async def repeat(self, subscription: Subscription) -> None:
        """Run one subscription until cancelled."""
        while True:
            spread = self.chance.uniform(-subscription.jitter, subscription.jitter)
            await curio.sleep(subscription.period * (1 + spread))
            try:
                await subscription.call()
            except curio.CancelledError:
                raise
            except Exception as error:  # One failing callback must not stop the others.
                self.report(subscription.name, error)
