"""The state dump: plain (name, value) pairs in titled sections."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

Entries = list[tuple[str, object]]

HIDDEN = "(hidden)"
# Values of entries whose names end in one of these words are hidden.
SECRET_WORDS = frozenset({"token", "tokens", "secret", "password", "authorization", "private"})


@dataclass(frozen=True)
class DumpSection:
    """One section of a state dump.

    Attributes
    ----------
    title : str
        What the section describes, such as ``settings`` or ``membership``.
    entries : list of (str, object)
        The state; names are unique and readable, values are plain data.
    """

    title: str
    entries: Entries = field(default_factory=list)


def is_secret(name: str) -> bool:
    """Return whether an entry's value must not leave the process."""
    words = name.lower().replace("-", "_").replace(".", "_").split("_")
    return words[-1] in SECRET_WORDS


def plain(value: object) -> object:
    """Return `value` as JSON data: numbers, text, lists and objects."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, timedelta):
        return f"{value.total_seconds():g} s"
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, Mapping):
        return {
            str(name): HIDDEN if is_secret(str(name)) else plain(item)
            for name, item in value.items()
        }
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Iterable):
        return [plain(item) for item in value]
    return str(value)


def plain_sections(sections: Iterable[DumpSection]) -> list[DumpSection]:
    """Return `sections` as JSON data, with secrets hidden."""
    found = []
    for section in sections:
        entries: Entries = []
        for name, value in section.entries:
            entries.append((name, HIDDEN if is_secret(name) else plain(value)))
        found.append(DumpSection(section.title, entries))
    return found


def format_sections(sections: Iterable[DumpSection]) -> str:
    """Return `sections` as text with aligned columns."""
    lines: list[str] = []
    for section in sections:
        lines.append(f"-- {section.title} --")
        width = max((len(name) for name, _ in section.entries), default=0)
        for name, value in section.entries:
            lines.extend(_format_entry(name, value, width))
    return "\n".join(lines)


def _format_entry(name: str, value: object, width: int) -> list[str]:
    """Return the lines of one entry; lists take a line per item."""
    label = f"{name:>{width}}: "
    if isinstance(value, dict):
        value = [f"{key}: {item}" for key, item in value.items()]
    if not isinstance(value, list):
        return [f"{label}{value}"]
    if not value:
        return [f"{label}(none)"]
    indent = " " * len(label)
    return [f"{label if index == 0 else indent}{item}" for index, item in enumerate(value)]
