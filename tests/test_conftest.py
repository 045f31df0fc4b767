from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

ENTRY = "test_x.py::test_it | pytest, seed 1 | 2 in place of 1 | issue 3\n"
FLAKY = ENTRY.replace("2 in place", "flaky: 2 in place")
CASES = [
    ("", "assert True", 0, "1 passed"),
    ("", "assert False", 1, "1 failed"),
    (ENTRY, "assert False", 0, "2 in place of 1 (issue 3; pytest, seed 1)"),
    (ENTRY, "assert True", 1, "remove the entry when this test passes"),
    (FLAKY, "assert True", 0, "flaky: 2 in place of 1"),
    (FLAKY, "assert False", 0, "1 xfailed"),
    (ENTRY.replace("test_it", "test_gone"), "assert True", 4, "which does not exist"),
    ("test_x.py::test_it, because\n", "assert True", 4, "KNOWN-RED.txt:1"),
]


@pytest.mark.parametrize("known, body, code, text", CASES)
def test_only_known_red_tests_may_fail_and_must_fail(pytester, known, body, code, text):
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makepyfile(test_x=f"def test_it():\n    {body}\n")
    (pytester.path / "KNOWN-RED.txt").write_text(known)
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    assert result.ret == code
    assert text in result.stdout.str() + result.stderr.str()
