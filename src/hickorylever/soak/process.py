"""Router processes of a soak test."""

import contextlib
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import curio

from ..direct.settings import DirectSettings
from ..exceptions import ConnectionLost
from ..http import Client
from ..platform.names import READY_PATH

READY_PORT = 18601
START_TIMEOUT_SECONDS = 30.0
START_POLL_SECONDS = 0.05


@dataclass(slots=True)
class RouterProcess:
    """Router process, which is ended and restarted only through this object.

    :param log: file that the output of all its processes is appended to.
    :param source: directory with the package that the process runs; empty for the installed one.
    :param restarting: whether a fault is restarting the router.
    :param start_count: number of times the process was started.
    """

    settings: DirectSettings
    log: Path
    source: str = ""
    process: subprocess.Popen | None = None
    restarting: bool = False
    start_count: int = 0

    @property
    def ip(self) -> str:
        """Return the router's IP address."""
        return self.settings.address

    def start(self) -> None:
        """Start the process if it is not running."""
        if self.running:
            return
        self.start_count += 1
        env = {**os.environ, "HICKORYLEVER_SETTINGS": self.settings.path}
        if self.source:
            env["PYTHONPATH"] = self.source
        command = [sys.executable, "-m", "hickorylever.direct"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=env, stdout=log, stderr=log)

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(signal_number)

    async def wait_until_serving(self) -> None:
        """Wait until the process answers, has ended or has had `START_TIMEOUT_SECONDS`.

        Callers connect before that, as it listens from its first moment on.
        """
        client = Client()
        async with curio.ignore_after(START_TIMEOUT_SECONDS):
            while self.running:
                with contextlib.suppress(ConnectionLost):
                    await client.fetch(self.ip, READY_PORT, "GET", READY_PATH)
                    return
                await curio.sleep(START_POLL_SECONDS)

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None
