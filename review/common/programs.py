"""The project's programs as processes, restarted after each end."""

import asyncio
import os
import pathlib
import shutil
import signal
import subprocess
import time
import tomllib

from common import record as record_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.5
"""Delay of the platform before it starts a process again, seconds."""


def run_words(role: str) -> list[str]:
    """Returns program and arguments of a role, from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"][role]["run"].split(" ")
    program = shutil.which(words[0])
    if program is None:
        raise FileNotFoundError(words[0])
    return [program, *words[1:]]


class Program:
    """A process of the project, as the platform starts and restarts it."""

    def __init__(
        self,
        name: str,
        role: str,
        settings: pathlib.Path,
        record: record_module.Record,
    ):
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.ends: list[tuple[float, int]] = []
        self._words = run_words(role)
        self._settings = settings
        self._record = record
        self._stopped = False

    async def run(self) -> None:
        """Starts the process, and starts it again after each end."""
        while not self._stopped:
            self._start()
            assert self.process is not None
            while self.process.poll() is None:
                await asyncio.sleep(0.005)
            code = self.process.returncode
            self.ends.append((time.monotonic(), code))
            if not self._stopped:
                self._record.line(f"process {self.name} ended with {code}")
                await asyncio.sleep(RESTART_DELAY_S)

    def _start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CLEMENTINELEAD_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                self._words,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env=environment,
            )
        self.started_at = time.monotonic()
        self._record.line(f"process {self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self._record.line(f"process {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def terminate(self, grace_s: float) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time."""
        process = self.process
        self.send(signal.SIGTERM)
        deadline = time.monotonic() + grace_s
        while process is not None and process.poll() is None:
            if time.monotonic() > deadline:
                self.send(signal.SIGKILL)
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Ends the process for good."""
        self._stopped = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
