"""The real programs as processes, restarted when they end."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

__all__ = ["Program"]

RESTART_S = 0.3
GRACE_S = 6.0
_ROOT = pathlib.Path(__file__).resolve().parents[2]


class Program:
    """One process of the system, kept running."""

    def __init__(self, module: str, name: str, settings: pathlib.Path):
        self.name = name
        self.stopped = False
        self._module = module
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self._ended = False

    async def run(self) -> None:
        """Starts the process, and again after each end, until cancelled."""
        try:
            while not self._ended:
                self._start()
                assert self._process is not None
                while self._process.poll() is None:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(RESTART_S)
        finally:
            self.kill()

    def _start(self) -> None:
        log = self._settings.with_suffix(".log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "CLEMENTINELEAD_NODE_FILE": str(self._settings),
        }
        self._process = subprocess.Popen(
            [sys.executable, "-m", self._module],
            stdout=log,
            stderr=subprocess.STDOUT,
            cwd=_ROOT,
            env=environment,
        )
        log.close()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process that this object started."""
        self.stopped = False
        self.send(signal.SIGKILL)

    async def terminate(self) -> float:
        """Asks the process to end; returns how long it took, seconds."""
        begun = time.monotonic()
        process = self._process
        self.send(signal.SIGTERM)
        while process is not None and process.poll() is None:
            if time.monotonic() - begun > GRACE_S:
                self.kill()
            await asyncio.sleep(0.02)
        return time.monotonic() - begun

    async def pause(self, seconds: float) -> None:
        """Stops the process for a while and lets it go on."""
        self.stopped = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.stopped = False
