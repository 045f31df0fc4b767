"""Entries of other writers among those of the endpoints, which name no endpoint to use."""

import time

import curio
import msgspec
import pytest
from direct_harness import WELL, entry, run_scenario
from test_peer_sync import NETWORK, play

from hickorylever.exceptions import ContentError, PlatformError
from hickorylever.platform.documents import decode_endpoint
from hickorylever.platform.pages import WireChanges, WireListing, decode_page

ODD_NAME = "i-odd"
DEEP = b"[" * 5000 + b"]" * 5000
HALF_CHARACTER = rb'"keflavik \ud83d"'


def with_field(name, value):
    """Return a sound entry in which a field has another encoded value."""
    spec = {**entry(9), "born": 1, name: msgspec.Raw(value)}
    return msgspec.json.encode(spec)


ODD = {
    "nested zone": with_field("zone", DEEP),
    "nested unknown field": with_field("note", DEEP),
    "nested objects": with_field("note", b'{"a":' * 5000 + b"1" + b"}" * 5000),
    "half character": with_field("zone", HALF_CHARACTER),
    "half character in an unknown field": with_field("note", HALF_CHARACTER),
    "no UTF-8": with_field("zone", b'"\xff\xfe"'),
    "brackets in text": with_field("zone", rb'"]}]}\"\\\ud83d{{[["'),
    "slots of 40 digits": with_field("max-batch-size", b"9" * 40),
    "slots below zero": with_field("max-batch-size", b"-1"),
    "start of 400 digits": with_field("born", b"9" * 400),
    "start of 5000 digits": with_field("born", b"9" * 5000),
    "start of 17 digits": with_field("born", b"1" * 17),
    "start below zero": with_field("born", b"-1"),
    "start within a millisecond": with_field("born", b"1.5"),
    "endless warm-up": with_field("warmup-left-ms", b"1e400"),
    "warm-up of years": with_field("warmup-left-ms", b"1e300"),
    "version of 100,000 characters": with_field("version", b'"%s"' % (b"v" * 100_000)),
    "zone of another type": with_field("zone", b"7"),
    "unknown state": with_field("state", b'"resting"'),
    **{
        f"port {port}": with_field("address", b'"127.0.0.1:%s"' % port.encode())
        for port in ("0", "-1", "65536", "9" * 30, "9" * 5000, "", "x", "8_0")
    },
    **{f"spec {spec.decode()}": spec for spec in (b"null", b"[]", b'"x"', b"7", b"true", b"{}")},
}
ODD_NAMES = ["a\r\nb: c", "é", "i 1", "x" * 300, "\x7f"]


@pytest.mark.parametrize("spec", ODD.values(), ids=ODD)
def test_an_odd_entry_is_rejected_by_itself(spec):
    with pytest.raises(ContentError):
        decode_endpoint(ODD_NAME, msgspec.Raw(spec))


@pytest.mark.parametrize("name", ODD_NAMES)
def test_a_name_that_no_header_can_carry_is_rejected(name):
    """Requests carry the name of their endpoint; each request there would fail."""
    with pytest.raises(ContentError):
        decode_endpoint(name, msgspec.Raw(msgspec.json.encode(entry(9))))


def listing(*specs):
    items = b",".join(
        b'{"metadata":{"name":"i-%d","revision":%d},"spec":%s,"status":null}' % (n, n, spec)
        for n, spec in enumerate(specs)
    )
    return b'{"items":[%s],"has-more":true,"at":77}' % items


@pytest.mark.parametrize("spec", ODD.values(), ids=ODD)
def test_an_odd_entry_does_not_hide_the_others_of_its_page(spec):
    sound = msgspec.json.encode(entry(9))
    page = decode_page(listing(sound, spec, sound), WireListing)
    assert [item.metadata.name for item in page.items] == ["i-0", "i-1", "i-2"]
    assert [bytes(item.spec) for item in page.items] == [sound, spec, sound]
    assert (page.has_more, page.at, page.items[2].metadata.revision) == (True, 77, 2)
    event = b'{"deleted":%s,"object":{"spec":%s,"metadata":{"name":"i-1","revision":5}}}'
    events = b",".join((event % (b"false", spec), event % (b"true", sound)))
    changes = decode_page(b'{"at": 5, "events": [%s]}' % events, WireChanges)
    assert [(bytes(change.object.spec), change.deleted) for change in changes.events] == [
        (spec, False),
        (sound, True),
    ]


@pytest.mark.parametrize("name", [HALF_CHARACTER, b"7", DEEP, b'"\xff"'])
def test_an_object_without_a_readable_name_does_not_hide_the_others(name):
    sound = b'{"metadata":{"name":"i-1"},"spec":1}'
    content = b'{"items":[%s,{"metadata":{"name":%s}},{},7,%s]}' % (sound, name, sound)
    page = decode_page(content, WireListing)
    assert [item.metadata.name for item in page.items] == ["i-1", "i-1"]


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b'{"items":[}', b'{"at":7}', b"\xff", DEEP])
def test_a_response_that_is_malformed_as_a_whole_is_a_failure_of_the_store(content):
    with pytest.raises(PlatformError):
        decode_page(content, WireListing)


def test_the_time_for_an_odd_page_is_proportional_to_its_size():
    """A page of the largest size must not hold the process, as routers list again and again."""

    def seconds(count):
        content = listing(*[ODD["half character"]] * count)
        started = time.process_time()
        assert len(decode_page(content, WireListing).items) == count
        return time.process_time() - started

    seconds(10)
    assert seconds(2000) < 40 * max(seconds(200), 0.001)
    assert seconds(2000) < 0.4  # The longest pause between events on the users' sheets.


@pytest.mark.parametrize("spec", ODD.values(), ids=ODD)
def test_a_router_starts_and_follows_the_list_beside_an_odd_entry(spec):
    """It was never ready while the entry was there, and those that ran followed nothing."""

    async def scenario(harness):
        await harness.store.put("servers", ODD_NAME, msgspec.Raw(spec))
        await harness.start_router()
        directory = harness.node.directory
        assert set(directory.endpoints) == {"i-0"}
        assert (await harness.send_request("/safe/x")).status == 200
        odder = {"other": msgspec.Raw(spec)}
        await harness.store.put("servers", ODD_NAME, odder)
        content = entry(harness.ports[0], born=1)
        await harness.store.put("servers", "i-2", content)
        await harness.until(lambda: set(directory.endpoints) == {"i-0", "i-2"})
        await harness.store.remove("servers", ODD_NAME)
        await harness.store.remove("servers", "i-2")
        await harness.until(lambda: set(directory.endpoints) == {"i-0"})

    run_scenario(scenario, WELL, autostart=False)


@pytest.mark.parametrize(
    "name", ["nested unknown field", "half character", "slots of 40 digits", "start of 400 digits"]
)
def test_other_routers_follow_beside_an_odd_entry(name):
    """What can't be sent to them, such as a number that is too large, must not stop the rest."""

    async def scenario(fleet):
        isolated = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(isolated.ready)
        odd = msgspec.Raw(ODD[name].replace(b"127.0.0.1:9", b"127.0.0.1:%d" % fleet.ports[0]))
        await fleet.store.put("servers", ODD_NAME, odd)
        for state in ("ready", "draining"):
            await fleet.store.put("servers", "i-0", entry(fleet.ports[0], state=state, born=1))
        nodes = fleet.nodes
        await fleet.until(
            lambda: all(node.directory.endpoints["i-0"].entry.draining for node in nodes)
        )
        await curio.sleep(0.2)
        assert all(set(node.directory.endpoints) == {"i-0", "i-1"} for node in nodes)
        first, second = nodes[:2]
        endpoint = first.directory.endpoints["i-1"]
        endpoint.add_request(500.0, 0.0)
        first.peer_sync.announce_load(endpoint)
        await fleet.until(lambda: second.directory.endpoints["i-1"].load() == (1, 500))

    play(scenario, 2)


@pytest.mark.parametrize("name", ["half character", "nested unknown field"])
def test_a_router_registers_beside_an_odd_object_of_its_own_kind(name):
    """The kind of the routers' objects is listed at the start, too."""

    async def scenario(fleet):
        await fleet.store.put("hickorylever-routers", ODD_NAME, msgspec.Raw(ODD[name]))
        await fleet.store.put("hickorylever-routers", "streams-odd", msgspec.Raw(ODD[name]))
        await fleet.store.put("hickorylever-routers", "version-odd", msgspec.Raw(ODD[name]))
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
        await fleet.until(lambda: starting.membership.complete)

    play(scenario, 1)
