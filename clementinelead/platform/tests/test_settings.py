import pytest

from clementinelead import exceptions
from clementinelead.platform import settings
from clementinelead.platform import side_program
from clementinelead.platform.tests import settings_files
from clementinelead.processes import sockets


def test_settings_are_translated():
    loaded = settings_files.side()
    assert loaded.relay.id == "side-a-1"
    assert loaded.relay.seeds == ("10.0.0.1",)
    assert loaded.relay.data_port == 7720
    assert loaded.relay.stop_s == 6
    assert loaded.target == ("127.0.0.1", 8165)
    assert loaded.answers == ("127.0.0.1", 8162)
    assert loaded.store == ("10.200.1.7", 8169)
    assert loaded.caller_port == 8172


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
def test_wrong_settings_are_refused(fields):
    with pytest.raises(ValueError):
        settings_files.side(**fields)


def test_missing_file_is_said(monkeypatch, tmp_path):
    missing = tmp_path / "node.toml"
    monkeypatch.setenv(settings.FILE_VARIABLE, str(missing))
    with pytest.raises(exceptions.SettingsError, match=r"node\.toml"):
        settings.load()


def test_broken_file_is_said(monkeypatch, tmp_path):
    broken = tmp_path / "node.toml"
    broken.write_text("node_name = ")
    monkeypatch.setenv(settings.FILE_VARIABLE, str(broken))
    with pytest.raises(exceptions.SettingsError):
        settings.load()


def test_side_process_needs_a_target():
    with pytest.raises(exceptions.SettingsError):
        side_program.build(
            settings_files.side(app=""), sockets.PreboundSockets()
        )
