"""The difference between two configurations in words."""

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
    """What a change does to one object.

    :param sign: ``+`` added, ``-`` removed, ``~`` changed.
    :param name: the object's name, empty for the fleet's own rules.
    :param text: what changes, empty when added or removed.
    """

    sign: str
    noun: str
    name: str
    text: str = ""

    def __str__(self) -> str:
        subject = f"{self.sign} {self.noun} {self.name}".rstrip()
        return f"{subject}: {self.text}" if self.text else subject


def word(value: object) -> str:
    """Return a value as plan shows it."""
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value) if value != "" else "none"


def describe(name: str, old: object, new: object) -> str:
    """Return how one field changes; lists by what comes and goes."""
    title = name.replace("_", " ")
    if not isinstance(old, tuple) or any(dataclasses.is_dataclass(e) for e in (*old, *new)):
        return f"{title} {word(old)} -> {word(new)}"
    gone = [f"without {entry}" for entry in old if entry not in new]
    come = [f"with {entry}" for entry in new if entry not in old]
    return f"{title} {', '.join(come + gone) or 'in another order'}"


def compare_fields(old: object, new: object, skipped: tuple[str, ...] = ()) -> str:
    """Return how the fields of one object change, or an empty string."""
    texts = []
    for entry in dataclasses.fields(new):
        before, after = getattr(old, entry.name), getattr(new, entry.name)
        if before != after and entry.name not in skipped:
            texts.append(describe(entry.name, before, after))
    return "; ".join(texts)


def compare_named(noun: str, old: tuple, new: tuple) -> list[Change]:
    """Return the changes of one section's objects."""
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
    """Return a rule on requests that must never repeat, in words."""
    fields = dataclasses.fields(guard)
    values = [(entry.name, getattr(guard, entry.name)) for entry in fields]
    return " ".join(f"{name}={word(value)}" for name, value in values if value not in ("", ()))


def compare(old: Fleet, new: Fleet) -> list[Change]:
    """Return every change from one configuration to another."""
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
    """Return lines in which objects that change alike share one."""
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
    """Return the lines that go into the audit trail, cut to a bounded size."""
    lines = [line[: defaults.MAX_CHANGE_LINE_CHARACTERS] for line in group(changes)]
    if len(lines) > defaults.MAX_CHANGE_LINES:
        rest = len(lines) - defaults.MAX_CHANGE_LINES + 1
        lines = [*lines[: defaults.MAX_CHANGE_LINES - 1], f"and {rest} more"]
    return tuple(lines)


def touches(lines: tuple[str, ...], name: str) -> bool:
    """Tell whether lines of the audit trail name an object, or may have been cut before it."""
    for line in lines:
        cut = line.endswith(" more") or " more: " in line
        cut = cut or len(line) == defaults.MAX_CHANGE_LINE_CHARACTERS
        if cut or name in line.replace(",", " ").replace(":", " ").split():
            return True
    return False
