"""Control messages between the system's own processes."""

import pathlib
import typing

import capnp
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import records

__all__ = [
    "Ack",
    "Body",
    "Control",
    "NoBody",
    "Ping",
    "PingRequest",
    "Register",
    "RegisterAck",
    "Release",
    "Renew",
    "ResendRequest",
    "decode",
    "decode_records",
    "encode",
    "encode_records",
]

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("control.capnp")), imports=[]
)
UNKNOWN_SLOTS = 0xFFFF
_HUNDREDTHS = 100
MAX_DATAGRAM_ITEMS = 256
MAX_TABLE_ITEMS = 200_000
_WORDS_PER_ITEM = 64


class NoBody(msgspec.Struct, frozen=True):
    """Carries records only."""


class Ping(msgspec.Struct, frozen=True):
    """Asks for an acknowledgement."""

    probe: int


class Ack(msgspec.Struct, frozen=True):
    """Answers a ping."""

    probe: int


class PingRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to ping another process for the sender."""

    probe: int
    subject: str


class Registration(msgspec.Struct, frozen=True):
    """A flow of the sender's target.

    Attributes:
        key: Flow key.
        incarnation: Raised each time the owner opens a flow.
        closing: Whether the caller has ended its side.
    """

    key: bytes
    incarnation: int
    closing: bool = False


class Register(msgspec.Struct, frozen=True):
    """Tells where flows are."""

    number: int
    service: str
    entries: tuple[Registration, ...]


class RegisterAck(msgspec.Struct, frozen=True):
    """Acknowledges a batch of registrations."""

    number: int


class Release(msgspec.Struct, frozen=True):
    """Tells that flows have ended."""

    keys: tuple[bytes, ...]


class Renew(msgspec.Struct, frozen=True):
    """Tells number and checksum of all registrations at the receiver."""

    count: int
    checksum: int


class ResendRequest(msgspec.Struct, frozen=True):
    """Asks for all registrations again."""


Body = (
    NoBody
    | Ping
    | Ack
    | PingRequest
    | Register
    | RegisterAck
    | Release
    | Renew
    | ResendRequest
)


class TargetLoad(msgspec.Struct, frozen=True):
    """What a side process says of its target.

    Attributes:
        free_slots: Slots that a new flow could have at once.
        completion_ms: Expected time until a flow accepted now is done.
    """

    free_slots: int
    completion_ms: int


class Control(msgspec.Struct, frozen=True):
    """A control datagram.

    Attributes:
        sender: Identifier of the sending process.
        incarnation: Its incarnation.
        counter: Raised by the sender with each datagram.
        revision: Configuration revision in force at the sender.
        digest: Digest of the sender's membership records.
        records: Membership records that have changed.
        body: What the message is about.
        load: What the sender says of its target's load, if it has one.
    """

    sender: str
    incarnation: int
    counter: int
    revision: int
    digest: int
    records: tuple[records.Record, ...]
    body: Body
    load: TargetLoad | None = None


def _address_number(address: str) -> int:
    return int.from_bytes(
        bytes(int(part) for part in address.split(".")), "big"
    )


def _address_text(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def _record_fields(record: records.Record) -> dict[str, object]:
    return {
        "id": record.id,
        "incarnation": record.incarnation,
        "sequence": record.sequence,
        "role": int(record.role),
        "state": int(record.state),
        "health": int(record.health),
        "region": record.region,
        "zone": record.zone,
        "address": _address_number(record.address),
        "dataPort": record.data_port,
        "controlPort": record.control_port,
        "httpPort": record.http_port,
        "services": list(record.services),
        "weight": round(record.weight * _HUNDREDTHS),
    }


def _record(entry: object) -> records.Record:
    reader: capnp.lib.capnp._DynamicStructReader = entry
    return records.Record(
        id=reader.id,
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        role=records.Role(reader.role.raw),
        state=records.State(reader.state.raw),
        health=records.Health(reader.health.raw),
        region=reader.region,
        zone=reader.zone,
        address=_address_text(reader.address),
        data_port=reader.dataPort,
        control_port=reader.controlPort,
        http_port=reader.httpPort,
        services=tuple(reader.services),
        weight=reader.weight / _HUNDREDTHS,
    )


def _write_body(message: object, body: Body) -> None:
    builder: capnp.lib.capnp._DynamicStructBuilder = message
    match body:
        case NoBody():
            builder.none = None
        case Ping(probe):
            builder.ping = probe
        case Ack(probe):
            builder.ack = probe
        case PingRequest(probe, subject):
            request = builder.init("pingRequest")
            request.probe = probe
            request.subject = subject
        case Register(number, service, entries):
            batch = builder.init("register")
            batch.number = number
            batch.service = service
            batch.entries = [
                {
                    "key": entry.key,
                    "incarnation": entry.incarnation,
                    "closing": entry.closing,
                }
                for entry in entries
            ]
        case RegisterAck(number):
            builder.registered = number
        case Release(keys):
            builder.release = list(keys)
        case Renew(count, checksum):
            renewal = builder.init("renew")
            renewal.count = count
            renewal.checksum = checksum
        case ResendRequest():
            builder.repeat = 0


def _slots_field(load: TargetLoad | None) -> int:
    if load is None:
        return UNKNOWN_SLOTS
    return min(load.free_slots, UNKNOWN_SLOTS - 1)


def _read_load(message: object) -> TargetLoad | None:
    reader: capnp.lib.capnp._DynamicStructReader = message
    if reader.freeSlots == UNKNOWN_SLOTS:
        return None
    return TargetLoad(reader.freeSlots, reader.completionMs)


def _check_length(items: typing.Sized, limit: int) -> None:
    if len(items) > limit:
        raise exceptions.MalformedMessageError(f"{len(items)} items")


def _read_body(message: object, max_items: int) -> Body:
    reader: capnp.lib.capnp._DynamicStructReader = message
    match reader.which():
        case "none":
            return NoBody()
        case "ping":
            return Ping(reader.ping)
        case "ack":
            return Ack(reader.ack)
        case "pingRequest":
            request = reader.pingRequest
            return PingRequest(request.probe, request.subject)
        case "register":
            batch = reader.register
            _check_length(batch.entries, max_items)
            entries = tuple(
                Registration(entry.key, entry.incarnation, entry.closing)
                for entry in batch.entries
            )
            return Register(batch.number, batch.service, entries)
        case "registered":
            return RegisterAck(reader.registered)
        case "release":
            _check_length(reader.release, max_items)
            return Release(tuple(reader.release))
        case "renew":
            return Renew(reader.renew.count, reader.renew.checksum)
        case "repeat":
            return ResendRequest()
    raise exceptions.MalformedMessageError("unknown body")


def encode(control: Control) -> bytes:
    """Returns the message of a control datagram, packed."""
    message = _SCHEMA.Control.new_message(
        sender=control.sender,
        incarnation=control.incarnation,
        counter=control.counter,
        revision=control.revision,
        digest=control.digest,
        freeSlots=_slots_field(control.load),
        completionMs=control.load.completion_ms if control.load else 0,
        records=[_record_fields(record) for record in control.records],
    )
    _write_body(message, control.body)
    return bytes(message.to_bytes_packed())


def decode(data: bytes, max_items: int = MAX_DATAGRAM_ITEMS) -> Control:
    """Returns the control message that a datagram holds.

    Args:
        data: The datagram.
        max_items: Items that a list may have; a few bytes can claim millions.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a message.
    """
    try:
        message = _SCHEMA.Control.from_bytes_packed(
            data, traversal_limit_in_words=max_items * _WORDS_PER_ITEM
        )
        _check_length(message.records, max_items)
        return Control(
            sender=message.sender,
            incarnation=message.incarnation,
            counter=message.counter,
            revision=message.revision,
            digest=message.digest,
            records=tuple(_record(entry) for entry in message.records),
            body=_read_body(message, max_items),
            load=_read_load(message),
        )
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error


def encode_records(several: list[records.Record]) -> bytes:
    """Returns a message that holds membership records only."""
    return encode(Control("", 0, 0, 0, 0, tuple(several), NoBody()))


def decode_records(data: bytes) -> tuple[records.Record, ...]:
    """Returns the membership records of a message.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a message.
    """
    return decode(data, MAX_TABLE_ITEMS).records
