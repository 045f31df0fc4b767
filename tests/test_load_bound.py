"""The bound on the load of endpoints, in simulations with delayed load updates."""

import pytest
from fleet_simulation import Simulation, Workload, worst_window

MAX_OVER_BOUND_RATIO = 0.03  # Of the requests in a window, that may exceed their engine's bound.
MAX_VIEW_ERROR = 0.1  # Relative error of a router's view of the requests in flight.

LOADS = {
    "calm": Workload(),
    "one subject": Workload(hot_ratio=0.3),
    "most about one subject": Workload(hot_ratio=0.6),
    "long streams": Workload(run_time_factor=12.0, rate=40.0, seconds=30.0),
    "lost datagrams": Workload(loss_ratio=0.1),
    "failures that every router hears of": Workload(failures=4.0),
    "a small fleet": Workload(routers=5, engines=6, rate=50.0),
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_few_requests_exceed_load_bound(load, seed):
    assert worst_window(Simulation(load, seed).run()) <= MAX_OVER_BOUND_RATIO


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_views_match_requests_in_flight(load):
    placed = [entry for entry in Simulation(load, 3).run() if entry.time > 3.0]
    seen = sum(entry.seen_mean for entry in placed)
    held = sum(entry.mean for entry in placed)
    assert abs(seen - held) <= MAX_VIEW_ERROR * held
