"""A process's settings: a TOML file, checked as a whole."""

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path

from . import defaults
from .exceptions import SettingsError

LOG_FORMATS = ("json", "text")
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a router or a sidecar; every key of the file is a field here.

    :param vm: name of the VM in the inventory.
    :param address: IP number to listen on.
    :param port: listener of requests (router) or attempts (sidecar).
    :param admin_port: listener of health and metrics.
    :param peers: ``address:port`` of some routers, asked at start-up.
    :param vm_list: ``address:port`` of the platform's VM list; without it heartbeats alone count.
    :param endpoint: ``address:port`` of the endpoint beside a sidecar.
    :param drain_grace: seconds that in-flight requests get after a signal.
    :param balancer_delay: seconds that a draining router still accepts connections.
    """

    vm: str
    region: str
    failure_domain: str
    platform: str
    address: str = "127.0.0.1"
    port: int = 0
    admin_port: int = 0
    endpoint: str = ""
    peers: tuple[str, ...] = ()
    vm_list: str = ""
    log_format: str = "json"
    log_level: str = "info"
    drain_grace: float = defaults.DRAIN_GRACE_SECONDS
    balancer_delay: float = defaults.BALANCER_DELAY_SECONDS
    seed: int = 0


ADDRESSES = ("platform", "endpoint", "vm_list")
CHOICES = {"log_format": LOG_FORMATS, "log_level": LOG_LEVELS}
TYPES = {str: (str,), int: (int,), float: (int, float), tuple[str, ...]: (list,)}
NOUNS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    tuple[str, ...]: "a list of strings",
}


def split_address(text: str) -> tuple[str, int]:
    """Return IP number and port of ``address:port``.

    :raises ValueError: when it has another form.
    """
    address, _, port = text.rpartition(":")
    if not address:
        raise ValueError(f"{text!r} is not address:port")
    return address, int(port)


def value_fault(name: str, kind: type, value: object) -> str:
    """Return what is wrong with one value, or an empty string."""
    if not isinstance(value, TYPES[kind]) or isinstance(value, bool):
        return f"must be {NOUNS[kind]}"
    if name in CHOICES and value not in CHOICES[name]:
        return f"must be one of {', '.join(CHOICES[name])}"
    if name in ("port", "admin_port") and not 0 <= value <= 65535:
        return "must be from 0 to 65535"
    if name in ("drain_grace", "balancer_delay") and value < 0:
        return "must not be negative"
    texts = value if name == "peers" else [value] if name in ADDRESSES else []
    for text in texts:
        if text and not well_formed(text):
            return "must be of the form address:port"
    return ""


def well_formed(text: object) -> bool:
    """Tell whether a text is ``address:port``."""
    try:
        split_address(text)
    except (ValueError, AttributeError):
        return False
    return True


def load(path: str | Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with every fault found.
    """
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    known = {entry.name: entry.type for entry in fields(Settings)}
    required = ("vm", "region", "failure_domain", "platform")
    faults = [f"{path}: {name}: unknown key" for name in table if name not in known]
    faults += [f"{path}: {name}: is required" for name in required if name not in table]
    values = {}
    for name, value in table.items():
        if name not in known:
            continue
        fault = value_fault(name, known[name], value)
        if fault:
            faults.append(f"{path}: {name}: {fault}")
        values[name] = tuple(value) if isinstance(value, list) else value
    if faults:
        raise SettingsError(faults)
    return Settings(**values)
