from hickorylever.bench import Report, control


def test_a_small_fleet_meets_every_target():
    report = Report()
    row = control.traffic(report, 8, 1)
    control.spread(report, 8, 0.05, 1)
    control.leaving(report, 8, 1)
    assert not report.missed
    assert row["B/s max"] >= row["B/s p50"] > 0


def test_a_missed_target_is_reported(monkeypatch):
    monkeypatch.setattr(control, "TARGET_IN_FORCE", 0.01)
    monkeypatch.setattr(control, "TODAY_BYTES", 10)
    report = Report()
    control.traffic(report, 8, 1)
    control.spread(report, 8, 0.05, 1)
    assert len(report.missed) == 2
