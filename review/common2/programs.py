"""The project's programs as processes, with the commands of the deploy file."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Program:
    """A process that the platform starts again after a short delay.

    Attributes:
        exits: Ends that nobody asked for.
    """

    def __init__(
        self, role: str, name: str, settings: pathlib.Path, delay_s: float = 0.3
    ):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split(" ")
        self._extra = deploy["roles"][role].get("env", {})
        self.name = name
        self.exits: list[str] = []
        self._settings = settings
        self._delay_s = delay_s
        self._process: subprocess.Popen | None = None
        self._asked = False
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the process, and again after each exit."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            self._asked = False
            with self._settings.with_suffix(".log").open("ab") as log:
                self._process = subprocess.Popen(
                    self._command,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    cwd=ROOT,
                    env={
                        "PATH": os.environ["PATH"],
                        "PYTHONPATH": str(ROOT / "target/deps"),
                        "CLEMENTINELEAD_NODE_FILE": str(self._settings),
                        **self._extra,
                    },
                )
            while self._process.poll() is None:
                await asyncio.sleep(0.01)
            if not self._asked:
                self.exits.append(f"{self.name}: {self._process.returncode}")
            await asyncio.sleep(self._delay_s)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._asked = True
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def terminate(self, grace_s: float) -> None:
        """SIGTERM, then SIGKILL after the grace time."""
        process = self._process
        self.send(signal.SIGTERM)
        for _ in range(int(grace_s * 100)):
            if process is None or process.poll() is not None:
                return
            await asyncio.sleep(0.01)
        if process is not None and process.poll() is None:
            process.kill()

    def log_text(self) -> str:
        """Returns what the process has logged."""
        path = self._settings.with_suffix(".log")
        return path.read_text(errors="replace") if path.exists() else ""

    def close(self) -> None:
        """Ends the process for good."""
        if self._task is not None:
            self._task.cancel()
        self._asked = True
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
