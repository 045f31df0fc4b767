from hickorylever.bench.scheduler import EventScheduler


def run_scheduler(seed):
    scheduler = EventScheduler(seed)
    seen = []

    def record(name):
        seen.append((scheduler.now, name))

    scheduler.at(2.0, record, "late")
    scheduler.at(1.0, record, "first")
    scheduler.at(1.0, record, "second")
    scheduler.every(0.5, record, "tick")
    scheduler.run(2.0)
    return scheduler, seen


def test_ties_run_in_scheduling_order():
    scheduler, seen = run_scheduler(1)
    assert seen == sorted(seen, key=lambda entry: entry[0])
    names = [name for _, name in seen if name != "tick"]
    assert names == ["first", "second", "late"]
    assert 3 <= [name for _, name in seen].count("tick") <= 5
    assert scheduler.now == 2.0


def test_same_seed_repeats_run():
    assert run_scheduler(3)[1] == run_scheduler(3)[1] != run_scheduler(4)[1]
