import shutil
from pathlib import Path

import pytest

from hickorylever.exceptions import FleetError
from hickorylever.fleet import compile_fleet, decode, encode

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture
def directory(tmp_path):
    target = tmp_path / "fleet"
    shutil.copytree(EXAMPLES / "reykjanes", target)
    return target


@pytest.mark.parametrize("name, endpoints", [("reykjanes", 10), ("stoyanov", 8)])
def test_examples_compile(name, endpoints):
    fleet = compile_fleet(EXAMPLES / name)
    assert len(fleet.endpoints) == endpoints
    assert decode(encode(fleet)) == fleet


def compile_faults(directory):
    with pytest.raises(FleetError) as caught:
        compile_fleet(directory)
    return "\n".join(caught.value.faults)


def test_all_faults_are_reported_with_positions(directory):
    vms = directory / "vms.csv"
    vms.write_text(vms.read_text().replace("127.81.0.10", "nowhere"))
    rules = directory / "rules.toml"
    rules.write_text(rules.read_text() + '\n[[allow]]\nclient_accounts = ["nobody"]\nwrong = 1\n')
    text = compile_faults(directory)
    assert "vms.csv:2: address" in text
    assert "allow.wrong: unknown key" in text
    assert "'nobody' is not in the inventory" in text
    lines = rules.read_text().splitlines()
    line = lines.index('client_accounts = ["nobody"]') + 1
    assert f"rules.toml:{line}:20: allow.client_accounts" in text
    assert f"rules.toml:{line + 1}:1: allow.wrong" in text


KEY_DIGEST = "a" * 64
ADDED_LINES = [
    ("vms.csv", "x y,127.0.0.9,r,d,entry", "vm: 'x y' must be 1 to 64"),
    ("vms.csv", "bokhald-vm-1,127.0.0.9,r,d,endpoint", "vm: 'bokhald-vm-1' is defined twice"),
    ("vms.csv", "new,127.81.0.10,r,d,entry", "is also the address of reykjanes-entry-1"),
    ("vms.csv", "new,::1,r,d,entry", "'::1' is not an IPv4 address"),
    ("vms.csv", "new,127.0.0.9,,d,entry", "region: is empty"),
    ("vms.csv", "new,127.0.0.9,r,d,boss", "role: 'boss' must be one of entry, endpoint"),
    ("vms.csv", "new,127.0.0.9,r,d,entry,more", "row: has more cells than the header line"),
    ("vms.csv", 'new,"127.0.0.9', "unexpected end of data"),
    ("model_servers.csv", "s,nowhere,80,malthjonn,m,1,1", "vm: 'nowhere' is not a VM"),
    ("model_servers.csv", "s,malthjonn-vm-1,80,malthjonn,m,1,1", "already runs"),
    (
        "model_servers.csv",
        "s,bokhald-vm-1,80,bokhald,m,1,1",
        "'bokhald' is not an application of kind model",
    ),
    ("model_servers.csv", "s,bokhald-vm-1,0,malthjonn,m,1,1", "port: '0' must be an integer"),
    ("model_servers.csv", "s,bokhald-vm-1,-8,malthjonn,m,1,1", "port: '-8' must be an integer"),
    ("model_servers.csv", "s,bokhald-vm-1,9,malthjonn,,1,1", "models: is empty"),
    (
        "model_servers.csv",
        "s,bokhald-vm-1,9,malthjonn,m,0,1",
        "accelerators: '0' must be an integer",
    ),
    (
        "model_servers.csv",
        "s,bokhald-vm-1,9,malthjonn,m,٣,1",
        "accelerators: '٣' must be an integer",
    ),
    ("applications.csv", "x,service,/v1/x,bokhald-vm-1,80", "is reserved for models"),
    ("applications.csv", "x,service,/x/,bokhald-vm-1,80", "must start with / and not end"),
    ("applications.csv", "x,service,/bokhald,bokhald-vm-1,80", "also the path of bokhald"),
    ("applications.csv", "x,service,/x,,80", "vms: is empty"),
    ("applications.csv", "x,batch,/x,,80", "kind: 'batch' must be one of model, service"),
    ("client_accounts.csv", f"x,{KEY_DIGEST.upper()}", "64 lower-case hexadecimal digits"),
    ("client_accounts.csv", f"x,{KEY_DIGEST};{KEY_DIGEST}", "is also a key of x"),
    ("client_accounts.csv", "x,", "key_sha256: is empty"),
    ("rules.toml", "[[share]]\nweight = 1", "share.client_accounts: is required"),
    (
        "rules.toml",
        '[[share]]\nclient_accounts = "harbour"',
        "must be a non-empty list of strings",
    ),
    (
        "rules.toml",
        '[[share]]\nclient_accounts = ["*"]\nweight = -1',
        "must be a number greater than 0",
    ),
    (
        "rules.toml",
        '[[share]]\nclient_accounts = ["*"]\nweight = nan',
        "must be a number greater than 0",
    ),
    (
        "rules.toml",
        '[[share]]\nclient_accounts = ["*"]\npriority = true',
        "must be an integer",
    ),
    (
        "rules.toml",
        '[[allow]]\nclient_accounts = ["*"]\napplications = ["x"]',
        "application 'x' is",
    ),
    ("rules.toml", '[[allow]]\nclient_accounts = ["*"]\nmodels = ["x"]', "model 'x' is not in"),
    ("rules.toml", '[[allow]]\nclient_accounts = ["*"]', "names neither models nor applications"),
    ("rules.toml", "[[never_repeat]]", "has no condition, so it would cover every request"),
    (
        "rules.toml",
        '[[never_repeat]]\nmethods = "POST"',
        "must be a non-empty list of methods out of DELETE, GET",
    ),
    (
        "rules.toml",
        '[[never_repeat]]\nmethods = ["post"]',
        "must be a non-empty list of methods out of DELETE, GET",
    ),
    (
        "rules.toml",
        '[[never_repeat]]\nmodel = "m"\nretention = -5',
        "must be a number greater than 0",
    ),
    ("rules.toml", '[[never_repeat]]\napplication = "bokhald"\npath = "/x"', "would never match"),
    ("rules.toml", "[allow]\nmodels = 1", "Cannot"),
    ("rules.toml", "[registers]", "registers: unknown section"),
    ("rules.toml", '[register]\nreader = "xls"', "must be one of csv, semicolon, tab"),
    ("rules.toml", '[register.columns."vms.csv"]\nhost = "Host"', "has no column 'host'"),
    ("rules.toml", '[register.columns."vms.csv"]\nvm = "Host"', "Host is missing (for vm"),
    ("rules.toml", '[register.columns]\n"vms.csv" = "x"', "must be a table of columns"),
    ("rules.toml", "[[allow]\n", "(at line"),
]


@pytest.mark.parametrize("file, added, fault", ADDED_LINES)
def test_fault_of_added_line(directory, file, added, fault):
    path = directory / file
    path.write_text(path.read_text() + added + "\n", encoding="utf-8")
    text = compile_faults(directory)
    assert fault in text and file in text


REPLACED_FILES = [
    ("vms.csv", b"", "vms.csv:1: is empty"),
    ("vms.csv", b"\xff\xfe\x00", "can't decode"),
    ("vms.csv", b"vm,address,role\na,127.0.0.1,entry\n", "column region is missing"),
    ("rules.toml", b'[fleet]\npolicy = "best"\n', "rules.toml:2:1: fleet.policy: must be one of"),
    ("rules.toml", b"[fleet]\nload_multiple = 1\n", "must be a number greater than 1"),
    ("rules.toml", b"[fleet]\nload_floor = inf\n", "must be a number of at least 0"),
    ("rules.toml", b"fleet = 3\n", "must be written as [fleet]"),
    ("rules.toml", b"[[fleet]]\nname = 'x'\n", "must be written as [fleet]"),
    ("rules.toml", b"[allow]\nmodels = ['x']\n", "must be written as [[allow]]"),
    ("rules.toml", b"a = " + b"[" * 5000, "rules.toml"),
]


@pytest.mark.parametrize("file, content, fault", REPLACED_FILES)
def test_fault_of_replaced_file(directory, file, content, fault):
    (directory / file).write_bytes(content)
    assert fault in compile_faults(directory)


def test_mapped_columns_and_delimiter(directory):
    vms = directory / "vms.csv"
    head, _, rest = vms.read_text().partition("\n")
    vms.write_text("Host;IP;region;failure_domain;role\n" + rest.replace(",", ";"))
    for name in ("model_servers.csv", "applications.csv", "client_accounts.csv"):
        path = directory / name
        text = path.read_text().replace(";", "|").replace(",", ";").replace("|", ",")
        path.write_text(text.replace("bokhald-vm-1,bokhald-vm-2,bokhald-vm-3,", ""))
    rules = directory / "rules.toml"
    mapping = '\n[register]\nreader = "semicolon"\n[register.columns."vms.csv"]\n'
    rules.write_text(rules.read_text() + mapping + 'vm = "Host"\naddress = "IP"\n')
    fleet = compile_fleet(directory)
    assert {vm.name for vm in fleet.vms} == {
        vm.name for vm in compile_fleet(EXAMPLES / "reykjanes").vms
    }


def test_optional_model_server_columns(directory):
    path = directory / "model_servers.csv"
    head, *rows = path.read_text().splitlines()
    more = ["a1;a2,decode,yes", ",,no", *[",,"] * (len(rows) - 2)]
    text = [f"{head},adapters,engine_role,obeys_fencing"]
    text += [f"{row},{extra}" for row, extra in zip(rows, more, strict=True)]
    path.write_text("\n".join(text) + "\n")
    first, second = [e for e in compile_fleet(directory).endpoints if e.models][:2]
    assert (first.adapters, first.engine_role, first.obeys_fencing) == (
        ("a1", "a2"),
        "decode",
        True,
    )
    assert (second.adapters, second.engine_role, second.obeys_fencing) == ((), "mixed", False)
