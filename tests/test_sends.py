"""What proves that a request has not run, and what follows from it."""

import pytest

from hickorylever.direct.records import AnswerInfo
from hickorylever.direct.sends import Match, Sends
from hickorylever.exceptions import Kind, Ran, RequestError, SendRefused
from hickorylever.platform import read_answer, refusal

ENDPOINT = "i-1"
NOT_RUN = (b"hickorylever-not-executed", b"1")
STAMP = (b"hickorylever-server-stamp", b"s")


class FakeChannel:
    number = 1

    def __init__(self, request_count=0):
        self.request_count = request_count


def make_send(request_id="r", request_count=0, repeatable=False):
    sends = Sends(repeatable)
    return sends, sends.begin(request_id, ENDPOINT, FakeChannel(request_count))


def rejection(request_id="r", status=503, endpoint=""):
    return AnswerInfo(status, request_id, False, True, endpoint=endpoint)


@pytest.mark.parametrize(
    ("own_id", "earlier_requests", "answer_id", "not_run", "match"),
    [
        ("r", 0, "r", True, Match.OWN),
        ("r", 3, "r", False, Match.OWN),
        ("r", 3, "other", True, Match.OTHER),
        ("r", 0, "", True, Match.OWN),
        ("r", 1, "", True, Match.AMBIGUOUS),
        ("r", 0, "", False, Match.OTHER),
        ("", 0, "", True, Match.OWN),
        ("", 0, "", False, Match.OWN),
        ("", 1, "", True, Match.AMBIGUOUS),
        ("", 1, "", False, Match.AMBIGUOUS),
        ("", 0, "other", True, Match.OTHER),
    ],
)
def test_a_response_answers_this_send(own_id, earlier_requests, answer_id, not_run, match):
    """A copy of the answer to another request passed for the answer to this one."""
    _, send = make_send(own_id, earlier_requests)
    assert send.match(AnswerInfo(503, answer_id, False, not_run)) is match


@pytest.mark.parametrize(
    ("status", "fields", "proved"),
    [
        (503, [NOT_RUN], True),
        (429, [NOT_RUN], True),
        (400, [NOT_RUN], True),
        (421, [], True),
        (421, [(b"hickorylever-instance-id", b"i-2")], True),
        (421, [(b"hickorylever-instance-id", ENDPOINT.encode())], False),
        (421, [STAMP], False),
        (503, [], False),
        (429, [STAMP], False),
        (408, [STAMP], False),
    ],
)
def test_only_a_rejection_proves_that_a_send_has_not_run(status, fields, proved):
    """A request that had run was refused as not run, or sent to a second endpoint."""
    sends, send = make_send()
    assert send.accept_rejection(read_answer(status, fields)) is proved
    assert sends.ran is (Ran.NO if proved else Ran.UNKNOWN)
    assert sends.may_begin is proved


def test_a_request_that_may_have_run_is_not_sent_again():
    """It would run twice, whatever led the router to send it."""
    sends, _ = make_send()
    with pytest.raises(SendRefused):
        sends.begin("r", "i-2", FakeChannel())
    assert len(sends.all) == 1


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_request_is_not_sent_twice_on_one_connection(repeatable):
    """A late copy of the first answer would pass for the second one."""
    sends, send = make_send(repeatable=repeatable)
    assert send.accept_rejection(rejection())
    with pytest.raises(SendRefused):
        sends.begin("r", ENDPOINT, send.channel)


def test_one_send_without_a_proof_is_enough_to_doubt_the_others():
    """The latest rejection would hide that an earlier send may have run."""
    sends, first = make_send(repeatable=True)
    second = sends.begin("r", "i-2", FakeChannel())
    assert second.accept_rejection(rejection())
    assert sends.ran is Ran.UNKNOWN
    first.ran = Ran.YES
    assert sends.ran is Ran.YES


@pytest.mark.parametrize("ran", list(Ran))
@pytest.mark.parametrize("kind", list(Kind))
def test_a_status_that_promises_is_sent_only_if_nothing_ran(kind, ran):
    """The status of an error was chosen apart from what was known about the run."""
    status, _, _ = refusal(RequestError(kind, "", ran))
    assert ran is Ran.NO or status not in (408, 421, 429, 503)
