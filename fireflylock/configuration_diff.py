"""Describes the differences between two configuration versions in sentences."""

from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any

from fireflylock.model import BackendServer, Configuration, EntryVM, ExpectedPeak, Service
from fireflylock.units import format_duration


def diff(old: Configuration, new: Configuration) -> list[str]:
    """Return one sentence for each difference between `old` and `new`."""
    sentences: list[str] = []
    sentences.extend(_diff_items("Service", old.services, new.services))
    sentences.extend(_diff_items("Backend server", old.servers, new.servers))
    sentences.extend(_diff_items("Entry VM", old.vms, new.vms))
    sentences.extend(_diff_peaks(old.peaks, new.peaks))
    for statement in new.gone:
        if statement not in old.gone:
            sentences.append(
                f"{statement.name} is stated gone by {statement.author}: {statement.reason}."
            )
    for statement in old.gone:
        if statement not in new.gone:
            sentences.append(f"{statement.name} is no longer stated gone.")
    return sentences


_Item = Service | BackendServer | EntryVM


def _diff_items(kind: str, old: Mapping[str, _Item], new: Mapping[str, _Item]) -> Iterator[str]:
    """Yield a sentence for each item added, removed or changed."""
    for name in sorted(set(old) | set(new)):
        if name not in old:
            yield f"{kind} {name} is added{_location_suffix(new[name])}."
            continue
        if name not in new:
            yield f"{kind} {name} is removed."
            continue
        for item in fields(new[name]):
            before = getattr(old[name], item.name)
            after = getattr(new[name], item.name)
            if before != after:
                yield f"{kind} {name}: {item.name} {value_text(before)} -> {value_text(after)}."


def _location_suffix(item: _Item) -> str:
    """Describe the service and zone of an added item."""
    if isinstance(item, BackendServer):
        return f" to {item.service} in {item.zone}"
    if isinstance(item, EntryVM):
        return f" in {item.zone}"
    return ""


def value_text(value: Any) -> str:
    """Format a value of the model for people."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if hasattr(value, "total_seconds"):
        return format_duration(value)
    if isinstance(value, tuple):
        return " ".join(value) or "(none)"
    if hasattr(value, "value"):
        return str(value.value)
    return str(value) or "(none)"


def _diff_peaks(old: tuple[ExpectedPeak, ...], new: tuple[ExpectedPeak, ...]) -> Iterator[str]:
    """Yield a sentence for each service whose expected peaks change."""
    for service in sorted({peak.service for peak in (*old, *new)}):
        before = [peak for peak in old if peak.service == service]
        after = [peak for peak in new if peak.service == service]
        if before == after:
            continue
        yield f"Service {service}: expected peaks {_peaks_text(before)} -> {_peaks_text(after)}."


def _peaks_text(peaks: list[ExpectedPeak]) -> str:
    """Format expected peaks briefly."""
    shown = []
    for peak in peaks:
        keys = f" with {len(peak.hot_keys)} hot keys" if peak.hot_keys else ""
        times = f"{format_time_of_day(peak.start)}-{format_time_of_day(peak.end)}"
        shown.append(f"{times} {peak.rate:g}/s{keys}")
    return ", ".join(shown) or "(none)"


def format_time_of_day(offset: Any) -> str:
    """Return a time since midnight as ``hh:mm``."""
    minutes = int(offset.total_seconds()) // 60
    return f"{minutes // 60:02}:{minutes % 60:02}"
