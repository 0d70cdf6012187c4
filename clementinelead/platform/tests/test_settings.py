import pytest

from clementinelead import exceptions
from clementinelead.platform import settings
from clementinelead.platform import side_program
from clementinelead.platform.tests import settings_files
from clementinelead.processes import sockets


def test_settings_file_is_converted():
    node_settings = settings_files.side()
    assert node_settings.relay.id == "side-a-1"
    assert node_settings.relay.seeds == ("10.0.0.1",)
    assert node_settings.relay.data_port == 7720
    assert node_settings.relay.stop_s == 6
    assert node_settings.target_endpoint == ("127.0.0.1", 8165)
    assert node_settings.outbound_endpoint == ("127.0.0.1", 8162)
    assert node_settings.store_endpoint == ("10.200.1.7", 8169)
    assert node_settings.caller_port == 8172


@pytest.mark.parametrize(
    ("bounds", "expected_s"),
    [
        ({}, 3.0),
        ({"config_apply_ms": 6000}, 6.0),
        ({"config_apply_ms": 6000, "evacuate_ms": 5000}, 5.0),
        ({"config_apply_ms": 0}, 1.0),
    ],
)
def test_bound_on_changes_is_the_strictest_one(bounds, expected_s):
    assert settings_files.side(bounds=bounds).change_bound_s == expected_s


# Guards against a side process that answers no load query while its target may
# be cold: the limit of an infinite factor can't be computed.
@pytest.mark.parametrize("figure", [float("inf"), 1e308, float("nan"), -1.0])
@pytest.mark.parametrize("name", ["warmup_overshoot", "warmup_slack"])
def test_any_warmup_figure_gives_a_limit(name, figure):
    bounds = {"warmup_overshoot": 1.0, name: figure}
    bound = settings_files.side(bounds=bounds).relay.warmup_bound
    for flows_per_s in (0.0, 1.0, 1e6):
        assert bound.max_flows(flows_per_s) >= 0


@pytest.mark.parametrize(
    "fields",
    [
        {"ip": 7},
        {"internal_ports": [7720, 7721]},
        {"listen": {"datagram_addr": "nowhere"}},
        {"platform": {}},
        {"app": "127.0.0.1"},
        {"seeds": ["x:y"]},
    ],
)
def test_invalid_settings_raise_value_error(fields):
    with pytest.raises(ValueError):
        settings_files.side(**fields)


def test_missing_file_is_named_in_the_error(monkeypatch, tmp_path):
    missing_file = tmp_path / "node.toml"
    monkeypatch.setenv(settings.SETTINGS_FILE_VARIABLE, str(missing_file))
    with pytest.raises(exceptions.SettingsError, match=r"node\.toml"):
        settings.load()


def test_malformed_file_raises_settings_error(monkeypatch, tmp_path):
    malformed_file = tmp_path / "node.toml"
    malformed_file.write_text("node_name = ")
    monkeypatch.setenv(settings.SETTINGS_FILE_VARIABLE, str(malformed_file))
    with pytest.raises(exceptions.SettingsError):
        settings.load()


def test_side_process_without_a_target_raises_settings_error():
    with pytest.raises(exceptions.SettingsError):
        side_program.build(
            settings_files.side(app=""), sockets.PreboundSockets()
        )
