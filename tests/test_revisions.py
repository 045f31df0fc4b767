"""Model checks, traces of the models replayed on the code, and a fuzzer of many nodes."""

import collections
import dataclasses
import random

import curio
import hypothesis.stateful as stateful
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from models import assert_holds, refuted

from hickorylever import defaults
from hickorylever.decisions.revisions import (
    PLATFORM,
    Offer,
    Pull,
    Revisions,
    StartupSelection,
    Verdict,
    revision_digest,
    watchers,
)
from hickorylever.exceptions import Conflict, LostReply, PlatformError
from hickorylever.fleet import heads
from hickorylever.fleet.content import Content, encode
from hickorylever.fleet.pull_protocol import PullRequest, PullServer
from hickorylever.objects import Object
from hickorylever.records import ClientAccount, Fleet, Member, MemberState, Revision
from spec import revisions as spec

MODELS = [spec.acceptance, spec.distribution]
BROKEN = [
    (spec.acceptance, "overwrite", "no_lost_update"),
    (spec.acceptance, "read_only", "reports_are_true"),
    (spec.acceptance, "newest_only", "reports_are_true"),
    (spec.distribution, "any_offer", "numbers_never_decrease"),
    (spec.distribution, "any_head", "numbers_never_decrease"),
    (spec.distribution, "first_offer", "numbers_never_decrease"),
]


@pytest.mark.parametrize("model", MODELS)
def test_models_hold(model):
    assert_holds(model())


@pytest.mark.parametrize("model, variant, invariant", BROKEN)
def test_broken_variants_yield_a_counterexample(model, variant, invariant):
    assert invariant in refuted(model(variant), max_states=20_000)


def revision(number, parent=None, digest="d", nonce="n"):
    return Revision(
        number, digest, revision_digest(parent) if parent else "", "a", "r", "t", nonce
    )


def make_chain(count):
    chain = []
    for number in range(1, count + 1):
        chain.append(revision(number, chain[-1] if chain else None))
    return tuple(chain)


CHAIN = make_chain(5)
FORK = (*CHAIN[:2], revision(3, CHAIN[1], nonce="other"))
OFFERS = [
    (3, Offer("p", CHAIN[3], CHAIN[:3]), Verdict.ADOPT),
    (3, Offer("p", CHAIN[3], CHAIN[1:3]), Verdict.ADOPT),
    (3, Offer("p", CHAIN[3]), Verdict.ADOPT),
    (3, Offer("p", CHAIN[2], CHAIN[:2]), Verdict.SAME),
    (3, Offer("p", CHAIN[1], CHAIN[:1]), Verdict.OLDER),
    (3, Offer(PLATFORM, CHAIN[1], CHAIN[:1]), Verdict.OLDER),
    (3, Offer("p", None), Verdict.OLDER),
    (3, Offer("p", FORK[2], FORK[:2]), Verdict.FORKED),
    (3, Offer("p", revision(4, FORK[2]), FORK), Verdict.FORKED),
    (3, Offer("p", CHAIN[4], (CHAIN[3], CHAIN[2])), Verdict.BROKEN),
    (3, Offer("p", CHAIN[4], CHAIN[:3]), Verdict.BROKEN),
    (2, Offer("p", CHAIN[4]), Verdict.UNLINKED),
    (2, Offer(PLATFORM, CHAIN[4]), Verdict.ADOPT),
    (0, Offer("p", CHAIN[4]), Verdict.ADOPT),
]


@pytest.mark.parametrize("held, offer, verdict", OFFERS)
def test_verdicts(held, offer, verdict):
    node = Revisions()
    if held:
        node.adopt(Offer(PLATFORM, CHAIN[held - 1], CHAIN[: held - 1]), "d")
    assert node.adopt(offer, "d") is verdict
    assert node.number == (offer.number if verdict is Verdict.ADOPT else held)


def test_content_with_another_digest_is_corrupt():
    node = Revisions()
    assert node.adopt(Offer("p", CHAIN[0]), "other") is Verdict.CORRUPT
    assert node.current is None


def test_pulls_go_one_at_a_time_to_sources_with_the_highest_revision():
    node = Revisions()
    assert node.on_revision_announced("a", 2) == []
    assert node.enable_pulls() == [Pull("a")]
    assert node.on_revision_announced("b", 3) == []
    assert node.on_pull_ended("a") == [Pull("b")]
    assert node.on_pull_ended("b") == []
    assert node.is_behind()
    assert node.on_tick(defaults.STALE_REVISION_POLL_SECONDS, ["c"])


def test_polls_of_the_platform_do_not_grow_with_the_members():
    for members in (8, 370):
        node = Revisions(random.Random(1))
        node.enable_pulls()
        peers = [f"p{number}" for number in range(members)]
        polls = collections.Counter()
        for now in range(0, 60 * 2000, 60):
            for pull in node.on_tick(1e6 * now, peers):
                polls[pull.source == PLATFORM] += 1
                node.on_pull_ended(pull.source)
        assert polls[True] * members < 3 * polls.total()


def member(name, domain="d", state=MemberState.READY):
    return Member(name, "127.0.0.1", 1, "router", "r", domain, "i", state)


def test_watchers_are_few_per_domain_and_move_little():
    members = [member(f"m{number}", f"d{number % 5}") for number in range(100)]
    chosen = {domain: watchers(members, domain) for domain in ("d0", "d1", "d2", "d3", "d4")}
    assert all(len(names) == defaults.WATCHERS_PER_FAILURE_DOMAIN for names in chosen.values())
    lost = chosen["d0"][0]
    members = [entry for entry in members if entry.name != lost]
    assert watchers(members, "d1") == chosen["d1"]
    assert chosen["d0"][1] in watchers(members, "d0")
    assert watchers([member("m", state=MemberState.DRAINING)], "d") == ()


class DistributionReplay:
    """Decision objects that replay the transitions of the distribution model."""

    def __init__(self):
        self.chain = list(make_chain(spec.MAX_NUMBER))
        self.nodes = [Revisions() for _ in range(3)]
        for node in self.nodes:
            self.adopt(node, self.offer(PLATFORM, 1))
        self.heads = [0] * 3
        self.offers = [0] * 3
        self.start = None

    def offer(self, source, number):
        return Offer(source, self.chain[number - 1], tuple(self.chain[: number - 1]), number)

    def adopt(self, node, offer):
        node.adopt(offer, offer.revision.digest)

    def do(self, label, state):
        name, *words = label.split()
        numbers = [int(word) for word in words]
        getattr(self, f"do_{name}", lambda state: None)(state, *numbers)

    def do_read_head(self, state, node, number):
        self.heads[node] = number

    def do_adopt_head(self, state, node):
        self.adopt(self.nodes[node], self.offer(PLATFORM, self.heads[node]))

    def do_fetch_offer(self, state, node, peer):
        self.offers[node] = self.nodes[peer].number

    def do_adopt(self, state, node):
        self.adopt(self.nodes[node], self.offer("peer", self.offers[node]))

    def do_restart(self, state):
        self.nodes[spec.RESTARTING] = Revisions()
        self.start = StartupSelection(("1", "2"), 0.0)

    def do_on_offer(self, state, source):
        number = state[1] if source == 0 else self.nodes[source - 1].number
        self.start.on_offer(self.offer(str(source) if source else PLATFORM, number))

    def do_is_decided(self, state):
        self.adopt(self.nodes[spec.RESTARTING], self.start.best())
        self.start = None


@pytest.mark.parametrize("seed", range(20))
def test_decisions_replay_the_distribution_model(seed):
    rng = random.Random(seed)
    model = spec.distribution()
    state = model.initial
    replay = DistributionReplay()
    for _ in range(200):
        steps = model.transitions(state)
        if replay.start is not None:
            enabled = any(label == "is_decided" for label, _ in steps)
            assert replay.start.is_decided(0.0) == enabled
        label, after = rng.choice(steps)
        replay.do(label, state)
        state = after
        assert [node.number for node in replay.nodes] == [node[0] for node in state[2]]


class Store:
    """An object API that records its calls as transitions of the acceptance model."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.objects = {}
        self.version = 0
        self.platform_up = True
        self.delayed_writes = {}
        self.labels = []
        self.wrote = set()
        self.read = set()

    async def yield_to_others(self, operator):
        """Yield to other tasks, start or end outages, and apply delayed writes."""
        for _ in range(self.rng.randrange(4)):
            await curio.sleep(0)
        if self.rng.random() < 0.15:
            self.platform_up = not self.platform_up
            self.labels.append("platform_up" if self.platform_up else "platform_down")
        for other, (value, base) in list(self.delayed_writes.items()):
            if self.rng.random() < 0.3:
                del self.delayed_writes[other]
                self.labels.append(f"land {other}")
                self.write(heads.KIND, heads.HEAD, value, base)

    def write(self, kind, name, value, base):
        held = self.objects.get((kind, name))
        if (held.version if held else 0) != base:
            return None
        self.version += 1
        self.objects[kind, name] = Object(kind, name, self.version, value)
        return self.objects[kind, name]


@dataclasses.dataclass
class Operator:
    """The object API client of one operator."""

    store: Store
    number: int

    async def get(self, kind, name):
        store = self.store
        await store.yield_to_others(self.number)
        if not store.platform_up:
            raise PlatformError("outage")
        if name == heads.HEAD and self.number not in store.read:
            store.read.add(self.number)
            store.labels.append(f"read_head {self.number}")
        elif name == heads.HEAD and self.number in store.wrote:
            store.labels.append(f"repeat_write {self.number}")
        return store.objects.get((kind, name), Object(kind, name, 0, b""))

    async def put(self, kind, name, value, base):
        store = self.store
        await store.yield_to_others(self.number)
        if kind != heads.KIND:
            if not store.platform_up:
                raise PlatformError("outage")
            return store.write(kind, name, value, base)
        verb = "repeat_write" if self.number in store.wrote else "write_head"
        if not store.platform_up or store.rng.random() < 0.3:
            store.wrote.add(self.number)
            store.delayed_writes[self.number] = (value, base)
            store.labels.append(f"{verb}_delayed {self.number}")
            raise LostReply("delayed")
        written = store.write(kind, name, value, base)
        if store.rng.random() < 0.4:
            store.wrote.add(self.number)
            store.labels.append(f"{verb}_reply_lost {self.number}")
            raise LostReply("reply lost")
        if written is None:
            if verb == "write_head":
                store.labels.append(f"{verb} {self.number}")
            raise Conflict("moved")
        store.labels.append(f"{verb} {self.number}")
        return written

    async def delete(self, kind, name, base):
        self.store.objects.pop((kind, name), None)


async def run_operator(operator):
    """Apply a change as the command does and return the phase reported to the operator."""
    entry = Fleet("f", client_accounts=(ClientAccount(f"a{operator.number}", ()),))
    try:
        base = await heads.read_head(operator)
        await heads.apply(operator, entry, base, str(operator.number), "r")
    except heads.RevisionConflict:
        return spec.REFUSED
    except heads.OutcomeUnknown:
        operator.store.labels.append(f"give_up {operator.number}")
        return spec.UNKNOWN
    except PlatformError:
        return None
    return spec.ACCEPTED


def test_apply_replays_the_acceptance_model(monkeypatch):
    monkeypatch.setattr(defaults, "SETTLE_RETRY_SECONDS", 0)
    model = spec.acceptance()
    reported = collections.Counter()

    async def main(store):
        tasks = [await curio.spawn(run_operator, Operator(store, n)) for n in spec.OPERATORS]
        return [await task.join() for task in tasks]

    for seed in range(150):
        store = Store(seed)
        phases = curio.run(main, store)
        state = model.initial
        for label in store.labels:
            steps = dict(model.transitions(state))
            assert label in steps, (seed, label, store.labels)
            state = steps[label]
        head = heads.parse_head(
            store.objects.get((heads.KIND, heads.HEAD), Object("", "", 0, b""))
        )
        assert [int(e.author) for e in head.chain] == [author for author, _ in state[1]]
        for number, phase in enumerate(phases):
            reported[phase] += 1
            if phase is None:
                assert number not in [author for author, _ in state[1]]
            else:
                assert state[2][number][0] == phase, (seed, store.labels)
    print(dict(reported))
    assert all(reported[phase] > 5 for phase in (spec.ACCEPTED, spec.REFUSED, spec.UNKNOWN, None))


NAMES = ("n0", "n1", "n2", "n3", "n4", "n5")
COUNTS = collections.Counter()


class AdoptsEveryOffer(Revisions):
    """A faulty node that adopts every offer."""

    def check_offer(self, offer):
        return Verdict.ADOPT if offer.revision else Verdict.OLDER


@dataclasses.dataclass
class Node:
    """The decision objects of one node, its content, and the lowest number it may have."""

    revisions: Revisions
    content: Content = dataclasses.field(default_factory=lambda: Content({}))
    desk: PullServer = dataclasses.field(default_factory=PullServer)
    start: StartupSelection | None = None
    lowest: int = 0


class Spread(stateful.RuleBasedStateMachine):
    """Nodes whose messages are lost, delayed and reordered, checked against the accepted heads."""

    make_revisions = Revisions

    def __init__(self):
        super().__init__()
        self.accepted = []
        self.contents = []
        self.platform_up = True
        self.messages = []
        self.disconnected = set()
        self.nodes = {}
        for name in NAMES:
            self.nodes[name] = Node(self.make_revisions(random.Random(1)))
            self.nodes[name].revisions.enable_pulls()

    @stateful.initialize()
    def begin(self):
        self.accept("a")
        self.accept("b")

    @stateful.rule(name=st.sampled_from("abcdefgh"))
    def accept(self, name):
        if not self.platform_up:
            return
        known = (
            set(a.name for a in self.contents[-1][0].client_accounts) if self.contents else set()
        )
        names = known ^ {name}
        fleet = Fleet("f", client_accounts=tuple(ClientAccount(n, ()) for n in sorted(names)))
        content = encode(fleet)
        parent = self.accepted[-1] if self.accepted else None
        self.accepted.append(heads.next_revision(parent, content, "a", "r"))
        self.contents.append((fleet, content))
        COUNTS["accepted"] += 1

    @stateful.rule()
    def outage(self):
        self.platform_up = not self.platform_up

    @stateful.rule(name=st.sampled_from(NAMES))
    def toggle_connection(self, name):
        self.disconnected ^= {name}

    @stateful.rule(name=st.sampled_from(NAMES), back=st.integers(0, 2))
    def read_head(self, name, back):
        """A watcher reads the head, possibly an outdated one, and processes it later."""
        if self.platform_up and self.accepted and name not in self.disconnected:
            index = max(0, len(self.accepted) - 1 - back)
            offer = Offer(PLATFORM, self.accepted[index], tuple(self.accepted[:index]), index + 1)
            self.messages.append((PLATFORM, name, offer, self.contents[index][1]))

    @stateful.rule(origin=st.sampled_from(NAMES), name=st.sampled_from(NAMES))
    def announce(self, origin, name):
        self.messages.append((origin, name, self.nodes[origin].revisions.number, None))

    @stateful.rule(name=st.sampled_from(NAMES))
    def tick(self, name):
        node = self.nodes[name]
        peers = [other for other in NAMES if other != name]
        self.ask(name, node.revisions.on_tick(1e9 * (1 + node.revisions.next_poll_at), peers))

    def ask(self, name, pulls):
        """Run pulls: the answer is queued, or the source can't be reached."""
        node = self.nodes[name]
        while pulls:
            source = pulls[0].source
            reached = name not in self.disconnected and source not in self.disconnected
            if source == PLATFORM:
                self.read_head(name, 0)
            elif reached and self.nodes[source].revisions.current:
                self.answer(source, name)
            pulls = node.revisions.on_pull_ended(source)

    def answer(self, source, name):
        """A peer answers with the difference to the content that the node holds."""
        node, peer = self.nodes[name], self.nodes[source]
        held = node.content.digest if node.content.parts else ""
        ask = PullRequest(node.revisions.number, held)
        answer = peer.desk.respond(peer.revisions, peer.content, ask)
        base = node.content if answer.difference else Content({})
        offer = Offer(source, answer.revision, answer.links, answer.heard)
        self.messages.append((source, name, offer, base.replace(answer.parts)))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(pick=st.integers(0, 1000), lost=st.integers(0, 3), again=st.booleans())
    def deliver(self, pick, lost, again):
        source, name, what, content = self.messages.pop(pick % len(self.messages))
        if again:
            self.messages.append((source, name, what, content))
        if lost == 3 or name in self.disconnected or source in self.disconnected:
            COUNTS["lost"] += 1
            return
        COUNTS["delivered"] += 1
        node = self.nodes[name]
        if isinstance(what, int):
            self.ask(name, node.revisions.on_revision_announced(source, what))
        elif node.start is None:
            self.adopt(node, what, content)

    def adopt(self, node, offer, content):
        if node.revisions.adopt(offer, content.digest) is Verdict.ADOPT:
            node.content = content
            node.desk.add_base(content)
            COUNTS["adopted"] += 1

    @stateful.rule(name=st.sampled_from(NAMES), first=st.integers(0, len(NAMES) - 1))
    def restart(self, name, first):
        """A node restarts without state and asks the object API and several peers."""
        others = [other for other in NAMES if other != name]
        peers = [others[(first + step) % len(others)] for step in range(defaults.STARTUP_PEERS)]
        reached = [
            peer
            for peer in peers
            if name not in self.disconnected and peer not in self.disconnected
        ]
        node = self.nodes[name]
        node.start = StartupSelection(peers, 0.0)
        found = max((self.nodes[peer].revisions.number for peer in reached), default=0)
        node.lowest = min(max(node.lowest, node.revisions.number), found)
        node.revisions = self.make_revisions(random.Random(2))
        node.content, node.desk = Content({}), PullServer()
        COUNTS["restarted"] += 1

    @stateful.rule(name=st.sampled_from(NAMES))
    def settle(self, name):
        """A starting node asks the sources without an answer, and puts the best offer in force."""
        node = self.nodes[name]
        if node.start is None or name in self.disconnected:
            return
        for source in node.start.missing():
            if source == PLATFORM and self.platform_up and self.accepted:
                chain = tuple(self.accepted)
                node.start.on_offer(Offer(PLATFORM, chain[-1], chain[:-1], len(chain)))
            elif source != PLATFORM and source not in self.disconnected:
                peer = self.nodes[source].revisions
                node.start.on_offer(
                    Offer(source, peer.current, peer.ancestors, peer.highest_known)
                )
        if node.start.is_decided(0.0) and node.start.best().revision:
            best = node.start.best()
            self.adopt(node, best, self.contents[best.number - 1][1])
            node.revisions.enable_pulls()
            node.start = None
            COUNTS["started"] += 1

    @stateful.invariant()
    def only_accepted_revisions_in_ascending_order(self):
        COUNTS["steps"] += 1
        for node in self.nodes.values():
            number = node.revisions.number
            if not number:
                continue
            assert node.revisions.current == self.accepted[number - 1]
            assert node.content.digest == self.accepted[number - 1].digest
            if node.start is None:
                assert number >= node.lowest
                node.lowest = number

    def teardown(self):
        """Every node reaches the newest revision after all faults have ended."""
        self.platform_up, self.disconnected, self.messages = True, set(), []
        for _ in range(40 if self.accepted else 0):
            for name in NAMES:
                self.settle(name)
                self.tick(name)
            while self.messages:
                self.deliver(0, 0, False)
        for node in self.nodes.values():
            assert node.revisions.number == len(self.accepted)


FUZZ = settings(max_examples=80, stateful_step_count=50)
SEARCH_LIMIT_EXAMPLES = 3000


def test_fuzz_many_nodes():
    COUNTS.clear()
    stateful.run_state_machine_as_test(Spread, settings=FUZZ)
    print(dict(COUNTS))
    assert COUNTS["adopted"] > 100 and COUNTS["started"] > 20


def test_fuzz_finds_a_node_that_adopts_every_offer():
    """An invariant has to fail; teardown, which also fails for other reasons, is left out.

    The search ends at the first failure; without a failure it runs up to the limit. The generated
    examples depend on the names of the rules and on the loaded modules. The limit is high enough
    that the result does not.
    """

    class Broken(Spread):
        make_revisions = AdoptsEveryOffer

        def teardown(self):
            pass

    search = settings(
        FUZZ,
        max_examples=SEARCH_LIMIT_EXAMPLES,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Broken, settings=search)
