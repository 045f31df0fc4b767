"""Discrete-event scheduler with virtual time, for simulations of decision code."""

import heapq
import itertools
import random
from collections.abc import Callable


class EventScheduler:
    """Runs actions in order of virtual time; ties run in the order of scheduling.

    :param seed: seed of the random generator shared by the actions.
    """

    def __init__(self, seed: int):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = itertools.count()

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def at(self, time: float, action: Callable, *arguments: object) -> None:
        """Schedule `action` at a virtual time, or now if that has passed."""
        entry = (max(time, self.now), next(self.sequence), action, arguments)
        heapq.heappush(self.events, entry)

    def after(self, delay: float, action: Callable, *arguments: object) -> None:
        """Schedule `action` after `delay` virtual seconds."""
        self.at(self.now + delay, action, *arguments)

    def every(self, period: float, action: Callable, *arguments: object) -> None:
        """Schedule `action` every `period` virtual seconds, starting with a random phase."""

        def repeat() -> None:
            action(*arguments)
            self.after(period, repeat)

        self.after(self.rng.uniform(0, period), repeat)

    def run(self, until: float) -> None:
        """Run all events up to and including a virtual time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until
