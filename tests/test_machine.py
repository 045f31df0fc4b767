import random

import machine
import pytest
from hypothesis import Phase

from hickorylever.bench.actors import Store
from hickorylever.bench.chaos import WEIGHTS, Chaos
from hickorylever.bench.simulation import ProtocolSimulation
from hickorylever.decisions import claims, guarded, outcomes
from hickorylever.decisions.attempts import AttemptTable
from hickorylever.decisions.outcomes import ExecutionEvidence, State
from hickorylever.exceptions import Ran

SEED = 3
STEPS = 40000


def test_fuzzer_finds_no_violation():
    machine.TOTALS.clear()
    machine.fuzz(200, SEED)
    print(machine.report())
    assert all(machine.TOTALS[fault] for fault in machine.FAULTS)
    assert all(machine.TOTALS[f"told {ran.value}"] for ran in Ran)


def cancel_without_tombstone(self, attempt, now, stamp):
    if attempt in self.entries:
        self.apply_action(attempt, "cancel", now)
        return self.ran(attempt)
    return Ran.NO


put = Store.put


def put_unconditionally(self, write):
    self.version = write.base
    return put(self, write)


BROKEN_VARIANTS = {
    "no tombstone": (AttemptTable, "cancel", cancel_without_tombstone),
    "silence means not run": (ExecutionEvidence, "ran", lambda self: self.reported or Ran.NO),
    "admitted means not run": (outcomes.RAN_BY_STATE, State.ADMITTED, Ran.NO),
    "take over without a tombstone": (
        guarded.ON_END,
        Ran.UNKNOWN,
        lambda flow, ended: flow.request_commit(),
    ),
    "claim again": (claims.PRECONDITIONS, claims.Action.CLAIM, lambda current, change: True),
    "unconditional write": (Store, "put", put_unconditionally),
}


def break_decision(monkeypatch, name):
    target, attribute, broken = BROKEN_VARIANTS[name]
    change = monkeypatch.setitem if isinstance(target, dict) else monkeypatch.setattr
    change(target, attribute, broken)


def run_chaos():
    simulation = ProtocolSimulation(random.Random(SEED), routers=3, endpoints=3)
    actions = Chaos(simulation, WEIGHTS, keys=400)
    for _ in range(STEPS):
        actions.step()
        if simulation.violations:
            break
    return simulation


def test_chaos_finds_no_violation():
    simulation = run_chaos()
    print(f"{STEPS} steps: {dict(simulation.counts)}, told {dict(simulation.reported_counts)}")
    assert not simulation.violations
    assert all(simulation.reported_counts[ran.value] > 100 for ran in Ran)


@pytest.mark.parametrize("name", BROKEN_VARIANTS)
def test_chaos_detects_broken_variant(name, monkeypatch):
    break_decision(monkeypatch, name)
    assert run_chaos().violations


@pytest.mark.parametrize("name", ["silence means not run", "claim again"])
def test_fuzzer_detects_broken_variant(name, monkeypatch):
    break_decision(monkeypatch, name)
    with pytest.raises(AssertionError, match="reported as not run|ran 2 times"):
        machine.fuzz(3000, SEED, phases=[Phase.generate])
