import pytest

from hickorylever import platform
from hickorylever.exceptions import SettingsError
from hickorylever.platform.standins import documents

GOOD = """
node-name = "edge-1"
ip = "10.1.0.40"
zone = "a"
internal-ports = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
unknown-key = 3
[listen]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
memory-mb = 300
max-fds = 4100
link-mbps = 5.0
[bounds]
grace-s = 8
retry-budget-ratio = 0.2
retry-allowance = 58
[platform]
address = "10.200.1.7:8223"
"""


def write(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return str(path)


def test_load_platform_settings(tmp_path):
    settings = platform.load(write(tmp_path, GOOD))
    assert (settings.port, settings.ready_port, settings.peer_port) == (8227, 8220, 7340)
    assert settings.seeds == ("10.2.0.29",)
    assert settings.memory_bytes == 300 * 1024 * 1024
    assert (settings.link_mbps, settings.drain_grace) == (5.0, 8)
    assert settings.store == ("10.200.1.7", 8223)
    assert settings.evacuation_time is None


def test_evacuations_are_enabled_by_their_time_limit(tmp_path):
    content = GOOD.replace("[bounds]", "[bounds]\nevacuate-ms = 5000")
    settings = platform.load(write(tmp_path, content))
    assert settings.evacuation_time == 5.0
    again = platform.load(write(tmp_path, documents.encode_settings(settings)))
    assert again.evacuation_time == 5.0


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('ip = "10.1.0.40"', "ip = 4"),
        ("internal-ports = [7340, 7355]", 'internal-ports = "x"'),
        ("internal-ports = [7340, 7355]", "internal-ports = []"),
        ('ready = "10.1.0.40:8220"', ""),
        ('address = "10.200.1.7:8223"', 'address = "nowhere"'),
        ("[bounds]", "[bounds"),
    ],
)
def test_invalid_settings_are_rejected(old, new, tmp_path):
    with pytest.raises(SettingsError):
        platform.load(write(tmp_path, GOOD.replace(old, new)))


def test_missing_file_is_rejected(tmp_path):
    with pytest.raises(SettingsError):
        platform.load(str(tmp_path / "none.toml"))
