import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever import defaults
from hickorylever.decisions.chats import PrefixPopularity, choose_prefix, identify
from hickorylever.exceptions import RequestError
from hickorylever.filters.parse import decode, shared_text

SYSTEM = {"role": "system", "content": "s" * 10000}
FIRST = {"role": "user", "content": "who meets the child?"}
LATER = [{"role": "assistant", "content": "the escort"}, {"role": "user", "content": "when?"}]


def identity(messages, given=b"", account="a"):
    completion = decode(msgspec.json.encode({"model": "m", "messages": messages}))
    return identify(account, "m", given, shared_text(completion))


def test_later_requests_of_a_chat_have_the_same_identity():
    assert identity([SYSTEM, FIRST]) == identity([SYSTEM, FIRST, *LATER])


OTHERS = [
    ([SYSTEM, {**FIRST, "content": "another"}], b"", "a"),
    ([SYSTEM, FIRST], b"given", "a"),
    ([SYSTEM, FIRST], b"", "b"),
    ([FIRST], b"", "a"),
]


@pytest.mark.parametrize("messages, given_id, account", OTHERS)
def test_different_chats_have_different_identities(messages, given_id, account):
    assert identity(messages, given_id, account).chat != identity([SYSTEM, FIRST]).chat


def test_a_shared_prefix_is_recognised_over_chats_and_accounts():
    one = identity([SYSTEM, FIRST])
    two = identity([SYSTEM, {**FIRST, "content": "another"}], account="b")
    assert one.prefixes == two.prefixes and len(one.prefixes) == 2
    assert identity([FIRST]).prefixes == ()


@given(st.lists(st.binary(max_size=9000), max_size=8), st.integers(1, 5000))
def test_the_digest_does_not_depend_on_how_the_text_is_split(pieces, cut):
    text = b"".join(pieces)
    cuts = [text[start : start + cut] for start in range(0, len(text), cut)]
    assert identify("a", "m", b"", pieces) == identify("a", "m", b"", cuts)


def test_only_the_leading_text_is_read():
    def endless():
        for number in range(10**9):
            yield b"x" * 65536
            assert number < 4, "read beyond the longest prefix"

    assert len(identify("a", "m", b"", endless()).prefixes) == len(defaults.PREFIX_LENGTHS_BYTES)


HOSTILE = [
    b'{"model": "m", "messages": [' + b"[" * 100000,
    b'{"model": "m", "messages": [{"role": 1}]}',
    b'{"model": "m", "messages": {"role": "user"}}',
    b'{"model": "m", "messages": [{"role": "user", "content": "\xff"}]}',
]


@pytest.mark.parametrize("body", HOSTILE)
def test_hostile_bodies_are_refused(body):
    with pytest.raises(RequestError):
        decode(body)


def test_a_prefix_of_most_chats_is_replaced_by_a_longer_one_or_none():
    popularity = PrefixPopularity()
    common, dossier, lone = (identity([SYSTEM, FIRST]).prefixes[0], "dossier", "lone")
    for number in range(2000):
        keys = (common, dossier) if number % 100 == 0 else (common, f"other {number}")
        popularity.record(keys, 1000.0, number / 10)
    assert popularity.share(common) > 0.8 and popularity.share(lone) == 0.0
    assert len(popularity.counters) <= defaults.MAX_PREFIXES
    both = type(identity([FIRST]))("chat", (common, dossier))
    assert choose_prefix(both, popularity, 19).prefix == dossier
    assert choose_prefix(type(both)("chat", (common,)), popularity, 19).prefix == ""
