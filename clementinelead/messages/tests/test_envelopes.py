"""Codec of envelopes and routes, malformed ones included."""

import hypothesis
from hypothesis import strategies

from clementinelead import exceptions
from clementinelead.messages import envelopes

ROUTE = envelopes.Route(
    "lookups",
    3,
    (envelopes.Candidate(1, ("127.0.0.1", 7000)),),
    (envelopes.Candidate(2, ("10.255.0.1", 65535)),),
)
ENCODED = envelopes.encode_route(ROUTE)
ENVELOPE = envelopes.Envelope(
    envelopes.Phase.FINAL, 1, 2, 3, 4, 5, True, ENCODED, b"packet"
)


def test_route_and_envelope_are_decoded_as_encoded():
    assert envelopes.decode_route(ENCODED) == ROUTE
    data = envelopes.encode_envelope(ENVELOPE)
    assert envelopes.decode_envelope(data) == ENVELOPE
    assert envelopes.decode_packet(data) == b"packet"


def test_placement_envelope_has_the_phase_place():
    data = envelopes.encode_placement(ENCODED, b"packet")
    decoded = envelopes.decode_envelope(data)
    assert decoded.phase is envelopes.Phase.PLACE
    assert (decoded.route, decoded.packet) == (ENCODED, b"packet")


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
def test_any_bytes_decode_or_are_malformed(data):
    for decode in (
        envelopes.decode_envelope,
        envelopes.decode_packet,
        envelopes.decode_route,
    ):
        try:
            decode(data)
        except exceptions.MalformedMessageError:
            pass


@hypothesis.given(strategies.data())
@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
def test_corrupted_route_decodes_or_is_malformed(data):
    corrupted = bytearray(ENCODED)
    for _ in range(data.draw(strategies.integers(1, 6))):
        position = data.draw(strategies.integers(0, len(corrupted) - 1))
        corrupted[position] = data.draw(strategies.integers(0, 255))
    try:
        envelopes.decode_route(bytes(corrupted))
    except exceptions.MalformedMessageError:
        pass


def test_list_length_beyond_the_message_is_bounded():
    """A list of empty elements can claim any length within a short message."""
    message = bytearray(ENCODED)
    for offset in range(0, len(message) - 8, 8):
        for count in (0x10000000, 0x7FFFFFF8):
            corrupted = bytearray(message)
            corrupted[offset + 4 : offset + 8] = count.to_bytes(4, "little")
            try:
                route = envelopes.decode_route(bytes(corrupted))
            except exceptions.MalformedMessageError:
                continue
            assert len(route.visiting_order) < 100
