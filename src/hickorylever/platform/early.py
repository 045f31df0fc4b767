"""Reads the listening address from the settings file with few imports, so that it is fast."""

import os
import tomllib

from . import names


def frontend(path: str | None = None) -> tuple[str, int] | None:
    """Return the IP address and port for callers, or None if the settings have no valid one.

    :param path: of the settings file; by default the one that the environment names.
    """
    path = path or os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            address, _, port = tomllib.load(file)["listen"]["frontend"].rpartition(":")
        return address, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None  # settings.load() reports the error.
