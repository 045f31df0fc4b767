"""Read the body of a call and, for models, the fields that routing needs."""

from collections.abc import Iterator
from typing import Annotated

import msgspec

from .. import defaults
from ..decisions.chats import choose_prefix, identify
from ..decisions.suspects import fingerprint
from ..exceptions import Kind, RequestError
from ..http import header
from ..nesting import exceeds_depth
from . import filters

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=defaults.MAX_TOKENS)]
EMPTY = msgspec.Raw(b"")


class Message(msgspec.Struct):
    """One message; its content stays undecoded."""

    role: str = ""
    content: msgspec.Raw = EMPTY


class Completion(msgspec.Struct):
    """The fields of a completion request that routing needs."""

    model: str
    stream: bool = False
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    messages: list[Message] = []
    prompt: msgspec.Raw = EMPTY
    priority: msgspec.Raw = EMPTY


_decoder = msgspec.json.Decoder(Completion)


def decode(body: bytes) -> Completion:
    """Return the fields of a completion request that routing needs.

    :raises RequestError: when the JSON is malformed or nested too deeply.
    """
    try:
        body.decode()  # The decoder does not check raw fields for valid UTF-8.
        completion = _decoder.decode(body)
    except RecursionError:
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(Kind.BAD_REQUEST, f"invalid request body: {error}") from None
    if exceeds_depth(body, defaults.MAX_JSON_DEPTH):
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply")
    return completion


def shared_text(completion: Completion) -> Iterator[bytes]:
    """Yield the text that all turns of a chat share: everything up to the first user message."""
    if not completion.messages:
        yield bytes(completion.prompt)[: defaults.PROMPT_KEY_BYTES]
    for message in completion.messages:
        yield message.role.encode()
        yield bytes(message.content)
        if message.role == "user":
            return


def prompt(completion: Completion) -> Iterator[bytes]:
    """Yield the model and all text of the prompt."""
    yield completion.model.encode()
    yield bytes(completion.prompt)
    for message in completion.messages:
        yield message.role.encode()
        yield bytes(message.content)


def prompt_bytes(completion: Completion) -> int:
    """Return the size of the prompt in bytes."""
    contents = (memoryview(message.content) for message in completion.messages)
    return len(memoryview(completion.prompt)) + sum(map(len, contents))


def with_priority(body: bytes, priority: int) -> bytes:
    """Return a completion request with the engine's scheduling priority set.

    A priority sent by the caller is removed. Engines run the lowest value first, so the sign is
    reversed.
    """
    if decode(body).priority:
        members = msgspec.json.decode(body)
        del members["priority"]
        body = msgspec.json.encode(members)
    if not priority:
        return body
    return b'{"priority":%d,' % -priority + body.lstrip()[1:]


@filters.register("parse")
async def parse(env, call, proceed) -> None:
    """Read the body and set model, stream, chat, work, pool and fingerprint of a call.

    :raises RequestError: when the body is malformed or the model is unknown or not allowed.
    """
    call.body = await call.exchange.body()
    if call.application is None:
        parse_model(env, call)
    else:
        call.work = defaults.SERVICE_REQUEST_TOKENS
        call.chat = call.id
        exchange = call.exchange
        target = f"{exchange.method} {exchange.path}?{exchange.query}".encode()
        call.fingerprint = fingerprint((call.application.name.encode(), target, call.body))
    await proceed()


def parse_model(env, call) -> None:
    """Set the fields of a call to a model."""
    if call.exchange.method != "POST":
        raise RequestError(Kind.BAD_REQUEST, "completions require POST")
    completion = decode(call.body)
    endpoints = env.models.get(completion.model)
    if endpoints is None:
        raise RequestError(Kind.NOT_FOUND, f"no endpoint serves model {completion.model!r}")
    if completion.model not in call.account.models:
        raise RequestError(Kind.FORBIDDEN, f"client account may not use model {completion.model}")
    call.application = env.applications[endpoints[0].application]
    call.pool = endpoints
    call.model = completion.model
    call.stream = completion.stream
    estimate_work(env, call, completion)
    identify_chat(env, call, completion)
    call.fingerprint = fingerprint(prompt(completion))


def estimate_work(env, call, completion: Completion) -> None:
    """Set the estimated work of a call in tokens."""
    limit = completion.max_completion_tokens or completion.max_tokens
    call.prompt_bytes = prompt_bytes(completion)
    call.work = env.estimates.estimate(call.account.name, call.model, call.prompt_bytes, limit)


def identify_chat(env, call, completion: Completion) -> None:
    """Set the chat of a call, and the popular prefix that it shares with other chats."""
    chat_header = header(call.exchange.headers, b"hickory-chat")
    identity = identify(call.account.name, call.model, chat_header, shared_text(completion))
    env.popularity.record(identity.prefixes, call.work, env.clock())
    choice = choose_prefix(identity, env.popularity, len(call.pool))
    call.chat = identity.chat
    call.prefix = choice.prefix
    call.order_uncertain = choice.borderline
