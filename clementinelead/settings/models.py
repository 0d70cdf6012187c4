"""Models of the settings files, one class for each section and file."""

import ipaddress
import typing

import pydantic

from clementinelead.administration import tokens

__all__ = [
    "BalancerSettings",
    "Cluster",
    "Logs",
    "Node",
    "OperatorSettings",
    "SideSettings",
    "Store",
    "Target",
    "parse_endpoint",
]


def parse_endpoint(text: str) -> tuple[str, int]:
    """Parses an ``address:port`` text.

    Returns:
        The IPv4 address and the port, from 1 to 65535.

    Raises:
        ValueError: The text does not have this form.
    """
    address, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be address:port")
    ipaddress.IPv4Address(address)
    return address, int(port)


def _check_endpoint(text: str) -> str:
    parse_endpoint(text)
    return text


def _check_address(text: str) -> str:
    ipaddress.IPv4Address(text)
    return text


Endpoint = typing.Annotated[str, pydantic.AfterValidator(_check_endpoint)]
Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


def _check_token(text: str) -> str:
    tokens.parse_grant(text)
    return text


Token = typing.Annotated[str, pydantic.AfterValidator(_check_token)]
Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Node(_Section):
    """Section ``node``: identity and addresses of the process."""

    id: Name = pydantic.Field(description="lower-case letters, digits, - and .")
    region: Name = pydantic.Field(description="name of the region")
    zone: Name = pydantic.Field(description="name of the availability zone")
    address: Address = pydantic.Field(description="an IPv4 address")
    data_port: Port = pydantic.Field(description="UDP port, 1 to 65535")
    control_port: Port = pydantic.Field(description="UDP port, 1 to 65535")
    http_port: Port = pydantic.Field(description="TCP port, 1 to 65535")


class Cluster(_Section):
    """Section ``cluster``: discovery, authentication and control traffic."""

    name: Name = pydantic.Field(description="same on all processes")
    keys: tuple[pydantic.SecretStr, ...] = pydantic.Field(
        min_length=1,
        max_length=2,
        description="one secret, or two during a rotation, comma separated",
    )
    seeds: tuple[Endpoint, ...] = pydantic.Field(
        default=(), description="address:control_port of some processes"
    )
    bytes_per_s: float = pydantic.Field(
        default=2_000.0, ge=200, description="control budget, 200 or more"
    )


class Store(_Section):
    """Section ``store``: access to the platform's key-value store."""

    url: str = pydantic.Field(
        pattern=r"^https?://[^/]+$", description="http://address:port"
    )
    prefix: Name = pydantic.Field(
        default="clementinelead", description="prefix of all keys"
    )
    timeout_s: float = pydantic.Field(
        default=2.0, gt=0, le=60, description="seconds, up to 60"
    )


class Logs(_Section):
    """Section ``logs``: level, format and rate limit of the log."""

    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = pydantic.Field(
        default="INFO", description="DEBUG, INFO, WARNING or ERROR"
    )
    json_lines: bool = pydantic.Field(
        default=False, description="true or false"
    )
    placements_per_s: float = pydantic.Field(
        default=100.0,
        ge=0,
        description="placement decisions logged per second, 0 or more",
    )


class Api(_Section):
    """Section ``api``: the administration API, disabled with port 0."""

    port: int = pydantic.Field(
        default=0, ge=0, le=65535, description="TCP port, 0 for none"
    )
    certificate: str = pydantic.Field(
        default="", description="PEM file; empty for HTTP without TLS"
    )
    key: str = pydantic.Field(
        default="", description="PEM file, if not in the certificate's"
    )
    tokens: tuple[Token, ...] = pydantic.Field(
        default=(),
        description="team:read|change:sha256 of the token, comma separated;"
        " team * is all teams",
    )
    requests_per_s: float = pydantic.Field(
        default=10.0, gt=0, description="requests per second of one team"
    )
    burst: float = pydantic.Field(
        default=50.0, ge=1, description="burst of requests of one team"
    )


class Forwarding(_Section):
    """Section ``forwarding``: how a balancer stops."""

    stop_delay_s: float = pydantic.Field(
        default=2.0,
        ge=0,
        description="seconds to keep forwarding after SIGTERM, while the"
        " fabric redirects traffic",
    )
    max_stop_s: float = pydantic.Field(
        default=30.0, ge=0, description="seconds after which a stop is forced"
    )


class Target(_Section):
    """Section ``target``: the target that a side process serves."""

    endpoint: Endpoint = pydantic.Field(
        description="address:port that receives IP packets in UDP datagrams"
    )
    egress: Endpoint = pydantic.Field(
        description="address:port that forwards IP packets to callers"
    )
    services: tuple[Name, ...] = pydantic.Field(
        min_length=1, description="services that the target serves"
    )
    slots: int = pydantic.Field(
        default=2, ge=1, description="concurrent requests, 1 or more"
    )
    connections: int = pydantic.Field(
        default=2000, ge=1, description="concurrent flows, 1 or more"
    )
    weight: float = pydantic.Field(
        default=1.0, gt=0, le=600, description="above 0, up to 600"
    )
    cold_start_s: float = pydantic.Field(
        default=5.0, ge=0, description="seconds of warm-up to the full share"
    )
    load_url: str = pydantic.Field(
        default="",
        pattern=r"^(https?://\S+)?$",
        description="URL of the target's load report, or empty",
    )


class BalancerSettings(_Section):
    """Settings file of ``clementinelead-balancer``."""

    node: Node
    cluster: Cluster
    store: Store
    logs: Logs = Logs()
    api: Api = Api()
    forwarding: Forwarding = Forwarding()


class SideSettings(_Section):
    """Settings file of ``clementinelead-side``."""

    node: Node
    cluster: Cluster
    target: Target
    store: Store | None = None
    logs: Logs = Logs()


class Operator(_Section):
    """Section ``operator``: the author of changes, for their history."""

    shift: Name = pydantic.Field(description="name of the shift")
    name: str = pydantic.Field(
        pattern=r"^\S.{0,62}$", description="name of the operator"
    )


class OperatorSettings(_Section):
    """Settings file of the operators' command ``clementinelead``."""

    operator: Operator
    store: Store
