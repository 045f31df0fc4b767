"""Tests of the configuration commands against an object API in another thread."""

import re
import shutil
import threading
from pathlib import Path

import curio
import msgspec
import pytest
from harness import HOST, port_of

from hickorylever import configuration, defaults, http
from hickorylever.cli import main
from hickorylever.environment import Environment
from hickorylever.fleet import heads
from hickorylever.node import AdminServer
from hickorylever.settings import Settings
from hickorylever.standins.objects import ObjectStore

EXAMPLE = Path(__file__).parent.parent / "examples" / "reykjanes"


class ObjectApiThread:
    """An object API and a node that follows it, in the event loop of another thread."""

    def __init__(self):
        self.objects = ObjectStore(seed=1)
        self.ready = threading.Event()
        self.stop = curio.UniversalEvent()

    def __enter__(self):
        self.thread = threading.Thread(target=curio.run, args=(self.main,), daemon=True)
        self.thread.start()
        assert self.ready.wait(10)
        return self

    def __exit__(self, *info):
        self.stop.set()
        self.thread.join(10)

    async def main(self):
        listener, admin = http.listen(HOST, 0), http.listen(HOST, 0)
        self.platform = f"{HOST}:{port_of(listener)}"
        self.admin_port = port_of(admin)
        env = Environment(Settings("node", "r", "d", self.platform, seed=1))
        configuration.attach(env)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(self.objects.server.serve, listener)
            await group.spawn(AdminServer(env).server.serve, admin)
            for task in env.tasks:
                await group.spawn(task)
            self.ready.set()
            await self.stop.wait()

    def run(self, *words):
        return main([*map(str, words), "--platform", self.platform])


@pytest.fixture
def store(monkeypatch):
    for name, value in {
        "SETTLE_RETRY_SECONDS": 0.01,
        "PLATFORM_TIMEOUT_SECONDS": 0.5,
        "WATCH_TIMEOUT_SECONDS": 0.2,
    }.items():
        monkeypatch.setattr(defaults, name, value)
    with ObjectApiThread() as running:
        yield running


@pytest.fixture
def directory(tmp_path):
    shutil.copytree(EXAMPLE, tmp_path / "fleet")
    return tmp_path / "fleet"


def replace_in_file(directory, old, new, file="rules.toml"):
    path = directory / file
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


def test_plan_apply_audit_and_rollback(store, directory, capsys):
    author_and_reason = ("--author", "una", "--reason")
    assert store.run("plan", directory) == 0
    assert "base revision 0" in capsys.readouterr().out
    assert store.run("apply", directory, "--base", 0, *author_and_reason, "first") == 0
    assert "accepted: revision 1" in capsys.readouterr().out
    version = store.objects.version
    assert store.run("apply", directory, *author_and_reason, "again") == 0
    assert "unchanged: revision 1" in capsys.readouterr().out
    assert store.objects.version == version
    replace_in_file(directory, "weight = 2", "weight = 3")
    replace_in_file(directory, "harbour,", "wharf,", "client_accounts.csv")
    assert store.run("plan", directory) == 0
    text = capsys.readouterr().out
    assert "base revision 1, accepted by una" in text
    assert "+ client account wharf" in text and "- client account harbour" in text
    assert "and 0 more" not in text and "vogar-counter: weight 2.0 -> 3.0" in text
    assert store.run("apply", directory, "--base", 1, *author_and_reason, "more for clerks") == 0
    assert store.run("rollback", 1, *author_and_reason, "too much") == 0
    assert "accepted: revision 3" in capsys.readouterr().out
    assert store.run("audit", "--object", "wharf") == 0
    text = capsys.readouterr().out
    assert re.findall(r"revision (\d) .* una  (.*)", text)[:2] == [
        ("3", "too much"),
        ("2", "more for clerks"),
    ]
    assert "3 revisions, the chain of digests holds" in text


def test_conflict_prints_the_other_change(store, directory, capsys):
    author_and_reason = ("--author", "una", "--reason", "r")
    store.run("apply", directory, *author_and_reason)
    replace_in_file(directory, "weight = 2", "weight = 4")
    store.run("apply", directory, "--base", 1, "--author", "otto", "--reason", "his")
    replace_in_file(directory, "weight = 4", "weight = 5")
    capsys.readouterr()
    assert store.run("apply", directory, "--base", 1, *author_and_reason) == 3
    text = capsys.readouterr().err
    assert "not accepted" in text and "by otto" in text and "weight 2.0 -> 4.0" in text


def test_apply_during_outage_is_not_accepted(store, directory, capsys):
    store.objects.faults.outage = True
    assert store.run("apply", directory, "--reason", "r") == 1
    assert "not accepted" in capsys.readouterr().err


def test_apply_confirms_lost_reply(store, directory, capsys):
    store.objects.faults.lost_replies = 0.5
    assert store.run("apply", directory, "--reason", "r") == 0
    store.objects.faults.lost_replies = 0.0
    assert store.run("audit") == 0
    assert "1 revisions" in capsys.readouterr().out


def test_lost_reply_followed_by_outage_is_unknown(store, directory, capsys, monkeypatch):
    reply = ObjectStore.reply

    async def lose(self, exchange, value):
        self.faults.outage = self.faults.outage or value["name"] == heads.HEAD
        self.faults.lost_replies = float(self.faults.outage)
        await reply(self, exchange, value)

    monkeypatch.setattr(ObjectStore, "reply", lose)
    assert store.run("apply", directory, "--reason", "r") == 4
    assert "run `hickorylever audit`" in capsys.readouterr().err


@pytest.mark.parametrize("wait, code", [(10, 0), (0.3, 5)])
def test_wait_prints_lagging_routers(store, directory, capsys, wait, code):
    replace_in_file(directory, "127.81.0.10", HOST, "vms.csv")
    routers = "reykjanes-entry-2,127.81.0.11,sudvestur,hafnarfj-b,entry\n"
    others = "reykjanes-entry-3,127.81.0.12,sudvestur,grindavik-c,entry\n"
    replace_in_file(directory, others, "", "vms.csv")
    if code == 0:
        replace_in_file(directory, routers, "", "vms.csv")
    arguments = ("--admin-port", store.admin_port, "--wait", wait)
    assert store.run("apply", directory, "--reason", "r", *arguments) == code
    captured = capsys.readouterr()
    if code == 0:
        assert "in force: revision 1 on 1 routers" in captured.out
    else:
        assert "not in force after 0.3 s on: reykjanes-entry-2" in captured.err
    assert store.run("status", "--admin-port", store.admin_port) == 0
    assert "does not answer" in capsys.readouterr().out


def test_status_during_outage_uses_inventory(store, directory, capsys):
    store.objects.faults.outage = True
    arguments = ("status", "--section", "configuration", "--admin-port", store.admin_port)
    assert store.run(*arguments) == 1
    assert store.run(*arguments, "--fleet", directory) == 0
    assert "accepted: not known" in capsys.readouterr().out


def damage_link(record):
    links = record["links"]
    links[1]["author"] = "nobody"


def damage_parent(record):
    record["revision"]["parent"] = "0" * 32


@pytest.mark.parametrize("damage, place", [(damage_link, "2 and 3"), (damage_parent, "3 and 4")])
def test_audit_reports_broken_chain(store, directory, capsys, damage, place):
    for weight in (2, 3, 4, 5):
        replace_in_file(directory, "weight = ", f"weight = {weight} # ")
        assert store.run("apply", directory, "--reason", "r") == 0
    entry = store.objects.entries[heads.KIND, heads.HEAD]
    record = msgspec.json.decode(entry.value)
    damage(record)
    entry.value = msgspec.json.encode(record)
    assert store.run("audit") == 1
    assert f"breaks between {place}" in capsys.readouterr().err
