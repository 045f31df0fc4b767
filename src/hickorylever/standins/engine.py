"""Simulated model engine with continuous batching, a bounded prefix cache and token streams.

KV cache transfer, cache events and load reports are not simulated, as nothing uses them.
"""

import collections
import itertools
import os
import random
import time
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

import curio
import msgspec
import xxhash

from ..exceptions import Kind, RequestError
from ..http import Exchange, Server, listen
from ..node import refuse, respond_json
from ..orders import PATH
from .batch import Batch
from .orders import ModelLoader

BLOCK_BYTES = 256
CRASH_EXIT_CODE = 70
BATCH_SIZE = 64


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed of an engine.

    :param prompt_tokens_per_second: speed of processing prompts.
    :param seconds_per_token: time to generate a token.
    """

    prompt_tokens_per_second: float = 20000.0
    seconds_per_token: float = 0.005


@dataclass(slots=True)
class PrefixCache:
    """Prompt cache that stores prefixes in blocks and evicts the least recently used ones.

    :param max_blocks: capacity in blocks of `BLOCK_BYTES`.
    """

    max_blocks: int
    entries: collections.OrderedDict = field(default_factory=collections.OrderedDict)

    def lookup(self, prompt: bytes) -> int:
        """Return how many leading bytes are cached, and add the complete prompt."""
        keys = []
        state = xxhash.xxh3_64()
        for start in range(0, len(prompt), BLOCK_BYTES):
            state.update(prompt[start : start + BLOCK_BYTES])
            keys.append(state.intdigest())
        return min(len(prompt), self.touch(keys) * BLOCK_BYTES)

    def touch(self, keys: Sequence[Hashable]) -> int:
        """Return how many leading blocks are cached, and add all blocks.

        Later blocks are evicted first, since they are useless without the earlier ones.
        """
        cached_blocks = self.count_cached(keys)
        for key in reversed(keys):
            self.entries[key] = None
            self.entries.move_to_end(key)
        while len(self.entries) > self.max_blocks:
            self.entries.popitem(last=False)
        return cached_blocks

    def count_cached(self, keys: Sequence[Hashable]) -> int:
        """Return how many leading blocks are cached."""
        missing = (number for number, key in enumerate(keys) if key not in self.entries)
        return next(missing, len(keys))


@dataclass
class Engine:
    """Simulated engine that responds to completion requests with generated filler tokens.

    A stream ends and frees its place in the batch when the caller closes the connection.

    :param cache_blocks: capacity of the prefix cache in blocks of `BLOCK_BYTES`.
    :param seed: seed for the length of responses without ``max_tokens``.
    :param poison: text that crashes the process when it occurs in a prompt; empty for none.
    :param loader: handles orders; without one, they get a not-found error.
    :param prompt_tokens: number of tokens in all prompts.
    :param cached_tokens: number of prompt tokens that were found in the prefix cache.
    :param runs: number of completions started.
    """

    name: str
    speed: Speed = Speed()
    batch: Batch = field(default_factory=lambda: Batch(BATCH_SIZE))
    cache_blocks: int = 4096
    seed: int = 0
    poison: str = ""
    loader: ModelLoader | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    runs: int = 0

    def __post_init__(self):
        self.cache = PrefixCache(self.cache_blocks)
        self.rng = random.Random(self.seed)
        self.server = Server(self.handle, refuse)

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request."""
        if exchange.path == "/counts":
            counts = {
                "runs": self.runs,
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
            }
            await respond_json(exchange, counts)
            return
        if exchange.path == PATH:
            await self.handle_orders(exchange)
            return
        body = msgspec.json.decode(await exchange.body())
        async with self.batch.slot(body.get("priority", 0)):
            await self.complete(exchange, body)

    async def handle_orders(self, exchange: Exchange) -> None:
        """Respond to an order or a query of the loading state.

        :raises RequestError: if this engine has no loader.
        """
        if self.loader is None:
            raise RequestError(Kind.NOT_FOUND)
        await self.loader.handle(exchange)

    async def complete(self, exchange: Exchange, body: dict) -> None:
        """Process the prompt, then generate the response."""
        self.runs += 1
        prompt = msgspec.json.encode(body.get("messages") or body.get("prompt") or "")
        if self.poison and self.poison.encode() in prompt:
            os._exit(CRASH_EXIT_CODE)
        cached = self.cache.lookup(prompt) // 4
        tokens = len(prompt) // 4 + 1
        self.prompt_tokens += tokens
        self.cached_tokens += cached
        await curio.sleep((tokens - cached) / self.speed.prompt_tokens_per_second)
        completion_tokens = body.get("max_tokens") or self.rng.randint(8, 24)
        words = [f"w{number} " for number in range(completion_tokens)]
        usage = {
            "prompt_tokens": tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        send = self.respond_stream if body.get("stream") else self.respond_complete
        await send(exchange, body, words, usage)

    def encode_completion(self, body: dict, kind: str, choice: dict, **extra) -> bytes:
        """Return an encoded completion object.

        :param kind: value of the field ``object``.
        :param extra: further fields.
        """
        base = {"id": f"cmpl-{self.name}-{self.runs}", "object": kind, "created": 0}
        value = {**base, "model": body["model"], "choices": [{"index": 0, **choice}], **extra}
        return msgspec.json.encode(value)

    async def respond_complete(
        self, exchange: Exchange, body: dict, words: list[str], usage: dict
    ) -> None:
        """Generate all tokens and respond with the complete text."""
        await curio.sleep(self.batch.step_seconds(self.speed.seconds_per_token) * len(words))
        text = "".join(words)
        message = {"message": {"role": "assistant", "content": text}, "text": text}
        choice = {**message, "finish_reason": "stop"}
        data = self.encode_completion(body, "chat.completion", choice, usage=usage)
        await exchange.respond(200, [(b"content-type", b"application/json")], data)

    async def respond_stream(
        self, exchange: Exchange, body: dict, words: list[str], usage: dict
    ) -> None:
        """Stream the tokens as server-sent events."""
        await exchange.start(200, [(b"content-type", b"text/event-stream")])
        for word in words:
            await curio.sleep(self.batch.step_seconds(self.speed.seconds_per_token))
            choice = {"delta": {"content": word}, "text": word, "finish_reason": None}
            stamp = {"sent": time.monotonic()} if body.get("stamp") else {}
            data = self.encode_completion(body, "chat.completion.chunk", choice, **stamp)
            await exchange.write(b"data: " + data + b"\n\n")
        last = {"delta": {}, "text": "", "finish_reason": "stop"}
        data = self.encode_completion(body, "chat.completion.chunk", last, usage=usage)
        await exchange.write(b"data: " + data + b"\n\ndata: [DONE]\n\n")
        await exchange.end()


@dataclass
class Service:
    """Simulated plain service that counts executions by idempotency key.

    :param delay: seconds that each request takes.
    """

    name: str
    delay: float = 0.005
    runs: collections.Counter = field(default_factory=collections.Counter)

    def __post_init__(self):
        self.server = Server(self.handle, refuse)
        self.sequence = itertools.count(1)

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request with a sequence number and the digest of its body."""
        if exchange.path == "/counts":
            await respond_json(exchange, dict(self.runs))
            return
        body = await exchange.body()
        keys = [value for key, value in exchange.headers if key == b"idempotency-key"]
        await curio.sleep(self.delay)
        if keys:
            self.runs[keys[0].decode()] += 1
        digest = xxhash.xxh3_128_hexdigest(body)
        response = {"service": self.name, "number": next(self.sequence), "digest": digest}
        await respond_json(exchange, response)


async def main(standin: Engine | Service, address: str, port: int) -> None:
    """Serve a simulated engine or service until cancelled."""
    await standin.server.serve(listen(address, port))
