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
ROUTERS = 370
SERVERS = 760
MEMBERS = ROUTERS + SERVERS
MODELS = 31
REQUESTS_PER_SECOND = 7200
TOKENS_PER_SECOND = 2.2e6
CHANGES_PER_DAY = 3900
SECONDS_PER_DAY = 86400


def read_slopes(record: dict) -> dict[str, dict]:
    """Return the slopes by name."""
    return {slope["name"]: slope for slope in record["slopes"]}


def cost_at(slope: dict, size: float) -> float:
    """Return the fitted cost at a size."""
    return slope["intercept"] + slope["slope"] * size


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
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
    header = ["cost", "unit", "slope", "fixed", "residual", "points"]
    return f"`{record['command']}`\n\n" + table(header, rows)


def target_table(record: dict) -> str:
    """Return the table of costs at the target size."""
    slopes = read_slopes(record)
    path = slopes["router and sidecar"]
    cpu_seconds_per_request = path["intercept"] / 1e6
    cpu_seconds_per_token = path["slope"] / 1e6
    cores = (
        REQUESTS_PER_SECOND * cpu_seconds_per_request + TOKENS_PER_SECOND * cpu_seconds_per_token
    )
    size = cost_at(slopes["configuration size"], 1.0)
    adopt_ms = cost_at(slopes["configuration in force"], 1.0)
    choice = cost_at(slopes["choice of an endpoint"], SERVERS / MODELS)
    traffic_kb = cost_at(slopes["gossip B/s p50"], MEMBERS) / 1024
    cpu_percent = 100 * cost_at(slopes["gossip core max"], MEMBERS)
    state = cost_at(slopes["gossip state KB"], MEMBERS) / 1024
    kb_per_connection = slopes["idle connections"]["slope"]
    rows = [
        ["requests and tokens", f"{cores:.0f} cores for routers and sidecars together"],
        ["the same, of one node of 370 + 760", f"{100 * cores / MEMBERS:.0f}% of a core"],
        ["choice of an endpoint", f"{choice:.1f} us a request, {SERVERS / MODELS:.0f} endpoints"],
        ["configuration, stored", f"{size:.0f} kB compressed"],
        ["configuration, in force", f"{adopt_ms:.0f} ms of a core a change on each node"],
        [
            "configuration changes",
            f"{100 * CHANGES_PER_DAY * adopt_ms / 1000 / SECONDS_PER_DAY:.2f}% of a core",
        ],
        ["control traffic of a node", f"{traffic_kb:.2f} KB/s (allowed: 28)"],
        ["control processor time of a node", f"{cpu_percent:.2f}% of a core (allowed: 2.7)"],
        ["control state of a node", f"{state:.2f} MB (allowed: 32)"],
        [
            "2,000 claims a second",
            f"{cost_at(slopes['claims'], ROUTERS):.0f} writes/s at 370 routers",
        ],
        ["4,096 connections of a router", f"{4.096 * kb_per_connection:.0f} MB"],
    ]
    return table(["at the target", "worked out"], rows)


def cell(value: object) -> str:
    """Return the text of a table cell; floats are rounded to three significant digits."""
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def outages_table(record: dict) -> str:
    """Return the table of outages."""
    columns = ("outage", "endpoints", "lost", "refused", "reuse", "wait_p99")
    rows = [[cell(row[name]) for name in columns] for row in record["outages"]]
    header = ["outage", "endpoints out", "requests lost", "refused", "reuse", "wait p99, s"]
    return table(header, rows)


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
