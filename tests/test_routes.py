import random

import msgspec
import pytest
from direct_harness import SITE, configuration, route

from hickorylever.direct.routes import RouteTable
from hickorylever.exceptions import ContentError, Kind, RequestError
from hickorylever.platform import decode_configuration, decode_endpoint

RNG = random.Random(1)


def routes(**more):
    return RouteTable(decode_configuration(msgspec.json.encode(configuration(**more)), 5))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        (SITE, "/safe/x", "safe"),
        (SITE, "/safe/", "safe"),
        (SITE.upper() + ":80", "/safe/deep/er?x", "safe"),
        (SITE, "/resumable/stream/x", "resumable/stream"),
        (SITE, "/safe", None),
        (SITE, "/safes/x", None),
        ("other.example", "/safe/x", None),
        (SITE, "/", None),
        (SITE, "", None),
    ],
)
def test_longest_prefix_matches(host, path, name):
    if name is None:
        with pytest.raises(RequestError) as raised:
            routes().find(host, path)
        assert raised.value.kind is Kind.NOT_FOUND
    else:
        assert routes().find(host, path).name == name


def test_nested_prefixes():
    table = routes(
        routes=[route("a", "safe", "engines"), route("a/b", "safe", "engines")],
    )
    assert table.find(SITE, "/a/b/c").name == "a/b"
    assert table.find(SITE, "/a/bc/").name == "a"


def test_service_weights():
    split = route("a", "safe", None)
    del split["service"]
    split["backends"] = [
        {"service": "engines", "weight": 90},
        {"service": "new", "weight": 10},
        {"service": "off", "weight": 0},
    ]
    table = routes(routes=[split])
    found = table.find(SITE, "/a/x")
    names = [table.choose_service(found, RNG).name for _ in range(2000)]
    assert names.count("off") == 0
    assert 120 < names.count("new") < 290


def test_times_are_in_seconds():
    found = routes().find(SITE, "/safe/x")
    assert (found.timeout, found.latency_objective) == (2.0, 0.1)
    assert routes().limits.idle_timeout == 15.0


@pytest.mark.parametrize(
    "spec", [b"", b"null", b"{}", b"\xff", b'{"version":"7"}', b'{"version":1,"routes":{}}']
)
def test_invalid_configuration_is_rejected(spec):
    with pytest.raises(ContentError):
        decode_configuration(spec, 1)


GOOD = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "max-batch-size": 8,
    "state": "ready",
    "seq": 3,
}


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 1},
        {"address": "nowhere"},
        {"address": "10.0.0.1:x"},
        {"max-batch-size": "8"},
        {"service": None},
        {"zone": 7},
        {"born": 1.5},
        {"version": 2},
        {"version": None},
    ],
)
def test_invalid_endpoint_is_rejected(change):
    assert decode_endpoint("i", msgspec.json.encode(GOOD)).port == 80
    with pytest.raises(ContentError):
        decode_endpoint("i", msgspec.json.encode({**GOOD, **change}))


@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "version", "state", "max-batch-size"]
)
def test_endpoint_with_missing_field_is_rejected(field):
    entry = {key: value for key, value in GOOD.items() if key != field}
    with pytest.raises(ContentError):
        decode_endpoint("i", msgspec.json.encode(entry))
