"""Settings of a router that forwards to endpoints without sidecars."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one process. Times in seconds.

    :param path: of the file that the settings were read from.
    :param address: IP number to listen on.
    :param port: listener of callers.
    :param ready_port: listener of the balancer's readiness checks.
    :param peer_port: TCP and UDP port of the routers among themselves, the same on every VM.
    :param store: IP number and port of the platform's store.
    :param seeds: IP numbers of some routers, maybe stale.
    :param link_mbps: speed of the VM's link in Mbit/s.
    :param drain_grace: from SIGTERM until the process is killed.
    :param retry_ratio: retries allowed per request, over all routers.
    :param retry_window: sliding window in which retries are counted.
    :param retry_allowance: retries allowed in a window beside the ratio, over all routers.
    :param load_multiple: of the mean of a service; no endpoint should hold more requests.
    """

    path: str
    vm: str
    address: str
    failure_domain: str
    port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store: tuple[str, int]
    seeds: tuple[str, ...] = ()
    memory_bytes: int = 256 * 1024 * 1024
    max_descriptors: int = 1024
    link_mbps: float = 1000.0
    drain_grace: float = 8.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 0.0
    load_multiple: float = 2.0
