"""Durations and sizes as written in settings and sheets: ``400 ms``, ``64 KiB``."""

import re
from datetime import timedelta

DURATION_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}

DURATION_FORM = "a number with ms, s, min or h, such as 400 ms"
SIZE_FORM = "a whole number with B, KiB, MiB or GiB, such as 64 KiB"

_QUANTITY = re.compile(r"(?P<number>[0-9]{1,15}(?:\.[0-9]{1,6})?)\s*(?P<unit>[A-Za-z]+)", re.ASCII)


def parse_duration(text: str) -> timedelta:
    """Return the duration that `text` states.

    Raises
    ------
    ValueError
        The text is not a number followed by a unit of `DURATION_UNITS`.
    """
    match = _QUANTITY.fullmatch(text.strip())
    if match is None or match["unit"] not in DURATION_UNITS:
        raise ValueError(f"{text!r} is not a duration; allowed: {DURATION_FORM}")
    try:
        return float(match["number"]) * DURATION_UNITS[match["unit"]]
    except OverflowError:
        raise ValueError(f"{text!r} is too long a duration") from None


def format_duration(duration: timedelta) -> str:
    """Return `duration` in the largest unit that states it as a whole number."""
    milliseconds = round(duration / timedelta(milliseconds=1))
    for name, factor in (("h", 3_600_000), ("min", 60_000), ("s", 1000)):
        if milliseconds and milliseconds % factor == 0:
            return f"{milliseconds // factor} {name}"
    return f"{milliseconds} ms"


def parse_size(text: str) -> int:
    """Return the number of bytes that `text` states.

    Raises
    ------
    ValueError
        The text is not a whole number followed by a unit of `SIZE_UNITS`.
    """
    match = _QUANTITY.fullmatch(text.strip())
    if match is None or match["unit"] not in SIZE_UNITS or "." in match["number"]:
        raise ValueError(f"{text!r} is not a size; allowed: {SIZE_FORM}")
    return int(match["number"]) * SIZE_UNITS[match["unit"]]
