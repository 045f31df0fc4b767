"""Registries of functions and classes by name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .exceptions import HickoryleverError

T = TypeVar("T")


class UnknownName(HickoryleverError):  # noqa: N818
    """Raised when a name is not registered. The message lists the registered names."""


class Registry(Generic[T]):
    """Maps names to functions or classes.

    :param noun: describes an entry in error messages.
    """

    def __init__(self, noun: str):
        self.noun = noun
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under `name`."""

        def decorate(entry: T) -> T:
            if name in self.entries:
                raise HickoryleverError(f"{self.noun} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return decorate

    def __getitem__(self, name: str) -> T:
        try:
            return self.entries[name]
        except KeyError:
            known = ", ".join(sorted(self.entries))
            raise UnknownName(f"unknown {self.noun} {name!r}; known: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self.entries)

    def __contains__(self, name: str) -> bool:
        return name in self.entries
