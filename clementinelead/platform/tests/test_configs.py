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


def test_config_is_decoded_into_a_routing_table():
    table = configs.decode(_config())
    assert table.version == 7
    assert table.idle_timeout_s == 15.0
    split_route = table.by_address[packets.address_bytes("198.18.0.1", 8443)]
    assert split_route.shares == (
        routes.Share("whois", 90),
        routes.Share("export", 10),
    )
    single_route = table.by_address[packets.address_bytes("198.18.0.1", 8080)]
    assert single_route.select_service(b"any") == "whois"


def _route(**fields):
    content = json.loads(_config())["routes"][0]
    return {**content, **fields}


# Guards against a configuration that is rejected, or updates that are repeated,
# because of an odd priority or type of one route.
@pytest.mark.parametrize(
    ("value", "priority"),
    [
        (0, 0),
        (1, 1),
        (300, routes.LOWEST_PRIORITY),
        (10**30, routes.LOWEST_PRIORITY),
        (-1, routes.LOWEST_PRIORITY),
        (1.5, routes.LOWEST_PRIORITY),
        (True, routes.LOWEST_PRIORITY),
        ("high", routes.LOWEST_PRIORITY),
        ([[]], routes.LOWEST_PRIORITY),
        (None, routes.LOWEST_PRIORITY),
    ],
)
def test_odd_priorities_count_as_the_lowest(value, priority):
    table = configs.decode(_config(routes=[_route(priority=value)]))
    assert table.routes[0].priority == priority


@pytest.mark.parametrize(
    ("value", "idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
        ("unknown", False),
        (7, False),
        (["idempotent"], False),
        (None, False),
    ],
)
def test_only_known_types_may_be_executed_twice(value, idempotent):
    table = configs.decode(_config(routes=[_route(type=value)]))
    assert table.routes[0].idempotent is idempotent


def test_priorities_of_a_service_are_those_of_its_routes():
    routes_of_config = [
        _route(priority=2),
        _route(priority=1, prefix="/9/"),
        _route(priority=0, prefix="/10/", service="export"),
    ]
    table = configs.decode(_config(routes=routes_of_config))
    assert table.priorities("whois") == (1, 2)
    assert table.priorities("export") == (0,)


def test_warm_up_rates_are_those_of_services_that_have_one():
    services = [
        {"name": "whois", "warmup_per_s": 12.5},
        {"name": "export", "warmup_per_s": 0.0},
        {"name": "other"},
    ]
    table = configs.decode(_config(services=services))
    assert table.warmup_flows_per_s("whois") == 12.5
    assert table.warmup_flows_per_s("export") == 0.0
    assert table.warmup_rates == (routes.WarmupRate("whois", 12.5),)


@pytest.mark.parametrize(
    "service",
    [
        {"name": "bad", "warmup_per_s": -1},
        {"name": "bad", "warmup_per_s": "12"},
        {"name": "bad", "warmup_per_s": 1e300},
        {"name": "bad", "warmup_per_s": None},
        {"warmup_per_s": 3},
        "bad",
        None,
    ],
)
def test_service_with_an_invalid_rate_is_left_out(service):
    services = [service, {"name": "whois", "warmup_per_s": 2}]
    table = configs.decode(_config(services=services))
    assert table.warmup_rates == (routes.WarmupRate("whois", 2.0),)
    assert len(table.routes) == 2


def test_unknown_fields_are_ignored():
    assert configs.decode(_config(unknown=[1])).version == 7


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
def test_invalid_fields_raise_value_error(fields):
    with pytest.raises(ValueError):
        configs.decode(_config(**fields))


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_or_raise_value_error(data):
    try:
        configs.decode(data)
    except ValueError:
        pass
