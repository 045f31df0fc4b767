"""Virtual time for benches: a seeded heap of timed events around real decision code."""

import heapq
import itertools
import random
from collections.abc import Callable


class Driver:
    """Runs actions in order of their virtual time; equal times keep the order of asking.

    :param seed: of the generator that actions draw from.
    """

    def __init__(self, seed: int):
        self.now = 0.0
        self.chance = random.Random(seed)
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.numbers = itertools.count()

    def clock(self) -> float:
        """Return virtual seconds."""
        return self.now

    def at(self, time: float, action: Callable, *arguments: object) -> None:
        """Call `action` at a virtual time, at once when that has passed."""
        entry = (max(time, self.now), next(self.numbers), action, arguments)
        heapq.heappush(self.events, entry)

    def after(self, delay: float, action: Callable, *arguments: object) -> None:
        """Call `action` after `delay` virtual seconds."""
        self.at(self.now + delay, action, *arguments)

    def every(self, period: float, action: Callable, *arguments: object) -> None:
        """Call `action` every `period` virtual seconds, first after a random part of one."""

        def repeat() -> None:
            action(*arguments)
            self.after(period, repeat)

        self.after(self.chance.uniform(0, period), repeat)

    def run(self, until: float) -> None:
        """Run every event up to and including a virtual time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until
