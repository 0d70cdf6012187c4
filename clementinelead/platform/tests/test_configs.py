import json

import hypothesis
from hypothesis import strategies
import pytest

from clementinelead.platform import configs
from clementinelead.platform import packets
from clementinelead.relays import routes


def _config(**fields):
    content = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "198.18.0.1",
                "prefix": "/8080/",
                "type": "non_idempotent",
                "service": "whois",
            },
            {
                "name": "r-2",
                "host": "198.18.0.1",
                "prefix": "/8443/",
                "backends": [
                    {"service": "whois", "weight": 90},
                    {"service": "export", "weight": 10},
                ],
            },
        ],
        "services": [],
        "limits": {"idle_timeout_ms": 15000},
    }
    return json.dumps({**content, **fields}).encode()


def test_routes_are_translated():
    table = configs.decode(_config())
    assert table.version == 7
    assert table.idle_timeout_s == 15.0
    split = table.by_address[packets.address_bytes("198.18.0.1", 8443)]
    assert split.shares == (
        routes.Share("whois", 90),
        routes.Share("export", 10),
    )
    single = table.by_address[packets.address_bytes("198.18.0.1", 8080)]
    assert single.select_service(b"any") == "whois"


def test_unknown_fields_are_ignored():
    assert configs.decode(_config(novelty=[1])).version == 7


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "7"},
        {"routes": {}},
        {"routes": [{"name": "r"}]},
        {"routes": [{"name": "r", "host": "x", "prefix": "/1/"}]},
        {"routes": [{"name": "r", "host": "10.0.0.1", "prefix": "/a/"}]},
    ],
)
def test_other_types_are_refused(fields):
    with pytest.raises(ValueError):
        configs.decode(_config(**fields))


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    try:
        configs.decode(data)
    except ValueError:
        pass
