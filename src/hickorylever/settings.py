"""Settings of a process, read from a TOML file."""

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path

from . import defaults
from .addresses import split_address
from .exceptions import SettingsError

LOG_FORMATS = ("json", "text")
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a router or a sidecar. Every key of the file is a field.

    :param vm: name of the VM in the inventory.
    :param address: IP address to listen on.
    :param port: port for requests (router) or attempts (sidecar).
    :param admin_port: port for health checks and metrics.
    :param peers: ``address:port`` of routers to ask for the configuration at start-up.
    :param vm_list: ``address:port`` of the platform's VM list. Without it, failure detection
        relies on heartbeats alone.
    :param endpoint: ``address:port`` of the endpoint of a sidecar.
    :param drain_grace: seconds that in-flight requests get to finish after a stop signal.
    :param balancer_delay: seconds for which a draining router still accepts connections.
    :param seed: seed of the random generator; 0 for a random seed.
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
ACCEPTED_TYPES = {str: (str,), int: (int,), float: (int, float), tuple[str, ...]: (list,)}
TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    tuple[str, ...]: "a list of strings",
}


def check_value(name: str, kind: type, value: object) -> str:
    """Return an error message for one value, or an empty string if it is valid."""
    if not isinstance(value, ACCEPTED_TYPES[kind]) or isinstance(value, bool):
        return f"must be {TYPE_NAMES[kind]}"
    if name in CHOICES and value not in CHOICES[name]:
        return f"must be one of {', '.join(CHOICES[name])}"
    if name in ("port", "admin_port") and not 0 <= value <= 65535:
        return "must be from 0 to 65535"
    if name in ("drain_grace", "balancer_delay") and value < 0:
        return "must not be negative"
    texts = value if name == "peers" else [value] if name in ADDRESSES else []
    for text in texts:
        if text and not is_address(text):
            return "must be of the form address:port"
    return ""


def is_address(text: object) -> bool:
    """Return whether a text has the form ``address:port``."""
    try:
        split_address(text)
    except (ValueError, AttributeError):
        return False
    return True


def load(path: str | Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: with all errors found.
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
        fault = check_value(name, known[name], value)
        if fault:
            faults.append(f"{path}: {name}: {fault}")
        values[name] = tuple(value) if isinstance(value, list) else value
    if faults:
        raise SettingsError(faults)
    return Settings(**values)
