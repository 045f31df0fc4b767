import msgspec
import openai
import pytest
from harness import HOST, KEY, MODEL, BackgroundFleet, FleetHarness, run


def test_complete_and_streamed_responses():
    async def main():
        async with FleetHarness() as harness:
            status, _, body = await harness.chat()
            assert status == 200 and b"w7 " in body
            status, headers, body = await harness.chat(stream=True)
            assert status == 200 and body.endswith(b"data: [DONE]\n\n")
            assert body.count(b'"content"') == 8

    run(main)


def test_openai_client():
    with BackgroundFleet() as harness:
        url = f"http://{HOST}:{harness.router_ports[0]}/v1"
        client = openai.OpenAI(api_key=KEY, base_url=url, max_retries=0)
        assert [model.id for model in client.models.list()] == [MODEL]
        messages = [{"role": "user", "content": "hello"}]
        response = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=4)
        assert response.choices[0].message.content == "w0 w1 w2 w3 "
        stream = client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=4, stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        assert text == "w0 w1 w2 w3 "
        with pytest.raises(openai.NotFoundError):
            client.chat.completions.create(model="none", messages=messages)
        with pytest.raises(openai.AuthenticationError):
            client.with_options(api_key="wrong").models.list()


CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
REFUSALS = [
    ("/v1/chat/completions", CHAT, "wrong", 401, "unauthenticated"),
    ("/v1/chat/completions", {**CHAT, "model": "none"}, KEY, 404, "not_found"),
    ("/v1/chat/completions", b"{", KEY, 400, "bad_request"),
    ("/v1/chat/completions", b"[" * 100000, KEY, 400, "bad_request"),
    ("/nowhere", b"", KEY, 404, "not_found"),
    ("/ledgers", b"", KEY, 404, "not_found"),
    ("/ledger/postings", b"{}", KEY, 428, "key_required"),
]


@pytest.mark.parametrize("path, body, key, status, kind", REFUSALS)
def test_refused_request_did_not_run(path, body, key, status, kind):
    async def main():
        async with FleetHarness() as harness:
            response = await harness.post(path, body, key=key)
            problem = msgspec.json.decode(response[2])
            assert (response[0], problem["kind"], problem["ran"]) == (status, kind, "no")
            assert not harness.engines[0].runs and not harness.services[0].runs

    run(main)


def test_plain_service_by_path_prefix():
    async def main():
        async with FleetHarness() as harness:
            status, _, body = await harness.post("/ledger/notes", b"one")
            assert status == 200 and msgspec.json.decode(body)["service"] == "ledger-0"

    run(main)


def test_router_recovers_from_sidecar_restart():
    async def main():
        async with FleetHarness(engines=1) as harness:
            harness.routers[0].env.incarnations["engine-0"] = "older"
            status, _, _ = await harness.chat()
            assert status == 200 and harness.engines[0].runs == 1

    run(main)
