"""Settings of a router that forwards to endpoints directly, without sidecars."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one router process. Times are in seconds.

    :param path: file that the settings were read from.
    :param vm: name of the VM.
    :param address: IP address to listen on.
    :param failure_domain: failure domain of the VM.
    :param port: TCP port for callers.
    :param ready_port: TCP port for the load balancer's readiness checks.
    :param peer_port: TCP and UDP port for other routers, the same on all VMs.
    :param metrics_port: TCP port that serves metrics.
    :param first_start: whether no router has run before in this deployment.
    :param store: IP address and port of the platform's store.
    :param seeds: IP addresses of other routers; some may be outdated.
    :param memory_bytes: memory limit of the process.
    :param max_descriptors: limit on open file descriptors.
    :param link_mbps: speed of the VM's link in Mbit/s.
    :param endpoint_entry_lifetime: time after which the store removes the entry of an endpoint
        that does not renew it.
    :param drain_grace: time from SIGTERM until the process is killed.
    :param retry_ratio: retries allowed per request, over all routers.
    :param retry_window: sliding window in which retries are counted.
    :param retry_allowance: retries allowed in a window in addition to the ratio, over all
        routers.
    :param load_multiple: limit on the requests at an endpoint, as a multiple of the mean of its
        service.
    :param evacuation_time: time after which an evacuated failure domain gets nothing new, or None
        where failure domains are not evacuated.
    :param warmup_overage: factor on a service's rate of requests to a cold endpoint, above which
        it may crash; None for no limit.
    :param warmup_allowance: requests a second to a cold endpoint in addition; None for no limit.
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
    first_start: bool = False
    memory_bytes: int = 256 * 1024 * 1024
    max_descriptors: int = 1024
    link_mbps: float = 1000.0
    endpoint_entry_lifetime: float = 3.6
    drain_grace: float = 8.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 0.0
    load_multiple: float = 2.0
    evacuation_time: float | None = None
    warmup_overage: float | None = None
    warmup_allowance: float | None = None
