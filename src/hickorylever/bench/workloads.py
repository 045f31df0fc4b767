"""Workloads of the routing benchmark: chats of several requests with pauses between them."""

import random
from dataclasses import dataclass

from ..decisions.chats import Identity
from ..standins.engine import BLOCK_BYTES

BLOCK_TOKENS = BLOCK_BYTES // 4


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a chat.

    :param time: arrival time in virtual seconds.
    :param keys: block keys of the prompt; each identifies the text up to the end of its block.
    :param output_tokens: number of generated tokens.
    """

    time: float
    account: str
    identity: Identity
    keys: tuple[int, ...]
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of a workload. Pairs are inclusive ranges.

    :param seconds: duration in virtual seconds.
    :param weights: traffic weights of the client accounts.
    :param system_blocks: blocks of the system prompt, shared by all chats.
    :param document_blocks: blocks of a document, shared by groups of `chats_per_document` chats.
    :param turns: requests per chat.
    :param mean_pause_seconds: mean seconds between two requests of a chat.
    :param turn_blocks: blocks added per turn.
    :param output_tokens: generated tokens per response.
    :param cache_blocks: cache capacity of an engine in blocks.
    :param churn_seconds: seconds between two endpoint restarts, 0 for none.
    """

    name: str
    endpoints: int
    routers: int
    requests_per_second: float
    seconds: float
    weights: tuple[float, ...]
    system_blocks: int
    document_blocks: tuple[int, int]
    chats_per_document: int
    turns: tuple[int, int]
    mean_pause_seconds: float
    turn_blocks: tuple[int, int]
    output_tokens: tuple[int, int]
    cache_blocks: int
    load_floor_tokens: float
    churn_seconds: float = 0.0
    surge: float = 1.0


REYKJANES = Workload(
    name="reykjanes",
    endpoints=6,
    routers=3,
    requests_per_second=36.0,
    seconds=240.0,
    weights=(5.0, *(0.6,) * 9),
    system_blocks=8,
    document_blocks=(0, 0),
    chats_per_document=1,
    turns=(2, 8),
    mean_pause_seconds=40.0,
    turn_blocks=(2, 6),
    output_tokens=(60, 300),
    cache_blocks=4096,
    load_floor_tokens=8192.0,
)
STOYANOV = Workload(
    name="stoyanov",
    endpoints=5,
    routers=3,
    requests_per_second=2.5,
    seconds=5400.0,
    weights=(3.0, 3.0, *(0.5,) * 8),
    system_blocks=4,
    document_blocks=(60, 160),
    chats_per_document=3,
    turns=(2, 6),
    mean_pause_seconds=1500.0,
    turn_blocks=(2, 8),
    output_tokens=(100, 500),
    cache_blocks=65536,
    load_floor_tokens=49152.0,
)
CHURN = Workload(
    name="churn",
    endpoints=20,
    routers=5,
    requests_per_second=30.0,
    seconds=240.0,
    weights=(3.0, 3.0, *(0.5,) * 8),
    system_blocks=8,
    document_blocks=(20, 80),
    chats_per_document=3,
    turns=(2, 8),
    mean_pause_seconds=40.0,
    turn_blocks=(2, 6),
    output_tokens=(60, 300),
    cache_blocks=16384,
    load_floor_tokens=32768.0,
    churn_seconds=60.0,
)


class Blocks:
    """Generates prompts as sequences of unique block keys."""

    def __init__(self):
        self.next = 0

    def make(self, count: int) -> tuple[int, ...]:
        """Return `count` new block keys."""
        self.next += count
        return tuple(range(self.next - count, self.next))


def prefixes(keys: tuple[int, ...], lengths: tuple[int, ...]) -> tuple[str, ...]:
    """Return the identities of the prefixes of `keys` at the given lengths in blocks."""
    return tuple(f"{keys[length - 1]}" for length in lengths if length <= len(keys))


def make_requests(workload: Workload, seed: int, lengths: tuple[int, ...]) -> list[Request]:
    """Return the requests of a workload in order of arrival.

    :param lengths: prefix lengths of the chat identities, in blocks.
    """
    rng = random.Random(f"{workload.name} {seed}")
    blocks = Blocks()
    system_blocks = blocks.make(workload.system_blocks)
    accounts = [f"account-{number}" for number in range(len(workload.weights))]
    mean_turns = sum(workload.turns) / 2
    requests = []
    document_blocks: tuple[int, ...] = ()
    span = workload.seconds + workload.mean_pause_seconds * mean_turns
    for number in range(int(workload.requests_per_second * span / mean_turns)):
        if number % workload.chats_per_document == 0:
            document_blocks = blocks.make(rng.randint(*workload.document_blocks))
            account = rng.choices(accounts, workload.weights)[0]
        first_prompt = system_blocks + document_blocks + blocks.make(1)
        identity = Identity(f"chat-{number}", prefixes(first_prompt, lengths))
        keys = first_prompt
        time = rng.uniform(-workload.mean_pause_seconds * mean_turns, workload.seconds)
        for _ in range(rng.randint(*workload.turns)):
            if 0 <= time <= workload.seconds:
                output_tokens = rng.randint(*workload.output_tokens)
                requests.append(Request(time, account, identity, keys, output_tokens))
            keys += blocks.make(rng.randint(*workload.turn_blocks))
            time += rng.expovariate(1 / workload.mean_pause_seconds)
    return sorted(requests, key=lambda request: request.time)


def add_surge(workload: Workload, requests: list[Request], factor: float) -> list[Request]:
    """Return the requests with `factor` times the traffic of the last two accounts.

    The surge lasts for the middle third of the workload. Added requests belong to new chats.
    """
    accounts = [f"account-{number}" for number in range(len(workload.weights))][-2:]
    begin, end = workload.seconds / 3, 2 * workload.seconds / 3
    extra = []
    for request in requests:
        if request.account not in accounts or not begin <= request.time <= end:
            continue
        for copy in range(1, int(factor)):
            name = f"{request.identity.chat}-{copy}"
            keys = (*request.keys[:-1], -copy * 1_000_000 - request.keys[-1])
            identity = Identity(name, request.identity.prefixes)
            time = request.time + copy / factor
            extra.append(Request(time, request.account, identity, keys, request.output_tokens))
    return sorted((*requests, *extra), key=lambda request: request.time)
