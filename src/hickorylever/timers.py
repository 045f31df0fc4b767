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
    callback: Callable[[], Awaitable[None]]
    jitter: float = 0.1


class Timers:
    """Runs periodic callbacks.

    :param on_error: called with the name and the exception when a callback fails. The callback is
        called again after the next period.
    """

    def __init__(self, rng: random.Random, on_error: Callable[[str, Exception], None]):
        self.rng = rng
        self.on_error = on_error
        self.subscriptions: list[Subscription] = []

    def subscribe(
        self,
        name: str,
        period: float,
        callback: Callable[[], Awaitable[None]],
        jitter: float = 0.1,
    ) -> None:
        """Add a callback. It is called every `period` seconds while :meth:`run` runs."""
        self.subscriptions.append(Subscription(name, period, callback, jitter))

    async def run(self) -> None:
        """Run all subscriptions until cancelled."""
        async with curio.TaskGroup() as group:
            for subscription in self.subscriptions:
                await group.spawn(self.run_subscription, subscription)

    async def run_subscription(self, subscription: Subscription) -> None:
        """Run one subscription until cancelled."""
        while True:
            spread = self.rng.uniform(-subscription.jitter, subscription.jitter)
            await curio.sleep(subscription.period * (1 + spread))
            try:
                await subscription.callback()
            except curio.CancelledError:
                raise
            except Exception as error:  # One failing callback must not stop the others.
                self.on_error(subscription.name, error)
