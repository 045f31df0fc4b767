"""Checks of the imports between modules, read from the sources."""

import ast
import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src"
PACKAGE = "hickorylever"

# Packages whose modules register themselves with the package that imports them.
REGISTRIES = ("bench", "commands", "filters")

# Layers, and the modules that they must not import.
FORBIDDEN = [
    ("decisions", ("curio", "h11", "time", "socket", "http", "environment")),
    ("direct", ("platform", "soak", "standins", "environment", "gossip", "sidecar", "router")),
    ("http", ("direct", "platform", "environment")),
    ("fleet", ("h11", "direct", "platform")),
]
ENTRY_POINTS = ("direct.entry", "direct.listener")  # They select the platform adapter.

# Modules of the direct router without input, output or clock.
PURE = (
    "availability",
    "budget",
    "cache_plan",
    "departures",
    "directory",
    "prompt_cache",
    "rate_limit",
    "crashes",
    "account_shares",
    "held_bytes",
    "outbox",
    "hashes",
    "rendezvous",
    "peer_protocol",
    "peer_table",
    "streams",
    "versions",
    "candidates",
    "load_bound",
    "placement",
    "placement_cost",
    "position",
    "records",
    "capacity",
    "pace",
    "slow_start",
    "routes",
    "sse",
)


def module_name(path):
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


PATHS = {module_name(path): path for path in (SOURCE / PACKAGE).rglob("*.py")}


def imported(name, node):
    """Return the modules that an import statement names."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    base = node.module or ""
    if node.level:
        package = name if PATHS[name].name == "__init__.py" else name.rpartition(".")[0]
        parents = package.split(".")[: len(package.split(".")) - node.level + 1]
        base = ".".join([*parents, *([base] if base else [])])
    full = [f"{base}.{alias.name}" for alias in node.names]
    return [entry if entry in PATHS else base for entry in full]


def imports(name):
    """Return all modules that a module imports, including imports in functions and for types."""
    tree = ast.parse(PATHS[name].read_text())
    nodes = [node for node in ast.walk(tree) if isinstance(node, ast.Import | ast.ImportFrom)]
    return {entry for node in nodes for entry in imported(name, node)} - {name}


GRAPH = {name: imports(name) for name in PATHS}


def reachable(name):
    """Return the modules of the package that importing a module loads."""
    seen, todo = set(), [name]
    while todo:
        for entry in GRAPH[todo.pop()] & PATHS.keys():
            if entry not in seen:
                seen.add(entry)
                todo.append(entry)
    return seen


def registry(name):
    parts = name.split(".")
    return len(parts) > 1 and parts[1] in REGISTRIES


def test_no_import_cycles():
    cycles = {name for name in GRAPH if not registry(name) and name in reachable(name)}
    assert cycles == set()


@pytest.mark.parametrize(("layer", "forbidden"), FORBIDDEN)
def test_layers(layer, forbidden):
    names = [*forbidden, *(f"{PACKAGE}.{entry}" for entry in forbidden)]
    for module in GRAPH:
        short = module.removeprefix(f"{PACKAGE}.")
        if short.split(".")[0] != layer or short in ENTRY_POINTS:
            continue
        wrong = {
            entry
            for entry in GRAPH[module]
            for name in names
            if entry == name or entry.startswith(f"{name}.")
        }
        assert not wrong, module


@pytest.mark.parametrize("module", PURE)
def test_pure_modules_of_the_direct_router(module):
    loaded = GRAPH[f"{PACKAGE}.direct.{module}"]
    assert not loaded & {"curio", "h11", "socket", "time", "os", f"{PACKAGE}.http"}


def test_direct_router_does_not_import_test_servers():
    loaded = reachable(f"{PACKAGE}.direct.entry") | reachable(f"{PACKAGE}.platform")
    assert not [name for name in loaded if "standins" in name or "soak" in name]


def test_direct_router_uses_the_monotonic_clock():
    """The wall clock may jump, so only the generation number of a router is taken from it."""
    wall = re.compile(r"time\.time|datetime")
    used = {name for name in GRAPH if ".direct." in name and wall.search(PATHS[name].read_text())}
    assert used == {f"{PACKAGE}.direct.peer_sync"}
