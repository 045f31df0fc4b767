import shutil
from pathlib import Path

import pytest

from hickorylever.exceptions import FleetError
from hickorylever.fleet import compile_fleet, decode, encode

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name, endpoints", [("reykjanes", 10), ("stoyanov", 8)])
def test_examples_compile(name, endpoints):
    fleet = compile_fleet(EXAMPLES / name)
    assert len(fleet.endpoints) == endpoints
    assert decode(encode(fleet)) == fleet


def test_every_fault_is_reported_with_its_line(tmp_path):
    directory = tmp_path / "fleet"
    shutil.copytree(EXAMPLES / "reykjanes", directory)
    vms = directory / "vms.csv"
    vms.write_text(vms.read_text().replace("127.81.0.10", "nowhere"))
    rules = directory / "rules.toml"
    rules.write_text(rules.read_text() + '\n[[allow]]\nclient_accounts = ["nobody"]\nwrong = 1\n')
    with pytest.raises(FleetError) as caught:
        compile_fleet(directory)
    text = "\n".join(caught.value.faults)
    assert "vms.csv:2: address" in text
    assert "allow.wrong: unknown key" in text
    assert "'nobody' is not in the inventory" in text
