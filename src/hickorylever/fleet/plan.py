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


def word(value: object) -> str:
    """Return the text of a field's value, ``none`` if empty."""
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value) if value != "" else "none"


def describe(name: str, old: object, new: object) -> str:
    """Return the text for a changed field; lists show only the added and removed items."""
    title = name.replace("_", " ")
    if not isinstance(old, tuple) or any(dataclasses.is_dataclass(e) for e in (*old, *new)):
        return f"{title} {word(old)} -> {word(new)}"
    gone = [f"without {entry}" for entry in old if entry not in new]
    come = [f"with {entry}" for entry in new if entry not in old]
    return f"{title} {', '.join(come + gone) or 'in another order'}"


def compare_fields(old: object, new: object, skipped: tuple[str, ...] = ()) -> str:
    """Return the text for the changed fields of an object, empty if none changed."""
    texts = []
    for entry in dataclasses.fields(new):
        before, after = getattr(old, entry.name), getattr(new, entry.name)
        if before != after and entry.name not in skipped:
            texts.append(describe(entry.name, before, after))
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


def guard_words(guard) -> str:
    """Return the text of a never-repeat rule: its fields that are set."""
    fields = dataclasses.fields(guard)
    values = [(entry.name, getattr(guard, entry.name)) for entry in fields]
    return " ".join(f"{name}={word(value)}" for name, value in values if value not in ("", ()))


def compare(old: Fleet, new: Fleet) -> list[Change]:
    """Return all changes between two configurations."""
    changes = []
    general = compare_fields(old, new, (*SECTIONS, "guards"))
    if general:
        changes.append(Change("~", "fleet", "", general))
    for sign, these, those in (("-", old, new), ("+", new, old)):
        for guard in these.guards:
            if guard not in those.guards:
                changes.append(Change(sign, "never_repeat", guard_words(guard)))
    for section, noun in NOUNS.items():
        changes += compare_named(noun, getattr(old, section), getattr(new, section))
    return changes


def group(changes: list[Change]) -> list[str]:
    """Return lines of text; objects with the same change share a line."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    for change in changes:
        groups.setdefault((change.sign, change.noun, change.text), []).append(change.name)
    lines = []
    for (sign, noun, text), names in groups.items():
        shown = names[: defaults.MAX_LISTED_NAMES]
        more = f" and {len(names) - len(shown)} more" if len(names) > len(shown) else ""
        lines.append(str(Change(sign, noun, ", ".join(shown) + more, text)))
    return lines


def summary(changes: list[Change]) -> tuple[str, ...]:
    """Return the lines for the audit trail, limited in number and length."""
    lines = [line[: defaults.MAX_CHANGE_LINE_CHARACTERS] for line in group(changes)]
    if len(lines) > defaults.MAX_CHANGE_LINES:
        rest = len(lines) - defaults.MAX_CHANGE_LINES + 1
        lines = [*lines[: defaults.MAX_CHANGE_LINES - 1], f"and {rest} more"]
    return tuple(lines)


def touches(lines: tuple[str, ...], name: str) -> bool:
    """Return whether lines of the audit trail name an object.

    Truncated lines count as naming every object, so that no change is missed.
    """
    for line in lines:
        cut = line.endswith(" more") or " more: " in line
        cut = cut or len(line) == defaults.MAX_CHANGE_LINE_CHARACTERS
        if cut or name in line.replace(",", " ").replace(":", " ").split():
            return True
    return False
