"""Regenerate the tables of docs/CAPACITY.md from bench/capacity.json.

The text between the markers ``<!-- NAME -->`` and ``<!-- end -->`` is replaced.
"""

import json
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
RECORD = ROOT / "bench" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
SECTION = re.compile(r"(<!-- (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
NODES = 370
SERVERS = 760
MEMBERS = NODES + SERVERS
MODELS = 31
REQUESTS = 7200
TOKENS = 2.2e6
CHANGES = 3900
DAY = 86400


def read_slopes(record: dict) -> dict[str, dict]:
    """Return the slopes by name."""
    return {slope["name"]: slope for slope in record["slopes"]}


def at(slope: dict, size: float) -> float:
    """Return the fitted cost at a size."""
    return slope["intercept"] + slope["slope"] * size


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)


def slopes_table(record: dict) -> str:
    """Return the table of all slopes with their points."""
    rows = [
        [
            slope["name"],
            f"{slope['unit']} per {slope['per']}",
            f"{slope['slope']:.4g}",
            f"{slope['intercept']:.4g}",
            f"{slope['residual']:.2g}",
            ", ".join(f"{size:g}: {cost:.4g}" for size, cost in slope["points"]),
        ]
        for slope in record["slopes"]
    ]
    head = ["cost", "unit", "slope", "fixed", "residual", "points"]
    return f"`{record['command']}`\n\n" + table(head, rows)


def target_table(record: dict) -> str:
    """Return the table of costs at the target size."""
    slopes = read_slopes(record)
    path = slopes["router and sidecar"]
    each_request = path["intercept"] / 1e6
    each_token = path["slope"] / 1e6
    cores = REQUESTS * each_request + TOKENS * each_token
    size = at(slopes["configuration size"], 1.0)
    adopt = at(slopes["configuration in force"], 1.0)
    choice = at(slopes["choice of an endpoint"], SERVERS / MODELS)
    traffic = at(slopes["gossip B/s p50"], MEMBERS) / 1024
    share = 100 * at(slopes["gossip core max"], MEMBERS)
    state = at(slopes["gossip state KB"], MEMBERS) / 1024
    memory = slopes["idle connections"]["slope"]
    rows = [
        ["requests and tokens", f"{cores:.0f} cores for routers and sidecars together"],
        ["the same, of one node of 370 + 760", f"{100 * cores / MEMBERS:.0f}% of a core"],
        ["choice of an endpoint", f"{choice:.1f} us a request, {SERVERS / MODELS:.0f} endpoints"],
        ["configuration, stored", f"{size:.0f} kB compressed"],
        ["configuration, in force", f"{adopt:.0f} ms of a core a change on each node"],
        ["configuration changes", f"{100 * CHANGES * adopt / 1000 / DAY:.2f}% of a core"],
        ["control traffic of a node", f"{traffic:.2f} KB/s (allowed: 28)"],
        ["control processor time of a node", f"{share:.2f}% of a core (allowed: 2.7)"],
        ["control state of a node", f"{state:.2f} MB (allowed: 32)"],
        ["2,000 claims a second", f"{at(slopes['claims'], NODES):.0f} writes/s at 370 routers"],
        ["4,096 connections of a router", f"{4.096 * memory:.0f} MB"],
    ]
    return table(["at the target", "worked out"], rows)


def cell(value: object) -> str:
    """Return the text of a table cell; floats are rounded to three significant digits."""
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def outages_table(record: dict) -> str:
    """Return the table of outages."""
    columns = ("outage", "endpoints", "lost", "refused", "reuse", "wait_p99")
    rows = [[cell(row[name]) for name in columns] for row in record["outages"]]
    head = ["outage", "endpoints out", "requests lost", "refused", "reuse", "wait p99, s"]
    return table(head, rows)


SECTIONS = {"slopes": slopes_table, "target": target_table, "outages": outages_table}


def render(page: str, record: dict) -> str:
    """Return the page with every section regenerated from the record."""

    def replace(match: re.Match) -> str:
        return match[1] + "\n" + SECTIONS[match[2]](record) + "\n" + match[3]

    return SECTION.sub(replace, page)


def main() -> None:
    """Rewrite docs/CAPACITY.md."""
    record = json.loads(RECORD.read_text())
    PAGE.write_text(render(PAGE.read_text(), record))


if __name__ == "__main__":
    main()
