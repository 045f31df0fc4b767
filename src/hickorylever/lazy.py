"""Public names of a package whose modules are imported on first use."""

import importlib
import sys
from collections.abc import Callable


def lazy_names(package: str, modules: dict[str, str]) -> Callable[[str], object]:
    """Return a package's ``__getattr__``, which imports a name and keeps it in the package.

    :param package: its full name.
    :param modules: module of the package that defines each name.
    """

    def __getattr__(name: str) -> object:  # noqa: N807
        if name not in modules:
            raise AttributeError(name)
        value = getattr(importlib.import_module(f".{modules[name]}", package), name)
        setattr(sys.modules[package], name, value)
        return value

    return __getattr__
