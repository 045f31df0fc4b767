"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path

import msgspec

from ..addresses import split_address
from ..direct.settings import DirectSettings
from ..exceptions import SettingsError
from . import names

SECONDS_PER_MILLISECOND = 0.001
BYTES_PER_MEGABYTE = 1024 * 1024
HEARTBEATS_PER_ENTRY = 3  # Missed ones after which the store removes an endpoint's entry.


class Wire(msgspec.Struct, rename="kebab", frozen=True):
    """Base class of the tables in the file. Unknown keys are ignored."""


class WireListen(Wire):
    """Addresses to listen on."""

    frontend: str
    ready: str
    control_plane: str = ""


class WireLimits(Wire):
    """Resources of one process on the VM."""

    memory_mb: float = 256.0
    max_fds: int = 1024
    link_mbps: float = 1000.0


class WireBounds(Wire):
    """Time limits, retry limits and the load limit that the operator sets."""

    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 0.0
    cap_factor: float = 2.0
    evacuate_ms: float | None = None
    warmup_overage: float | None = None
    warmup_allowance: float | None = None


class WireStore(Wire):
    """Address of the store."""

    address: str


class WireSettings(Wire):
    """The settings file."""

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: WireListen
    platform: WireStore
    seeds: list[str] = []
    bootstrap: bool = False
    heartbeat_ms: float = 1200.0
    limits: WireLimits = WireLimits()
    bounds: WireBounds = WireBounds()


def load(path: str | None = None) -> DirectSettings:
    """Read the settings of this process.

    :param path: of the file; by default the one that the environment names.
    :raises SettingsError: if the file can't be read or is invalid.
    """
    path = path or os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        wire = msgspec.convert(table, WireSettings)
        return convert_settings(path, wire)
    except (OSError, ValueError, IndexError, msgspec.ValidationError) as error:
        raise SettingsError([f"{path}: {error}"]) from None


def convert_settings(path: str, wire: WireSettings) -> DirectSettings:
    """Return the settings in the form that routers use."""
    bounds = wire.bounds
    evacuate_ms = bounds.evacuate_ms
    seeds = tuple(split_address(seed)[0] for seed in wire.seeds)
    return DirectSettings(
        path=path,
        vm=wire.node_name,
        address=wire.ip,
        failure_domain=wire.zone,
        port=split_address(wire.listen.frontend)[1],
        ready_port=split_address(wire.listen.ready)[1],
        peer_port=wire.internal_ports[0],
        metrics_port=names.METRICS_PORT,
        store=split_address(wire.platform.address),
        seeds=tuple(seed for seed in seeds if seed != wire.ip),
        first_start=wire.bootstrap,
        memory_bytes=int(wire.limits.memory_mb * BYTES_PER_MEGABYTE),
        max_descriptors=wire.limits.max_fds,
        link_mbps=wire.limits.link_mbps,
        endpoint_entry_lifetime=(
            HEARTBEATS_PER_ENTRY * wire.heartbeat_ms * SECONDS_PER_MILLISECOND
        ),
        drain_grace=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window=bounds.retry_window_s,
        retry_allowance=bounds.retry_allowance,
        load_multiple=bounds.cap_factor,
        evacuation_time=None if evacuate_ms is None else evacuate_ms * SECONDS_PER_MILLISECOND,
        warmup_overage=bounds.warmup_overage,
        warmup_allowance=bounds.warmup_allowance,
    )
