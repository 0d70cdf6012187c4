import dataclasses

import pytest

from clementinelead import exceptions
from clementinelead.memberships import evacuations
from clementinelead.memberships.tests import samples
from clementinelead.messages import controls


def _control(evacuated=evacuations.UNKNOWN):
    return controls.Control(
        "b", 1, 2, 3, 4, (), controls.Ping(5), evacuated=evacuated
    )


@pytest.mark.parametrize(
    "state",
    [
        evacuations.UNKNOWN,
        evacuations.EvacuationState(0, 7, frozenset()),
        evacuations.EvacuationState(2, 2**40, frozenset(("a", "b"))),
    ],
)
def test_evacuated_zones_are_decoded_as_encoded(state):
    control = _control(state)
    assert controls.decode(controls.encode(control)) == control


def test_record_of_a_process_without_the_store_is_decoded_as_encoded():
    record = dataclasses.replace(samples.SIDE, store_lost=True)
    encoded = controls.encode_records([record, samples.SIDE])
    assert controls.decode_records(encoded) == (record, samples.SIDE)


@pytest.mark.parametrize(
    "zones",
    [
        [f"zone-{number}" for number in range(evacuations.MAX_ZONES + 1)],
        [""],
        ["z" * 1000],
    ],
)
def test_message_with_invalid_zones_is_malformed(zones):
    state = evacuations.EvacuationState(1, 1, frozenset(zones))
    with pytest.raises(exceptions.MalformedMessageError):
        controls.decode(controls.encode(_control(state)))
