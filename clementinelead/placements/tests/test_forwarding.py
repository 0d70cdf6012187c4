"""Lookup of the service to which a packet's destination belongs."""

import socket

from clementinelead.packets import headers
from clementinelead.placements import forwarding
from clementinelead.placements import tables
from clementinelead.placements.tests import samples

MOVED = "198.18.0.9:80"


def _packet(endpoint):
    """Returns a TCP packet with SYN to an address."""
    address, port = endpoint.split(":")
    ip = bytes((0x45, 0, 0, 40, 0, 0, 0, 0, 64, headers.PROTOCOL_TCP, 0, 0))
    ip += socket.inet_aton("192.0.2.1") + socket.inet_aton(address)
    tcp = (4_000).to_bytes(2, "big") + int(port).to_bytes(2, "big")
    tcp += bytes(8) + bytes((5 << 4, headers.SYN)) + bytes(6)
    return ip + tcp


def _groups(number, name="a", weight=1):
    member = tables.Member(f"t{number}", (f"10.0.0.{number}", 1), 1.0)
    return (tables.TargetGroup(name, weight, (member,)),)


def _target_number(forwarder, endpoint):
    """Returns the number of the target a packet is sent to, or None."""
    sent = forwarder.forward(_packet(endpoint))
    return sent and int(sent[1][0].rsplit(".", 1)[1])


def test_packets_to_each_address_of_a_service_reach_its_targets():
    forwarder = forwarding.Forwarder(lambda _: None)
    service = samples.service("a", 1, more_addresses=MOVED)
    forwarder.update("a", service, _groups(1), 1)
    numbers = [
        _target_number(forwarder, endpoint) for endpoint in service.endpoints
    ]
    assert numbers == [1, 1]


def test_packets_to_a_removed_address_are_dropped():
    forwarder = forwarding.Forwarder(lambda _: None)
    service = samples.service("a", 1, more_addresses=MOVED)
    forwarder.update("a", service, _groups(1), 1)
    forwarder.update("a", samples.service("a", 1), _groups(1), 2)
    assert _target_number(forwarder, MOVED) is None
    forwarder.update("a", None, (), 3)
    assert _target_number(forwarder, service.endpoints[0]) is None
    assert forwarder.service_names() == frozenset()


def test_moved_address_does_not_depend_on_the_order_of_updates():
    for order in ("ab", "ba"):
        forwarder = forwarding.Forwarder(lambda _: None)
        first = samples.service("a", 1, more_addresses=MOVED)
        forwarder.update("a", first, _groups(1), 1)
        forwarder.update("b", samples.service("b", 2), _groups(2), 1)
        changed = {
            "a": (samples.service("a", 1), _groups(1)),
            "b": (samples.service("b", 2, more_addresses=MOVED), _groups(2)),
        }
        for name in order:
            forwarder.update(name, *changed[name], 2)
        assert _target_number(forwarder, MOVED) == 2, order
