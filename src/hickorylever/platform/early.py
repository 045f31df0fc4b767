"""The address to listen on, read before anything else is imported."""

import os
import tomllib

from . import names


def frontend(path: str | None = None) -> tuple[str, int] | None:
    """Return IP number and port for callers, or None when the settings don't tell.

    :param path: of the settings file; by default the one that the environment names.
    """
    path = path or os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            address, _, port = tomllib.load(file)["listen"]["frontend"].rpartition(":")
        return address, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None  # The full check of the settings says what is wrong.
