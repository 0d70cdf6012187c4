"""Settings of a process, read from the platform's settings file."""

import collections.abc
import dataclasses
import os
import pathlib
import tomllib

import msgspec

from clementinelead import exceptions
from clementinelead.processes import relay_settings
from clementinelead.relays import warmup_limit

__all__ = ["NodeSettings", "load"]

SETTINGS_FILE_VARIABLE = "CLEMENTINELEAD_NODE_FILE"
ZONE_SPILL_SHARE_VARIABLE = "CLEMENTINELEAD_ZONE_SPILL_SHARE"
FURTHER_QUERIES_SHARE_VARIABLE = "CLEMENTINELEAD_FURTHER_QUERIES_SHARE"
METRICS_PORT = 9464  # the same as in deploy/system.toml

# Offsets of the ports of a process from the first of its internal ports.
_DATA_PORT_OFFSET = 0
_CONTROL_PORT_OFFSET = 1
_HTTP_PORT_OFFSET = 2
_MS_PER_S = 1000.0

DEFAULT_CHANGE_BOUND_S = 3.0
"""Time after which a change must be in force if no bound is set, seconds."""

MAX_LINK_MBPS = 1_000_000.0
"""Largest bandwidth that is accepted; larger ones are in another unit."""

MIN_CHANGE_BOUND_S = 1.0
"""Lowest bound that is accepted; the store is called a few times in it."""


MAX_WARMUP_FIGURE = 1e6
"""Largest factor on, and number of flows beyond, the rate of a cold target.

TOML has infinite numbers, with which no limit can be computed.
"""


class _Listen(msgspec.Struct):
    datagram_addr: str  # UDP; callers' packets arrive here at a balancer
    ready: str = ""
    # Heartbeats of the target; starting processes also find a balancer here.
    control: str = ""
    outbound: str = ""  # UDP; the target sends its packets here


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0
    # Factor on, and requests beyond, the rate that a cold target bears.
    warmup_overshoot: float | None = None
    warmup_slack: float = 0.0
    # Time in which a change of the configuration must be in force.
    config_apply_ms: float = DEFAULT_CHANGE_BOUND_S * _MS_PER_S
    # The same for an evacuation; missing if there are none.
    evacuate_ms: float | None = None


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
    # Limits of the instance; of any type, as they must not prevent the start.
    limits: object = msgspec.field(default_factory=dict)
    app: str = ""  # UDP and TCP; the target of this side process
    service: str = ""
    zones: dict[str, str] = {}  # region by availability zone
    heartbeat_ms: float = 1000.0
    bootstrap: bool = False  # true for the first start of the whole system


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one process on this platform.

    Attributes:
        relay: Settings that do not depend on the platform.
        fabric_endpoint: IP address and UDP port where a balancer receives
            packets from the fabric.
        outbound_endpoint: IP address and UDP port where a side process
            receives its target's packets, None if not configured.
        target_endpoint: IP address and UDP port where the target of a side
            process receives packets, None if not configured.
        service: Service of the target of a side process.
        readiness_endpoint: IP address and TCP port of the readiness check,
            None if not configured.
        heartbeat_endpoint: IP address and TCP port that receives the target's
            heartbeats, None if not configured.
        store_endpoint: IP address and TCP port of the platform's metadata
            store.
        caller_port: UDP port on which all callers receive packets.
        zones: Availability zones of the deployment.
        change_bound_s: Time after which a change that the operator writes to
            the store must be in force, seconds.
        warnings: Settings that can't be used and are ignored, each with the
            reason, to be logged at the start.
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
    zones: frozenset[str] = frozenset()
    change_bound_s: float = DEFAULT_CHANGE_BOUND_S
    warnings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class _Unusable:
    """A setting that can't be used.

    Attributes:
        reason: The setting, its value and what is allowed.
        is_missing: Whether it is not set.
    """

    reason: str
    is_missing: bool = False


def load() -> NodeSettings:
    """Returns the settings in the file that an environment variable names.

    The variable is ``CLEMENTINELEAD_NODE_FILE``. Two further variables hold
    shares that the operators set for all deployments of a build.

    Raises:
        exceptions.SettingsError: The file can't be read, is not valid TOML or
            has a field that is missing or invalid, or a share is invalid.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    try:
        content = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
        node_settings = convert(content)
        relay = msgspec.structs.replace(
            node_settings.relay,
            zone_spill_share=read_share(os.environ, ZONE_SPILL_SHARE_VARIABLE),
            further_queries_share=read_share(
                os.environ, FURTHER_QUERIES_SHARE_VARIABLE
            ),
        )
        return dataclasses.replace(node_settings, relay=relay)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            f"{path or SETTINGS_FILE_VARIABLE}: {error}"
        ) from error


def convert(content: dict[str, object]) -> NodeSettings:
    """Returns the settings that the content of a settings file defines.

    Args:
        content: Parsed TOML document. Unknown fields are ignored.

    Raises:
        ValueError: A field is missing, of another type or not a valid
            endpoint, or the internal ports are fewer than three.
    """
    file = msgspec.convert(content, type=_File)
    first_port, last_port = file.internal_ports
    if last_port - first_port < _HTTP_PORT_OFFSET:
        raise ValueError("internal_ports: at least three ports are needed")
    fabric_endpoint = _endpoint(file.listen.datagram_addr)
    store_endpoint = _endpoint(file.platform.address)
    link = _link_mbps(file.limits)
    warnings = []
    # Only balancers use the bandwidth, and only side processes have a target.
    if isinstance(link, _Unusable) and not (link.is_missing and file.app):
        warnings.append(link.reason)
    relay = relay_settings.RelaySettings(
        id=file.node_name,
        cluster=file.platform.address,
        region=file.region,
        zone=file.zone,
        address=file.ip,
        data_port=first_port + _DATA_PORT_OFFSET,
        control_port=first_port + _CONTROL_PORT_OFFSET,
        http_port=first_port + _HTTP_PORT_OFFSET,
        metrics_port=METRICS_PORT,
        seeds=tuple(_endpoint(seed)[0] for seed in file.seeds),
        stop_s=file.bounds.grace_s,
        heartbeat_s=file.heartbeat_ms / _MS_PER_S,
        first_start=file.bootstrap,
        warmup_bound=_warmup_bound(file.bounds),
        link_mbps=0.0 if isinstance(link, _Unusable) else link,
    )
    return NodeSettings(
        relay=relay,
        fabric_endpoint=fabric_endpoint,
        outbound_endpoint=_optional_endpoint(file.listen.outbound),
        target_endpoint=_optional_endpoint(file.app),
        service=file.service,
        readiness_endpoint=_optional_endpoint(file.listen.ready),
        heartbeat_endpoint=_optional_endpoint(file.listen.control),
        store_endpoint=store_endpoint,
        caller_port=fabric_endpoint[1],
        zones=frozenset(file.zones),
        change_bound_s=_change_bound_s(file.bounds),
        warnings=tuple(warnings),
    )


def read_share(
    environment: collections.abc.Mapping[str, str], variable: str
) -> float:
    """Returns the share that an environment variable holds, 0 if it is unset.

    Args:
        environment: Environment variables by name.
        variable: Name of the variable.

    Raises:
        ValueError: The text is not a number from 0 to 1.
    """
    text = environment.get(variable, "")
    if not text:
        return 0.0
    try:
        share = float(text)
    except ValueError:
        share = float("nan")
    if not 0.0 <= share <= 1.0:
        raise ValueError(
            f"{variable}: {text[:40]!r} is not allowed (allowed: 0 to 1)"
        )
    return share


def _link_mbps(limits: object) -> float | _Unusable:
    """Returns the bandwidth of the instance's link, Mbit/s, if it is usable.

    Args:
        limits: Table of the settings file, unchecked.
    """
    if not isinstance(limits, dict):
        return _Unusable(f"limits: {_short(limits)} is not a table")
    if "link_mbps" not in limits:
        return _Unusable("limits.link_mbps is not set", is_missing=True)
    value = limits["link_mbps"]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0.0 < value <= MAX_LINK_MBPS:
        return float(value)
    return _Unusable(
        f"limits.link_mbps: {_short(value)} is not allowed "
        f"(allowed: above 0, up to {MAX_LINK_MBPS:.0f})"
    )


def _short(value: object) -> str:
    """Returns a value of the settings file as text of bounded length."""
    return f"{value!r:.40}"


def _change_bound_s(bounds: _Bounds) -> float:
    """Returns the strictest bound on changes that are read from the store."""
    strictest_ms = bounds.config_apply_ms
    if bounds.evacuate_ms is not None:
        strictest_ms = min(strictest_ms, bounds.evacuate_ms)
    return max(MIN_CHANGE_BOUND_S, strictest_ms / _MS_PER_S)


def _warmup_bound(bounds: _Bounds) -> warmup_limit.WarmupBound | None:
    """Returns the bound on flows at cold targets, None if there is none.

    Figures count as 0 if they are negative or not a number.
    """
    if bounds.warmup_overshoot is None:
        return None
    return warmup_limit.WarmupBound(
        min(MAX_WARMUP_FIGURE, max(0.0, bounds.warmup_overshoot)),
        min(MAX_WARMUP_FIGURE, max(0.0, bounds.warmup_slack)),
    )


def _endpoint(text: str) -> tuple[str, int]:
    """Returns host and port of ``host:port``.

    Raises:
        ValueError: The text has no port number.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"{text!r} is not of the form host:port")
    return host, int(port)


def _optional_endpoint(text: str) -> tuple[str, int] | None:
    """Returns host and port of ``host:port``, None if the text is empty."""
    return _endpoint(text) if text else None
