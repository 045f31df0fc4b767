"""Reads the body, and for models its JSON: model, stream, chat identity and expected work."""

from typing import Annotated

import msgspec
import xxhash

from .. import defaults
from ..exceptions import Kind, RequestError
from ..http import header
from ..nesting import nested_deeper
from . import filters

Count = Annotated[int, msgspec.Meta(ge=0)]


class Completion(msgspec.Struct):
    """The members of a completion request that routing needs."""

    model: str
    stream: bool = False
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    messages: list[dict] = []
    prompt: str | list = ""


_decoder = msgspec.json.Decoder(Completion)


def decode(body: bytes) -> Completion:
    """Return the routing members of a completion request.

    :raises RequestError: when the JSON is malformed or nested absurdly.
    """
    try:
        completion = _decoder.decode(body)
    except RecursionError:
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply") from None
    except msgspec.DecodeError as error:
        raise RequestError(Kind.BAD_REQUEST, f"the body: {error}") from None
    if nested_deeper(body, defaults.MAX_JSON_DEPTH):
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply")
    return completion


def leading(completion: Completion) -> bytes:
    """Return the bytes that stay the same when a chat goes on: up to its first user message."""
    if not completion.messages:
        return msgspec.json.encode(completion.prompt)[:1024]
    roles = [message.get("role") for message in completion.messages]
    end = roles.index("user") + 1 if "user" in roles else len(roles)
    return msgspec.json.encode(completion.messages[:end])


def chat_identity(call, completion: Completion) -> str:
    """Return the chat's identity: the caller's header, else a digest of its leading messages."""
    given = header(call.exchange.headers, b"hickory-chat")
    seed = given or leading(completion)
    return xxhash.xxh3_128_hexdigest(call.account.name.encode() + b"\x00" + seed)


def expected_work(call, completion: Completion) -> float:
    """Return the estimated work in tokens."""
    limit = completion.max_completion_tokens or completion.max_tokens
    output = limit or defaults.EXPECTED_OUTPUT_TOKENS
    output = min(output, defaults.EXPECTED_OUTPUT_TOKENS)
    return len(call.body) / defaults.BYTES_PER_TOKEN + output


@filters.register("parse")
async def parse(env, call, proceed) -> None:
    """Read the body and set the call's model, stream, chat, work and endpoints."""
    call.body = await call.exchange.body()
    if call.application is None:
        parse_model(env, call)
    else:
        call.work = 1.0
        call.chat = call.id
    await proceed()


def parse_model(env, call) -> None:
    """Set the parts of a call to a model."""
    if call.exchange.method != "POST":
        raise RequestError(Kind.BAD_REQUEST, "completions take POST")
    completion = decode(call.body)
    endpoints = env.models.get(completion.model, [])
    if not endpoints:
        raise RequestError(Kind.NOT_FOUND, f"no endpoint serves model {completion.model!r}")
    if completion.model not in call.account.models:
        raise RequestError(Kind.FORBIDDEN, f"no rule allows model {completion.model}")
    call.application = env.applications[endpoints[0].application]
    call.endpoints = endpoints
    call.model = completion.model
    call.stream = completion.stream
    call.chat = chat_identity(call, completion)
    call.work = expected_work(call, completion)
