import importlib.util
import json
from pathlib import Path

import pytest

from hickorylever.bench.capacity import Slope

ROOT = Path(__file__).parent.parent


def load_script():
    spec = importlib.util.spec_from_file_location("capacity", ROOT / "scripts" / "capacity.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_page_matches_record():
    script = load_script()
    page = script.PAGE.read_text()
    record = json.loads(script.RECORD.read_text())
    assert script.render(page, record) == page
    record["slopes"][0]["slope"] += 100.0
    assert script.render(page, record) != page


@pytest.mark.parametrize("noise, residual", [(0.0, 0.0), (1.0, 1.0)])
def test_linear_fit(noise, residual):
    points = [(x, 3 * x + 2 + noise * sign) for x, sign in ((0, 1), (1, -1), (2, -1), (3, 1))]
    slope = Slope("a", "b", "c", points).fit()
    assert (slope.slope, slope.intercept) == pytest.approx((3, 2))
    assert slope.residual == pytest.approx(residual)
