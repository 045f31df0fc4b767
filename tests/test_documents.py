"""Documents of the platform's store, decoded."""

import msgspec
import pytest
from direct_world import configuration, route

from hickorylever.direct.records import RouteKind
from hickorylever.exceptions import ContentError
from hickorylever.platform.documents import decode_configuration


def decode(document, revision=1):
    return decode_configuration(msgspec.json.encode(document), revision)


def test_routes_that_did_not_change_are_not_decoded_again():
    """Answers the load of a storm of versions of a large configuration."""
    before = configuration(version=1)
    after = configuration(version=2)
    after["routes"][0] = route("stream", "safe", "engines", **{"timeout-ms": 100})
    first, second = decode(before), decode(after, 2)
    assert [a is b for a, b in zip(first.routes, second.routes, strict=True)] == [False] + [
        True
    ] * (len(first.routes) - 1)
    assert (second.routes[0].kind, second.routes[0].timeout) == (RouteKind.IDEMPOTENT, 0.1)
    assert (second.version, second.revision) == (2, 2)


@pytest.mark.parametrize(
    "fault",
    [
        {"routes": [route("a", "sometimes", "engines")]},
        {"routes": [{"name": "a"}]},
        {"routes": [7]},
        {"routes": None},
        {"version": "two"},
        {"limits": {}},
    ],
)
def test_a_configuration_with_a_fault_is_not_taken(fault):
    for _ in range(2):
        with pytest.raises(ContentError):
            decode(configuration(**fault))
