"""Signals and supervised background tasks of a long-running process."""

import signal
import socket as stdsocket
from collections.abc import Awaitable, Callable

import curio

from . import defaults
from .events import Event, logger

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Signals:
    """Delivers signals to a task.

    :param others: signals besides SIGTERM and SIGINT.
    """

    def __init__(self, *others: signal.Signals):
        reader, self.writer = stdsocket.socketpair()
        self.writer.setblocking(False)
        self.reader = curio.io.Socket(reader)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in (*STOP_SIGNALS, *others):
            signal.signal(number, lambda number, frame: None)

    async def wait(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        return signal.Signals((await self.reader.recv(1))[0])


async def supervise(task: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and restart it after a delay when it fails."""
    while True:
        try:
            await task()
            return
        except Exception:
            logger.exception("background task failed", extra={"event": Event.TASK_FAILED})
            await curio.sleep(defaults.TASK_RESTART_DELAY_SECONDS)
