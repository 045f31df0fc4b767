"""Answers that a server breaks off, and errors of the server at which a stream should go on."""

import pytest
from direct_harness import RESUMABLE, events, run_scenario

from hickorylever.platform.standins.origin import FRAMINGS

PATHS = ("/unsafe/x", "/stream/stream/x", "/safe/x", RESUMABLE)
ERRORS = ("fail", "fail_chunked", "fail_unframed", "unknown", "busy", "odd_type", "ran_429")
MAX_HEAD_BYTES = 1000


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("path", [RESUMABLE, "/stream/stream/x"])
def test_no_error_of_the_next_server_gets_into_a_stream_that_has_begun(path, error):
    """Callers found an error's text or head in their stream, or a stream that looked complete."""

    async def scenario(harness):
        script = ["broken", error]
        for origin in harness.origins:
            origin.script = script
        response = await harness.send_request(path)
        assert response.status == 200
        assert response.received == events(1, 2)
        assert response.body is None
        assert len(harness.runs) == (2 if path == RESUMABLE else 1)

    run_scenario(scenario, ("well",), ("well",))


def test_a_stream_goes_on_where_the_next_server_rejects_it():
    """A stricter reading must not end streams that can go on."""

    async def scenario(harness):
        script = ["broken", "shed", "well"]
        for origin in harness.origins:
            origin.script = script
        response = await harness.send_request(RESUMABLE)
        assert response.body == events(*range(1, 7))

    run_scenario(scenario, ("well",), ("well",), ("well",))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_answer_that_ends_within_its_head_looks_whole(path, framing):
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def scenario(harness):
        (origin,) = harness.origins
        origin.framing = framing
        heads = []
        make = origin.framed_answer

        def framed_answer(exchange):
            heads.append(make(exchange)[0])
            return make(exchange)

        origin.framed_answer = framed_answer
        for cut in range(MAX_HEAD_BYTES):
            origin.cut = cut
            harness.node.directory.endpoints["i-0"].paused_until = 0.0
            response = await harness.send_request(path, body=b"%d" % cut)
            if cut >= len(heads[-1]):
                break
            assert len(harness.runs) == cut + 1
            assert response.status == 502
        assert cut > 80

    run_scenario(scenario, ("cut_head",))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_no_answer_that_ends_within_its_body_looks_whole(path, framing):
    """The same, where the answer ends after its head."""

    async def scenario(harness):
        (origin,) = harness.origins
        origin.framing = framing
        make = origin.framed_answer

        def cut_before_end(exchange):
            head, body = make(exchange)
            origin.cut = len(head) + len(body) - left
            return head, body

        origin.framed_answer = cut_before_end
        for left in range(1, 20):
            harness.node.directory.endpoints["i-0"].paused_until = 0.0
            response = await harness.send_request(path, body=b"%d" % left)
            assert response.body is None or response.status == 502

    run_scenario(scenario, ("cut_head",))
