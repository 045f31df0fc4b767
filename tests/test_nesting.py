import pytest

from hickorylever.nesting import exceeds_depth

CASES = [
    (b"1", 0, False),
    (b"[]", 0, True),
    (b'{"a":[1,{"b":[]}]}', 4, False),
    (b'{"a":[1,{"b":[]}]}', 3, True),
    (b'["[[[[", "\\"[[[", "\\\\", "]"]', 1, False),
    (b"[" * 300 + b"]" * 300, 299, True),
    (b"[" + b",".join([b"[]"] * 1000) + b"]", 2, False),
]


@pytest.mark.parametrize("text, limit, deeper", CASES)
def test_nested_deeper(text, limit, deeper):
    assert exceeds_depth(text, limit) is deeper
