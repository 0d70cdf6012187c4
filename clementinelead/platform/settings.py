"""The platform's settings file, translated into the product's settings."""

import dataclasses
import os
import pathlib
import tomllib

import msgspec

from clementinelead import exceptions
from clementinelead.processes import relay_settings

__all__ = ["NodeSettings", "load"]

SETTINGS_FILE_VARIABLE = "CLEMENTINELEAD_NODE_FILE"
METRICS_PORT = 9464  # as deploy/system.toml names it

_DATA_OFFSET = 0
_CONTROL_OFFSET = 1
_HTTP_OFFSET = 2
_MS_PER_S = 1000.0


class _Listen(msgspec.Struct):
    datagram_addr: str  # UDP; for a balancer, packets of callers come here
    ready: str = ""
    control: str = ""  # heartbeats, and where newcomers find a balancer
    outbound: str = ""  # UDP; the target sends its packets here


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    app: str = ""  # UDP and TCP; the target on this machine
    service: str = ""
    heartbeat_ms: float = 1000.0
    bootstrap: bool = False  # the whole system starts for the first time


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one process on this platform.

    Attributes:
        relay: What the product's processes take.
        fabric_endpoint: Where packets of the fabric come, for a balancer.
        outbound_endpoint: Where the target's packets come, for a side process.
        target_endpoint: Where the target takes packets, for a side process.
        service: Service of the target, for a side process.
        readiness_endpoint: Where readiness is asked for, None if nobody does.
        heartbeat_endpoint: Where heartbeats come, None if none do.
        store_endpoint: The platform's metadata store.
        caller_port: UDP port at which all callers take packets.
    """

    relay: relay_settings.RelaySettings
    fabric_endpoint: tuple[str, int]
    outbound_endpoint: tuple[str, int] | None
    target_endpoint: tuple[str, int] | None
    service: str
    readiness_endpoint: tuple[str, int] | None
    heartbeat_endpoint: tuple[str, int] | None
    store_endpoint: tuple[str, int]
    caller_port: int


def load() -> NodeSettings:
    """Returns the settings from the file that the environment names.

    Raises:
        exceptions.SettingsError: The file is missing or wrong.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    try:
        content = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
        return convert(content)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            f"{path or SETTINGS_FILE_VARIABLE}: {error}"
        ) from error


def convert(content: dict[str, object]) -> NodeSettings:
    """Returns the settings that a file's content means.

    Args:
        content: Content of the file.

    Raises:
        ValueError: A field is missing or of another kind.
    """
    file = msgspec.convert(content, type=_File)
    first, last = file.internal_ports
    if last - first < _HTTP_OFFSET:
        raise ValueError("internal_ports: three ports are needed")
    packets = _endpoint(file.listen.datagram_addr)
    store = _endpoint(file.platform.address)
    relay = relay_settings.RelaySettings(
        id=file.node_name,
        cluster=file.platform.address,
        region=file.region,
        zone=file.zone,
        address=file.ip,
        data_port=first + _DATA_OFFSET,
        control_port=first + _CONTROL_OFFSET,
        http_port=first + _HTTP_OFFSET,
        metrics_port=METRICS_PORT,
        seeds=tuple(_endpoint(seed)[0] for seed in file.seeds),
        stop_s=file.bounds.grace_s,
        heartbeat_s=file.heartbeat_ms / _MS_PER_S,
        first_start=file.bootstrap,
    )
    return NodeSettings(
        relay=relay,
        fabric_endpoint=packets,
        outbound_endpoint=_optional_endpoint(file.listen.outbound),
        target_endpoint=_optional_endpoint(file.app),
        service=file.service,
        readiness_endpoint=_optional_endpoint(file.listen.ready),
        heartbeat_endpoint=_optional_endpoint(file.listen.control),
        store_endpoint=store,
        caller_port=packets[1],
    )


def _endpoint(text: str) -> tuple[str, int]:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"{text!r} is no address and port")
    return host, int(port)


def _optional_endpoint(text: str) -> tuple[str, int] | None:
    return _endpoint(text) if text else None
