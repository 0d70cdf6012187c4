"""Start of a program: what comes while it is loaded is not lost."""

import http.client
import pathlib
import socket
import subprocess
import sys
import time

from clementinelead.platform import launch
from clementinelead.platform import settings

HOST = "127.0.0.1"
BOUND_S = 20.0
TCP_TABLE = pathlib.Path("/proc/net/tcp")
LISTEN_STATE = "0A"  # TCP_LISTEN of the Linux kernel, as the table prints it
SLOW_PROGRAM = """
import sys
import time
sys.path.insert(0, {folder!r})
from clementinelead.platform import launch
sys.exit(launch.launch("slow_side"))
"""
SLOW_MODULE = '''
"""The side process, loaded so slowly that a test can be quicker."""
import time
time.sleep({pause})
from clementinelead.platform.side_program import main
'''
SETTINGS = """
node_name = "side-a-1"
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [{base}, {last}]
seeds = []
app = "127.0.0.1:{app}"
service = "whois"
[listen]
datagram_addr = "127.0.0.1:{callers}"
outbound = "127.0.0.1:{outbound}"
control = "127.0.0.1:{control}"
[platform]
address = "127.0.0.1:{store}"
"""
BEAT = b'{"service":"whois","capacity":2,"state":"ready","sequence":1,"born":7}'


def _free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def _free_row():
    """Returns the first of three free ports in a row."""
    while True:
        base = _free_port()
        try:
            for port in range(base, base + 3):
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        return base


def _settings_file(folder):
    """Writes settings; returns the file and its ports by name."""
    base = _free_row()
    ports = {"base": base, "last": base + 2}
    for name in ("app", "callers", "outbound", "control", "store"):
        ports[name] = _free_port()
    file = folder / "node.toml"
    file.write_text(SETTINGS.format(**ports))
    return file, ports


def _modules(module):
    """Returns how many modules an import loads, in a process of its own."""
    code = f"import sys, {module}; print(len(sys.modules))"
    done = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True
    )
    return int(done.stdout)


def test_sockets_are_bound_before_most_modules_are_loaded():
    before = _modules("clementinelead.platform.launch")
    whole = _modules("clementinelead.platform.side_program")
    assert before < 0.6 * whole


def test_heartbeat_that_comes_while_the_program_loads_is_acknowledged(
    tmp_path,
):
    file, ports = _settings_file(tmp_path)
    module = tmp_path / "slow_side.py"
    module.write_text(SLOW_MODULE.format(pause=1.0))
    process = subprocess.Popen(
        [sys.executable, "-c", SLOW_PROGRAM.format(folder=str(tmp_path))],
        env={settings.SETTINGS_FILE_VARIABLE: str(file), "PATH": ""},
        stdout=subprocess.DEVNULL,
    )
    try:
        _wait_until_bound(ports["control"])
        calls = http.client.HTTPConnection(
            HOST, ports["control"], timeout=BOUND_S
        )
        calls.request("PUT", "/instances/i-1", BEAT)
        assert calls.getresponse().status == 200
    finally:
        process.terminate()
        process.wait(BOUND_S)


def _wait_until_bound(port):
    """Waits until a program listens at a port; it has loaded nothing yet.

    This reads the kernel's table of TCP sockets. A probe that binds the port
    can make the program's own bind fail.
    """
    deadline = time.monotonic() + BOUND_S
    while time.monotonic() < deadline:
        if _is_listening(port):
            return
        time.sleep(0.01)
    raise AssertionError("no port was bound")


def _is_listening(port):
    """Returns whether a TCP socket listens at a port of the host."""
    number = int.from_bytes(socket.inet_aton(HOST), sys.byteorder)
    local_address = f"{number:08X}:{port:04X}"
    rows = TCP_TABLE.read_text("ascii").splitlines()[1:]
    return any(
        row.split()[1] == local_address and row.split()[3] == LISTEN_STATE
        for row in rows
    )


def test_taken_port_is_said(monkeypatch, tmp_path, capsys):
    file, ports = _settings_file(tmp_path)
    monkeypatch.setenv(settings.SETTINGS_FILE_VARIABLE, str(file))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind((HOST, ports["base"]))
        assert launch.launch("no_module") == launch.EXIT_CANNOT_BIND
    assert "can't start" in capsys.readouterr().err
