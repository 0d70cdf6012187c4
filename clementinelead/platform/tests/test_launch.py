"""Start of a program: messages that arrive while it loads are not lost."""

import http.client
import pathlib
import signal
import socket
import subprocess
import sys
import time

from clementinelead.platform import launch
from clementinelead.platform import settings

HOST = "127.0.0.1"
TIMEOUT_S = 20.0
TCP_TABLE = pathlib.Path("/proc/net/tcp")
LISTEN_STATE = "0A"  # TCP_LISTEN of the Linux kernel, as the table prints it
SLOW_PROGRAM = """
import sys
import time
sys.path.insert(0, {folder!r})
from clementinelead.platform import start
sys.exit(start.start("slow_side"))
"""
SLOW_MODULE = '''
"""Side process that loads slowly, so that a test can send before it is up."""
import time
time.sleep({load_time_s})
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
HEARTBEAT = (
    '{{"service":"whois","address":"127.0.0.1:{app}","zone":"a","version":"v1",'
    '"capacity":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":7}}'
)


def _free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def _first_of_three_free_ports():
    """Returns the first of three consecutive free ports."""
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
    """Writes a settings file; returns its path and the ports in it by name."""
    base = _first_of_three_free_ports()
    ports = {"base": base, "last": base + 2}
    for name in ("app", "callers", "outbound", "control", "store"):
        ports[name] = _free_port()
    file = folder / "node.toml"
    file.write_text(SETTINGS.format(**ports))
    return file, ports


def _loaded_module_count(module):
    """Returns how many modules are loaded after an import in a new process."""
    code = f"import sys, {module}; print(len(sys.modules))"
    completed = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True
    )
    return int(completed.stdout)


def test_sockets_are_bound_before_most_modules_are_loaded():
    launch_count = _loaded_module_count("clementinelead.platform.launch")
    program_count = _loaded_module_count("clementinelead.platform.side_program")
    assert launch_count < 0.6 * program_count


def test_garbage_is_collected_once_the_program_is_loaded(tmp_path):
    # Guards against a program that keeps cycles of objects until it ends.
    file, _ = _settings_file(tmp_path)
    (tmp_path / "gc_program.py").write_text(
        "import gc\nloaded_with = gc.isenabled()\n"
        "def main(node_settings, bound_sockets):\n"
        "    return 10 * loaded_with + gc.isenabled()\n"
    )
    code = (
        f"import sys; sys.path.insert(0, {str(tmp_path)!r})\n"
        "from clementinelead.platform import start\n"
        "sys.exit(start.start('gc_program'))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={settings.SETTINGS_FILE_VARIABLE: str(file), "PATH": ""},
        check=False,
    )
    assert completed.returncode == 1


def _start_slowly(tmp_path, file):
    """Starts a side process that loads for a second."""
    module = tmp_path / "slow_side.py"
    module.write_text(SLOW_MODULE.format(load_time_s=1.0))
    return subprocess.Popen(
        [sys.executable, "-c", SLOW_PROGRAM.format(folder=str(tmp_path))],
        env={settings.SETTINGS_FILE_VARIABLE: str(file), "PATH": ""},
        stdout=subprocess.PIPE,
        text=True,
    )


def _send_heartbeat(ports):
    """Sends a heartbeat, and returns the status of its response."""
    connection = http.client.HTTPConnection(
        HOST, ports["control"], timeout=TIMEOUT_S
    )
    connection.request("PUT", "/instances/i-1", HEARTBEAT.format(**ports))
    return connection.getresponse().status


def test_heartbeat_sent_while_the_program_loads_is_acknowledged(
    tmp_path,
):
    file, ports = _settings_file(tmp_path)
    process = _start_slowly(tmp_path, file)
    try:
        _wait_until_bound(ports["control"])
        assert _send_heartbeat(ports) == 200
    finally:
        process.terminate()
        process.communicate(timeout=TIMEOUT_S)


# Guards against processes that end by themselves at a reload soon after their
# start.
def test_reload_while_the_program_loads_is_carried_out_later(tmp_path):
    file, ports = _settings_file(tmp_path)
    process = _start_slowly(tmp_path, file)
    try:
        _wait_until_bound(ports["control"])
        process.send_signal(signal.SIGHUP)
        assert _send_heartbeat(ports) == 200
    finally:
        process.terminate()
        output, _ = process.communicate(timeout=TIMEOUT_S)
    assert "settings reloaded" in output


def _wait_until_bound(port):
    """Waits until a program listens on a port, which it does before it loads.

    The probe reads the kernel's table of TCP sockets, because a probe that
    binds the port can make the program's own bind fail.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if _is_listening(port):
            return
        time.sleep(0.01)
    raise AssertionError("no port was bound")


def _is_listening(port):
    """Returns whether a TCP socket listens on a port of ``HOST``."""
    number = int.from_bytes(socket.inet_aton(HOST), sys.byteorder)
    local_address = f"{number:08X}:{port:04X}"
    rows = TCP_TABLE.read_text("ascii").splitlines()[1:]
    return any(
        row.split()[1] == local_address and row.split()[3] == LISTEN_STATE
        for row in rows
    )


def test_port_in_use_is_reported(monkeypatch, tmp_path, capsys):
    file, ports = _settings_file(tmp_path)
    monkeypatch.setenv(settings.SETTINGS_FILE_VARIABLE, str(file))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket:
        other_socket.bind((HOST, ports["base"]))
        assert launch.launch("no_module") == launch.EXIT_CANNOT_BIND
    assert "can't start" in capsys.readouterr().err
