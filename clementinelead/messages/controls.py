"""Codec of control messages between balancers and side processes."""

import pathlib
import typing

import capnp
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import evacuations
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
"""Value of ``freeSlots`` in a message without a load."""

MAX_DATAGRAM_ITEMS = 256
"""Largest number of items in a list of a datagram."""

MAX_TABLE_ITEMS = 200_000
"""Largest number of records in a message with a whole membership table."""

_WEIGHT_UNITS = 100  # weights are sent in hundredths
_MAX_WORDS_PER_ITEM = 64


class NoBody(msgspec.Struct, frozen=True):
    """Body of a message that carries only membership records."""


class Ping(msgspec.Struct, frozen=True):
    """Requests an acknowledgement (``Ack``) from the receiver.

    Attributes:
        probe: Number of the probe.
    """

    probe: int


class Ack(msgspec.Struct, frozen=True):
    """Acknowledges a ping.

    Attributes:
        probe: Number of the probe in the ping.
    """

    probe: int


class PingRequest(msgspec.Struct, frozen=True):
    """Requests the receiver to ping another process for the sender.

    Attributes:
        probe: Number of the sender's probe.
        subject: Identifier of the process to ping.
    """

    probe: int
    subject: str


class Registration(msgspec.Struct, frozen=True):
    """Locator of a flow that the sender's target owns.

    Attributes:
        key: Flow key.
        incarnation: Number that the owner raises with each flow it opens.
        closing: Whether the caller has closed its side.
    """

    key: bytes
    incarnation: int
    closing: bool = False


class Register(msgspec.Struct, frozen=True):
    """Registers flows of the sender's target with the receiver.

    Attributes:
        number: Number of the batch.
        service: Service of the flows.
        entries: The flows.
    """

    number: int
    service: str
    entries: tuple[Registration, ...]


class RegisterAck(msgspec.Struct, frozen=True):
    """Acknowledges a batch of registrations.

    Attributes:
        number: Number of the batch.
    """

    number: int


class Release(msgspec.Struct, frozen=True):
    """Removes the registrations of flows that have ended.

    Attributes:
        keys: Flow keys.
    """

    keys: tuple[bytes, ...]


class Renew(msgspec.Struct, frozen=True):
    """Renews all registrations of the sender at the receiver.

    If the receiver's registrations have another count or checksum, it sends a
    ``ResendRequest``.

    Attributes:
        count: Number of registrations.
        checksum: Exclusive or of their hashes.
    """

    count: int
    checksum: int


class ResendRequest(msgspec.Struct, frozen=True):
    """Requests the receiver to send all its registrations again."""


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
    """Load of a target, as its side process reports it.

    Attributes:
        free_slots: Slots that new flows can use without waiting.
        completion_ms: Expected time to completion of a flow accepted now,
            milliseconds.
    """

    free_slots: int
    completion_ms: int


class Control(msgspec.Struct, frozen=True):
    """A control datagram.

    Attributes:
        sender: Identifier of the sending process.
        incarnation: Start of the sending process, milliseconds since 1970.
        counter: Number that the sender raises with each datagram.
        revision: Configuration revision in force at the sender.
        digest: Digest of the sender's membership records.
        records: Membership records that have changed.
        body: Request or reply that the message carries.
        load: Load of the sender's target, None if it reports none.
        evacuated: Evacuated zones as known to the sender.
    """

    sender: str
    incarnation: int
    counter: int
    revision: int
    digest: int
    records: tuple[records.Record, ...]
    body: Body
    load: TargetLoad | None = None
    evacuated: evacuations.EvacuationState = evacuations.UNKNOWN


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
        "weight": round(record.weight * _WEIGHT_UNITS),
        "storeLost": record.store_lost,
    }


def _read_record(entry: object) -> records.Record:
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
        weight=reader.weight / _WEIGHT_UNITS,
        store_lost=reader.storeLost,
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


def _write_evacuations(
    message: object, state: evacuations.EvacuationState
) -> None:
    if not state.is_known:
        return
    builder: capnp.lib.capnp._DynamicStructBuilder = message
    entry = builder.init("evacuations")
    entry.era = state.era
    entry.revision = state.revision
    entry.zones = sorted(state.zones)


def _read_evacuations(message: object) -> evacuations.EvacuationState:
    """Returns the state in a message.

    Raises:
        exceptions.MalformedMessageError: It has too many zones or a zone whose
            name is empty or too long.
    """
    reader: capnp.lib.capnp._DynamicStructReader = message
    entry = reader.evacuations
    if not entry.revision:
        return evacuations.UNKNOWN
    _check_length(entry.zones, evacuations.MAX_ZONES)
    zones = frozenset(entry.zones)
    if not all(evacuations.is_valid_zone(zone) for zone in zones):
        raise exceptions.MalformedMessageError("invalid name of a zone")
    return evacuations.EvacuationState(entry.era, entry.revision, zones)


def _check_length(items: typing.Sized, max_items: int) -> None:
    if len(items) > max_items:
        raise exceptions.MalformedMessageError(
            f"list has {len(items)} items, more than {max_items}"
        )


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
    raise exceptions.MalformedMessageError("unknown kind of body")


def encode(control: Control) -> bytes:
    """Returns a control message as bytes, in the packed encoding.

    Args:
        control: The message.
    """
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
    _write_evacuations(message, control.evacuated)
    return bytes(message.to_bytes_packed())


def decode(data: bytes, max_items: int = MAX_DATAGRAM_ITEMS) -> Control:
    """Returns the control message in a datagram.

    Args:
        data: The datagram.
        max_items: Largest number of items in a list. It is checked because a
            message of a few bytes can claim a list of millions of items.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a valid message or
            a list is too long.
    """
    try:
        message = _SCHEMA.Control.from_bytes_packed(
            data, traversal_limit_in_words=max_items * _MAX_WORDS_PER_ITEM
        )
        _check_length(message.records, max_items)
        return Control(
            sender=message.sender,
            incarnation=message.incarnation,
            counter=message.counter,
            revision=message.revision,
            digest=message.digest,
            records=tuple(_read_record(entry) for entry in message.records),
            body=_read_body(message, max_items),
            load=_read_load(message),
            evacuated=_read_evacuations(message),
        )
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error


def encode_records(table: list[records.Record]) -> bytes:
    """Returns a message with membership records only, as bytes.

    Args:
        table: The records.
    """
    return encode(Control("", 0, 0, 0, 0, tuple(table), NoBody()))


def decode_records(data: bytes) -> tuple[records.Record, ...]:
    """Returns the membership records in a message.

    Args:
        data: Bytes from ``encode_records``.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a valid message or
            hold more than ``MAX_TABLE_ITEMS`` records.
    """
    return decode(data, MAX_TABLE_ITEMS).records
