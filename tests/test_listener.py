import socket
import subprocess
import sys

import pytest

from hickorylever.direct.listener import open_listener


def settings(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return str(path)


def test_callers_can_connect_before_imports(tmp_path):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = settings(tmp_path, f'[listen]\nfrontend = "127.0.0.1:{port}"\n')
    listener = open_listener(["--settings", path])
    with listener, socket.create_connection(("127.0.0.1", port), 1.0) as caller:
        assert caller.getpeername()[1] == port


@pytest.mark.parametrize(
    "text",
    [
        "",
        "listen = 1\n",
        "[listen]\n",
        '[listen]\nfrontend = "x"\n',
        "not TOML",
        "[listen]\nfrontend = 7",
    ],
)
def test_invalid_settings_open_no_listener(text, tmp_path):
    assert open_listener(["--settings", settings(tmp_path, text)]) is None


def test_invalid_settings_are_reported(tmp_path):
    path = settings(tmp_path, "[listen]\n")
    command = [sys.executable, "-m", "hickorylever.direct", "--settings", path]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert "`frontend`" in done.stderr
