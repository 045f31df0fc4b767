"""Turns of a task that reads from outside, between which other tasks run."""

import curio


class Turns:
    """Lets other tasks run after a number of steps.

    Input that has arrived is read without a wait. A task that only reads would hold the process
    for as long as its peer sends fast enough, and neither timeouts nor other tasks would run.

    :param steps: number of steps in a turn.
    :ivar left: steps until the end of the turn.
    """

    def __init__(self, steps: int):
        self.steps = steps
        self.left = steps

    async def step(self) -> None:
        """Count a step, and let other tasks run if it ends the turn.

        It must come before input is taken, as a cancellation here would lose it.
        """
        self.left -= 1
        if self.left <= 0:
            self.left = self.steps
            await curio.sleep(0)
