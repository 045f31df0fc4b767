"""Reads the body, and for models its JSON: model, stream, chat identity and expected work."""

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

Count = Annotated[int, msgspec.Meta(ge=0, le=defaults.MAX_TOKENS)]
NOTHING = msgspec.Raw(b"")


class Message(msgspec.Struct):
    """One message; its content stays as it came."""

    role: str = ""
    content: msgspec.Raw = NOTHING


class Completion(msgspec.Struct):
    """The members of a completion request that routing needs."""

    model: str
    stream: bool = False
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    messages: list[Message] = []
    prompt: msgspec.Raw = NOTHING
    priority: msgspec.Raw = NOTHING


_decoder = msgspec.json.Decoder(Completion)


def decode(body: bytes) -> Completion:
    """Return the routing members of a completion request.

    :raises RequestError: when the JSON is malformed or nested absurdly.
    """
    try:
        body.decode()  # Raw members are not checked by the decoder.
        completion = _decoder.decode(body)
    except RecursionError:
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(Kind.BAD_REQUEST, f"the body: {error}") from None
    if exceeds_depth(body, defaults.MAX_JSON_DEPTH):
        raise RequestError(Kind.BAD_REQUEST, "the JSON is nested too deeply")
    return completion


def leading(completion: Completion) -> Iterator[bytes]:
    """Yield the text that stays the same when a chat goes on: up to its first user message."""
    if not completion.messages:
        yield bytes(completion.prompt)[: defaults.PROMPT_KEY_BYTES]
    for message in completion.messages:
        yield message.role.encode()
        yield bytes(message.content)
        if message.role == "user":
            return


def prompt(completion: Completion) -> Iterator[bytes]:
    """Yield what an engine reads of a request: the model, and every message."""
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
    """Return a completion request with the priority that its engine is to honour.

    A caller's own priority is removed. Engines run the lowest number first.
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
    """Read the body and set the call's model, stream, chat, work and endpoints."""
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
    """Set the parts of a call to a model."""
    if call.exchange.method != "POST":
        raise RequestError(Kind.BAD_REQUEST, "completions take POST")
    completion = decode(call.body)
    endpoints = env.models.get(completion.model)
    if endpoints is None:
        raise RequestError(Kind.NOT_FOUND, f"no endpoint serves model {completion.model!r}")
    if completion.model not in call.account.models:
        raise RequestError(Kind.FORBIDDEN, f"no rule allows model {completion.model}")
    call.application = env.applications[endpoints[0].application]
    call.pool = endpoints
    call.model = completion.model
    call.stream = completion.stream
    estimate_work(env, call, completion)
    recognise_chat(env, call, completion)
    call.fingerprint = fingerprint(prompt(completion))


def estimate_work(env, call, completion: Completion) -> None:
    """Set the call's expected work in tokens."""
    limit = completion.max_completion_tokens or completion.max_tokens
    call.prompt_bytes = prompt_bytes(completion)
    call.work = env.estimates.estimate(call.account.name, call.model, call.prompt_bytes, limit)


def recognise_chat(env, call, completion: Completion) -> None:
    """Set the call's chat, and the long prefix that it shares with other chats."""
    given = header(call.exchange.headers, b"hickory-chat")
    identity = identify(call.account.name, call.model, given, leading(completion))
    env.popularity.record(identity.prefixes, call.work, env.clock())
    choice = choose_prefix(identity, env.popularity, len(call.pool))
    call.chat = identity.chat
    call.prefix = choice.prefix
    call.order_uncertain = choice.borderline
