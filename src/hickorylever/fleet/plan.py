"""Compares configurations and describes the changes in text."""

import dataclasses
from dataclasses import dataclass

from .. import defaults
from ..records import Fleet
from .content import SECTIONS

NOUNS = {
    "vms": "VM",
    "endpoints": "endpoint",
    "applications": "application",
    "client_accounts": "client account",
}


@dataclass(frozen=True, slots=True)
class Change:
    """The change of one object.

    :param sign: ``+`` added, ``-`` removed, ``~`` changed.
    :param noun: kind of the object.
    :param name: the object's name, empty for the settings of the whole fleet.
    :param text: the changed fields, empty if the object is added or removed.
    """

    sign: str
    noun: str
    name: str
    text: str = ""

    def __str__(self) -> str:
        subject = f"{self.sign} {self.noun} {self.name}".rstrip()
        return f"{subject}: {self.text}" if self.text else subject


def format_value(value: object) -> str:
    """Return the text of a field's value, ``none`` if empty."""
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value) if value != "" else "none"


def describe_field(name: str, old: object, new: object) -> str:
    """Return the text for a changed field; lists show only the added and removed items."""
    label = name.replace("_", " ")
    if not isinstance(old, tuple) or any(dataclasses.is_dataclass(e) for e in (*old, *new)):
        return f"{label} {format_value(old)} -> {format_value(new)}"
    removed = [f"without {entry}" for entry in old if entry not in new]
    added = [f"with {entry}" for entry in new if entry not in old]
    return f"{label} {', '.join(added + removed) or 'in another order'}"


def compare_fields(old: object, new: object, ignored: tuple[str, ...] = ()) -> str:
    """Return the text for the changed fields of an object, empty if none changed."""
    texts = []
    for entry in dataclasses.fields(new):
        old_value, new_value = getattr(old, entry.name), getattr(new, entry.name)
        if old_value != new_value and entry.name not in ignored:
            texts.append(describe_field(entry.name, old_value, new_value))
    return "; ".join(texts)


def compare_named(noun: str, old: tuple, new: tuple) -> list[Change]:
    """Return the changes between two lists of named objects, sorted by name."""
    before = {entry.name: entry for entry in old}
    after = {entry.name: entry for entry in new}
    changes = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            changes.append(Change("+", noun, name))
        elif name not in after:
            changes.append(Change("-", noun, name))
        elif before[name] != after[name]:
            changes.append(Change("~", noun, name, compare_fields(before[name], after[name])))
    return changes


def describe_guard(guard) -> str:
    """Return the text of a never-repeat rule: its fields that are set."""
    fields = dataclasses.fields(guard)
    values = [(entry.name, getattr(guard, entry.name)) for entry in fields]
    return " ".join(
        f"{name}={format_value(value)}" for name, value in values if value not in ("", ())
    )


def compare(old: Fleet, new: Fleet) -> list[Change]:
    """Return all changes between two configurations."""
    changes = []
    settings = compare_fields(old, new, (*SECTIONS, "guards"))
    if settings:
        changes.append(Change("~", "fleet", "", settings))
    for sign, present, absent in (("-", old, new), ("+", new, old)):
        for guard in present.guards:
            if guard not in absent.guards:
                changes.append(Change(sign, "never_repeat", describe_guard(guard)))
    for section, noun in NOUNS.items():
        changes += compare_named(noun, getattr(old, section), getattr(new, section))
    return changes


def group_changes(changes: list[Change]) -> list[str]:
    """Return lines of text; objects with the same change share a line."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    for change in changes:
        groups.setdefault((change.sign, change.noun, change.text), []).append(change.name)
    lines = []
    for (sign, noun, text), names in groups.items():
        shown = names[: defaults.MAX_LISTED_NAMES]
        suffix = f" and {len(names) - len(shown)} more" if len(names) > len(shown) else ""
        lines.append(str(Change(sign, noun, ", ".join(shown) + suffix, text)))
    return lines


def summary(changes: list[Change]) -> tuple[str, ...]:
    """Return the lines for the audit trail, limited in number and length."""
    lines = [line[: defaults.MAX_CHANGE_LINE_CHARACTERS] for line in group_changes(changes)]
    if len(lines) > defaults.MAX_CHANGE_LINES:
        omitted = len(lines) - defaults.MAX_CHANGE_LINES + 1
        lines = [*lines[: defaults.MAX_CHANGE_LINES - 1], f"and {omitted} more"]
    return tuple(lines)


def mentions(lines: tuple[str, ...], name: str) -> bool:
    """Return whether lines of the audit trail name an object.

    Truncated lines count as naming every object, so that no change is missed.
    """
    for line in lines:
        truncated = line.endswith(" more") or " more: " in line
        truncated = truncated or len(line) == defaults.MAX_CHANGE_LINE_CHARACTERS
        if truncated or name in line.replace(",", " ").replace(":", " ").split():
            return True
    return False
