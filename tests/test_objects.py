import curio
import pytest
from harness import HOST, run

from hickorylever import http, node
from hickorylever.exceptions import LostReply, PlatformError
from hickorylever.metrics import Metrics
from hickorylever.objects import ObjectClient

# Exception for a failed call, by verb and status. A write that a proxy answers with an error may
# have taken effect.
FAILURES = [
    ("put", 429, PlatformError),
    ("put", 503, PlatformError),
    ("put", 500, LostReply),
    ("put", 502, LostReply),
    ("put", 504, LostReply),
    ("delete", 504, LostReply),
    ("get", 504, PlatformError),
]
ARGUMENTS = {"put": ("k", "n", b"v", 0), "delete": ("k", "n", 1), "get": ("k", "n")}


@pytest.mark.parametrize("verb, status, error", FAILURES)
def test_failed_write_that_may_have_taken_effect_raises_lost_reply(verb, status, error):
    async def handle(exchange):
        await exchange.body()
        await exchange.respond(status)

    async def main():
        listener = http.listen(HOST, 0)
        server = http.Server(handle, node.refuse)
        task = await curio.spawn(server.serve, listener, daemon=True)
        port = listener.getsockname()[1]
        platform = ObjectClient(HOST, port, http.Client(), Metrics())
        with pytest.raises(PlatformError) as caught:
            await getattr(platform, verb)(*ARGUMENTS[verb])
        assert type(caught.value) is error
        await task.cancel()

    run(main)
