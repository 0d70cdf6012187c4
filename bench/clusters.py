"""Starts and stops the processes of a run, each with its settings file."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from bench import groups
from bench import pages
from bench import ports

__all__ = ["Cluster"]

CALLER_ADDRESSES = ("127.20.0.1", "127.20.0.2", "127.20.0.3", "127.20.0.4")
ZONES = ("north-a", "north-b", "north-c", "north-d")
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
START_MARGIN_S = 1.0


@dataclasses.dataclass
class _Process:
    process: subprocess.Popen[bytes]
    command: list[str]


class Cluster:
    """All processes of a run, in a folder of their own."""

    def __init__(
        self,
        services: list[groups.Group],
        balancers: int,
        seed: int,
        cold_start_s: float = 0.0,
    ):
        self.address = ports.loopback()
        self.groups = services
        self.seed = seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="clementinelead-"))
        self.balancers = [f"balancer-{number}" for number in range(balancers)]
        self.http_port_by_id: dict[str, int] = {}
        self._cold_start_s = cold_start_s
        self._ports = ports.Ports()
        self._process_by_name: dict[str, _Process] = {}
        self._settings_by_id: dict[str, pathlib.Path] = {}
        self._control_port_by_id: dict[str, int] = {}
        self._data_port_by_id: dict[str, int] = {}
        self._target_port_by_id: dict[str, tuple[int, int]] = {}
        self._store_port = self._ports.pick(self.address)
        self._ingress = self._ports.pick(self.address)
        self._egress = self._ports.pick(self.address)
        self._return_port = self._ports.pick(CALLER_ADDRESSES[0])
        self._zone_by_id: dict[str, str] = {}
        for identifier in self.balancers:
            self._assign(identifier)

    @property
    def targets(self) -> list[groups.TargetSpec]:
        """All targets."""
        return [target for group in self.groups for target in group.targets()]

    @property
    def store_url(self) -> str:
        """URL of the stand-in store."""
        return f"http://{self.address}:{self._store_port}"

    # Start.

    def start(self) -> None:
        """Starts everything and waits until balancers and targets serve."""
        self.start_store()
        self.write_operator()
        for identifier in self.balancers:
            self.start_balancer(identifier)
        self.start_fabric()
        for target in self.targets:
            self.start_target(target)
            self.start_side(target)
        self.apply_sheet()
        self.wait_serving()

    def start_oracle(self) -> None:
        """Starts targets and the shortest-queue baseline in place of all."""
        identifier = self.balancers[0]
        arguments = [
            f"--address={self.address}",
            f"--port={self._data_port_by_id[identifier]}",
            f"--http-port={self.http_port_by_id[identifier]}",
        ]
        for target in self.targets:
            self.start_target(target)
            port, _ = self._target_port_by_id[target.id]
            arguments.append(
                f"--target={self.address}:{port}:{target.speed}:{target.slots}"
            )
        self._python(identifier, "bench.oracle", *arguments)
        http_port = self.http_port_by_id[identifier]
        pages.wait(f"http://{self.address}:{http_port}/ready")
        self.start_fabric()
        time.sleep(START_MARGIN_S)

    def start_store(self) -> None:
        """Starts the stand-in store."""
        self._python(
            "store",
            "standins.store",
            f"--address={self.address}",
            f"--port={self._store_port}",
            f"--seed={self.seed}",
        )
        pages.wait(f"{self.store_url}/calls")

    def start_fabric(self) -> None:
        """Starts the stand-in fabric."""
        arguments = [
            f"--ingress={self.address}:{self._ingress}",
            f"--egress={self.address}:{self._egress}",
            f"--return-port={self._return_port}",
            f"--seed={self.seed}",
        ]
        for identifier in self.balancers:
            data_port = self._data_port_by_id[identifier]
            http_port = self.http_port_by_id[identifier]
            arguments.append(
                f"--balancer={self.address}:{data_port}:{http_port}"
            )
        self._python("fabric", "standins.fabric", *arguments)

    def start_balancer(self, identifier: str) -> None:
        """Starts a balancer."""
        if identifier not in self._settings_by_id:
            self._write_balancer(identifier)
        self._python(
            identifier,
            "clementinelead.processes.balancer",
            str(self._settings_by_id[identifier]),
        )

    def start_target(self, target: groups.TargetSpec) -> None:
        """Starts a stand-in target."""
        if target.id not in self._target_port_by_id:
            self._target_port_by_id[target.id] = (
                self._ports.pick(self.address),
                self._ports.pick(self.address),
            )
        port, http_port = self._target_port_by_id[target.id]
        self._python(
            f"target-{target.id}",
            "standins.target",
            f"--identifier={target.id}",
            f"--service={target.service}",
            f"--address={self.address}",
            f"--port={port}",
            f"--http-port={http_port}",
            f"--return-port={self._return_port}",
            f"--log={self.folder / f'target-{target.id}.jsonl'}",
            f"--slots={target.slots}",
            f"--speed={target.speed}",
        )

    def start_side(self, target: groups.TargetSpec) -> None:
        """Starts the side process of a target."""
        if target.id not in self._settings_by_id:
            self._assign(target.id)
            self._write_side(target)
        self._python(
            target.id,
            "clementinelead.processes.side",
            str(self._settings_by_id[target.id]),
        )

    def shed(self, identifier: str, **report: object) -> None:
        """Makes a target's load report say what is given."""
        _, http_port = self._target_port_by_id[identifier]
        pages.put_json(f"http://{self.address}:{http_port}/shedding", report)

    def start_callers(
        self, plans: list[dict[str, object]], seconds: float, name: str
    ) -> None:
        """Starts callers that run for some seconds."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(plans), "utf-8")
        addresses = [f"--address={address}" for address in CALLER_ADDRESSES]
        self._python(
            name,
            "standins.caller",
            f"--plan={path}",
            f"--fabric-ingress={self.address}:{self._ingress}",
            *addresses,
            f"--return-port={self._return_port}",
            f"--seconds={seconds}",
            f"--log={self.folder / f'{name}.jsonl'}",
            f"--seed={self.seed}",
        )

    # Operators.

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the operators' command."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "clementinelead.processes.operator",
                *arguments,
                f"--settings={self.folder / 'operator.ini'}",
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_sheet(self) -> None:
        """Applies a sheet with the services of this run."""
        path = self.folder / "sheet.csv"
        columns = "name,team,address,port,protocol,policy,candidates"
        lines = [f"{columns},max_wait_s,slot_hold_s"]
        lines += [
            f"{group.service},consortium,{group.address},{group.port},"
            f"{group.protocol},{group.policy},{group.candidates},"
            f"{group.max_wait_s},{group.slot_hold_s}"
            for group in self.groups
        ]
        path.write_text("\n".join(lines) + "\n", "utf-8")
        done = self.operate("sheet", "apply", str(path))
        if done.returncode != 0:
            raise RuntimeError(f"sheet: {done.stdout}{done.stderr}")

    def set_faults(self, **faults: object) -> None:
        """Switches the store's faults."""
        pages.put_json(f"{self.store_url}/faults", faults)

    def store_calls(self) -> dict[str, int]:
        """Returns the store's calls by kind."""
        calls = pages.get_json(f"{self.store_url}/calls")
        return {kind: int(str(number)) for kind, number in calls.items()}

    def status(self, identifier: str) -> dict[str, object]:
        """Returns what a process says of itself, empty if nothing."""
        port = self.http_port_by_id[identifier]
        return pages.get_json(f"http://{self.address}:{port}/status")

    def settings_path(self, identifier: str) -> pathlib.Path:
        """Returns the settings file of a process."""
        return self._settings_by_id[identifier]

    def zone(self, identifier: str) -> str:
        """Returns the availability zone of a process."""
        return self._zone_by_id[identifier]

    def data_port(self, identifier: str) -> int:
        """Returns the UDP port of a process's packet path."""
        return self._data_port_by_id[identifier]

    def process_id(self, name: str) -> int:
        """Returns the process number of a process of this run."""
        return self._process_by_name[name].process.pid

    def wait_serving(self) -> None:
        """Waits until each balancer is ready and knows all targets."""
        expected = {target.id for target in self.targets}
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = set(self.balancers)
        while waiting:
            self._check_alive()
            for identifier in list(waiting):
                status = self.status(identifier)
                if status.get("ready") and expected <= pages.ready_targets(
                    status
                ):
                    waiting.discard(identifier)
            if time.monotonic() > deadline:
                raise RuntimeError(f"not serving: {sorted(waiting)}")
            time.sleep(0.1)

    def _check_alive(self) -> None:
        """Checks that all processes run.

        Raises:
            RuntimeError: One has ended by itself.
        """
        for name, entry in self._process_by_name.items():
            if entry.process.poll() is not None:
                raise RuntimeError(f"{name} ended, see {self.folder}")

    # Faults and the end.

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this run."""
        self._process_by_name[name].process.send_signal(number)

    def stop(self, name: str) -> int:
        """Stops a process gracefully; returns its exit status."""
        process = self._process_by_name.pop(name).process
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self._process_by_name.pop(name).process
        process.kill()
        process.wait()

    def wait(self, name: str, timeout_s: float) -> int:
        """Waits until a process has ended; returns its exit status."""
        process = self._process_by_name.pop(name).process
        return process.wait(timeout_s)

    def alive(self, name: str) -> bool:
        """Tells whether a process runs."""
        entry = self._process_by_name.get(name)
        return entry is not None and entry.process.poll() is None

    def close(self) -> None:
        """Ends all processes that this run started."""
        for entry in self._process_by_name.values():
            if entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
        for entry in self._process_by_name.values():
            entry.process.wait()
        self._process_by_name.clear()

    # Details.

    def _python(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        process = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=environment,
            cwd=pathlib.Path(__file__).parent.parent,
        )
        log.close()
        self._process_by_name[name] = _Process(process, command)

    def _assign(self, identifier: str) -> None:
        self._data_port_by_id[identifier] = self._ports.pick(self.address)
        self._control_port_by_id[identifier] = self._ports.pick(self.address)
        self.http_port_by_id[identifier] = self._ports.pick(self.address)
        number = len(self._zone_by_id)
        self._zone_by_id[identifier] = ZONES[number % len(ZONES)]

    def _common(self, identifier: str) -> str:
        seeds = ", ".join(
            f"{self.address}:{self._control_port_by_id[balancer]}"
            for balancer in self.balancers
        )
        return (
            f"[node]\nid = {identifier}\nregion = north\n"
            f"zone = {self._zone_by_id[identifier]}\n"
            f"address = {self.address}\n"
            f"data_port = {self._data_port_by_id[identifier]}\n"
            f"control_port = {self._control_port_by_id[identifier]}\n"
            f"http_port = {self.http_port_by_id[identifier]}\n\n"
            f"[cluster]\nname = bench\nkeys = bench-key\nseeds = {seeds}\n"
            "\n"
            "[logs]\nplacements_per_s = 20\n\n"
        )

    def _write_balancer(self, identifier: str) -> None:
        text = self._common(identifier)
        text += f"[store]\nurl = {self.store_url}\n\n"
        text += "[forwarding]\nstop_delay_s = 1\n"
        self._write(identifier, text)

    def _write_side(self, target: groups.TargetSpec) -> None:
        port, http_port = self._target_port_by_id[target.id]
        text = self._common(target.id)
        text += (
            f"[target]\nendpoint = {self.address}:{port}\n"
            f"egress = {self.address}:{self._egress}\n"
            f"services = {target.service}\nslots = {target.slots}\n"
            f"weight = {target.weight}\n"
            f"cold_start_s = {self._cold_start_s}\n"
            f"load_url = http://{self.address}:{http_port}/load\n"
        )
        self._write(target.id, text)

    def write_operator(self) -> None:
        """Writes the settings of the operators' command."""
        text = "[operator]\nshift = muscat\nname = bench\n\n"
        text += f"[store]\nurl = {self.store_url}\n"
        (self.folder / "operator.ini").write_text(text, "utf-8")

    def _write(self, identifier: str, text: str) -> None:
        path = self.folder / f"{identifier}.ini"
        path.write_text(text, "utf-8")
        self._settings_by_id[identifier] = path
