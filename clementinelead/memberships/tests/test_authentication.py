"""Rejection of forged, replayed, foreign and malformed datagrams."""

import hypothesis
from hypothesis import strategies
import pytest

from clementinelead import exceptions
from clementinelead.memberships import authentication
from clementinelead.memberships import records
from clementinelead.messages import controls

RECORD = records.Record(
    id="t1",
    incarnation=5,
    sequence=2,
    role=records.Role.SIDE,
    state=records.State.DRAINING,
    region="north",
    zone="north-a",
    address="127.0.0.1",
    data_port=1,
    control_port=2,
    http_port=3,
    services=("lookups", "exports"),
    weight=2.5,
)

LOAD = controls.TargetLoad(2, 350)
BODIES = [
    controls.NoBody(),
    controls.Ping(7),
    controls.Ack(7),
    controls.PingRequest(7, "t2"),
    controls.Register(
        3, "lookups", (controls.Registration(b"k" * 13, 9, True),)
    ),
    controls.RegisterAck(3),
    controls.Release((b"k" * 13,)),
    controls.Renew(2, 1 << 63),
    controls.ResendRequest(),
]


@pytest.mark.parametrize("body", BODIES)
def test_every_body_type_round_trips_through_encoding(body):
    control = controls.Control("t1", 5, 6, 7, 8, (RECORD,), body, LOAD)
    assert controls.decode(controls.encode(control)) == control


def test_free_slots_beyond_the_field_range_are_encoded_as_its_maximum():
    load = controls.TargetLoad(1_000_000, 5)
    control = controls.Control("t1", 5, 6, 7, 8, (), BODIES[0], load)
    decoded = controls.decode(controls.encode(control))
    assert decoded.load == controls.TargetLoad(controls.UNKNOWN_SLOTS - 1, 5)


def test_payload_sealed_with_either_rotation_key_is_opened():
    old = authentication.Sealer("majlis", (b"old",))
    both = authentication.Sealer("majlis", (b"new", b"old"))
    new = authentication.Sealer("majlis", (b"new",))
    assert both.open(old.seal(b"x")) == b"x"
    assert new.open(both.seal(b"x")) == b"x"


@pytest.mark.parametrize(
    "other",
    [
        authentication.Sealer("majlis", (b"forged",)),
        authentication.Sealer("another-cluster", (b"key",)),
    ],
)
def test_forged_and_foreign_datagrams_are_rejected(other):
    own = authentication.Sealer("majlis", (b"key",))
    assert own.open(other.seal(b"x")) is authentication.Rejection.FORGED


@hypothesis.given(strategies.binary(max_size=80), strategies.integers(0, 79))
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_datagram_with_a_flipped_bit_is_rejected(payload, position):
    own = authentication.Sealer("majlis", (b"key",))
    datagram = bytearray(own.seal(payload + b"."))
    datagram[position % len(datagram)] ^= 1
    assert own.open(bytes(datagram)) is authentication.Rejection.FORGED


@hypothesis.given(strategies.binary(max_size=300))
@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
def test_random_bytes_decode_or_raise_malformed_message(data):
    try:
        controls.decode(data)
    except exceptions.MalformedMessageError:
        pass


@hypothesis.given(strategies.data())
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_corrupted_message_decodes_or_raises_malformed_message(data):
    control = controls.Control("t1", 5, 6, 7, 8, (RECORD,), BODIES[4])
    corrupted = bytearray(controls.encode(control))
    for _ in range(data.draw(strategies.integers(1, 6))):
        position = data.draw(strategies.integers(0, len(corrupted) - 1))
        corrupted[position] = data.draw(strategies.integers(0, 255))
    try:
        controls.decode(bytes(corrupted))
    except exceptions.MalformedMessageError:
        pass


@hypothesis.given(strategies.lists(strategies.integers(1, 600), max_size=200))
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_no_counter_is_accepted_twice(counters):
    window = authentication.ReplayWindow()
    accepted = [
        counter for counter in counters if window.accept("t1", 5, counter)
    ]
    assert len(accepted) == len(set(accepted))


def test_counter_of_an_older_incarnation_is_rejected():
    window = authentication.ReplayWindow()
    assert window.accept("t1", 6, 1)
    assert not window.accept("t1", 5, 100)
    assert window.accept("t1", 7, 1)
