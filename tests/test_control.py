from hickorylever.bench import Report, control


def test_a_small_fleet_meets_every_target():
    report = Report()
    row = control.measure_traffic(report, 8, 1)
    control.measure_adoption(report, 8, 0.05, 1)
    control.measure_removal(report, 8, 1)
    assert not report.missed
    assert row["B/s max"] >= row["B/s p50"] > 0


def test_a_missed_target_is_reported(monkeypatch):
    monkeypatch.setattr(control, "MAX_ADOPTION_SECONDS", 0.01)
    monkeypatch.setattr(control, "SMALL_FLEET_BYTES_PER_SECOND", 10)
    report = Report()
    control.measure_traffic(report, 8, 1)
    control.measure_adoption(report, 8, 0.05, 1)
    assert len(report.missed) == 2
