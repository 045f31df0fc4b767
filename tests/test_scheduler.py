from hickorylever.bench.driver import Driver


def record(seed):
    driver = Driver(seed)
    seen = []

    def note(name):
        seen.append((driver.now, name))

    driver.at(2.0, note, "late")
    driver.at(1.0, note, "first")
    driver.at(1.0, note, "second")
    driver.every(0.5, note, "tick")
    driver.run(2.0)
    return driver, seen


def test_events_run_in_order_of_time_then_of_asking():
    driver, seen = record(1)
    assert seen == sorted(seen, key=lambda entry: entry[0])
    names = [name for _, name in seen if name != "tick"]
    assert names == ["first", "second", "late"]
    assert 3 <= [name for _, name in seen].count("tick") <= 5
    assert driver.now == 2.0


def test_a_seed_repeats_its_run():
    assert record(3)[1] == record(3)[1] != record(4)[1]
