import json

import pytest

from hickorylever.cli import main


def line(event, request, time, prefix="", **more):
    fields = {"time": time, "event": event, "name": "n", "message": "m", "request": request}
    return f"{prefix}{json.dumps({**fields, **more}, separators=(',', ':'))}\n"


@pytest.fixture
def logs(tmp_path):
    first = tmp_path / "a.log"
    second = tmp_path / "b.log"
    first.write_text(
        line(201, "r1", "t3", ran="no") + line(202, "r1", "t1", rank=2) + "no JSON r1 {\n"
    )
    second.write_bytes(b"\xff\xfe\n" + line(212, "r1", "t2", "  1.5 edge-1 ").encode())
    return [str(first), str(second)]


def test_a_request_is_traced_through_several_logs(logs, capsys):
    assert main(["trace", "r1", *logs]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert [row.split()[0] for row in rows] == ["t1", "t2", "t3"]
    assert "rank=2" in rows[0]
    assert "edge-1" in rows[1]
    assert "ran=no" in rows[2]


@pytest.mark.parametrize("request_id", ["r", "r2", ""])
def test_an_unknown_request_is_reported(request_id, logs, capsys):
    assert main(["trace", request_id or "-", *logs]) == 1
    assert "no line about" in capsys.readouterr().out
