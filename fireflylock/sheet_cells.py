"""Cell types of the planners' sheet, and the base class of its rows."""

import re
from abc import abstractmethod
from collections.abc import Iterator
from datetime import timedelta
from typing import Annotated, Any, ClassVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from fireflylock.configuration_diff import value_text
from fireflylock.model import Configuration, CutZonePolicy, ServerState

DAY = timedelta(days=1)


def _parse_yes_or_no(value: Any) -> Any:
    """Parse a boolean as planners and spreadsheets write it."""
    words = {"yes": True, "true": True, "no": False, "false": False}
    if not isinstance(value, str):
        return value
    if value.lower() not in words:
        raise ValueError(f"{value!r} is neither yes nor no")
    return words[value.lower()]


def _parse_time_of_day(value: Any) -> Any:
    """Parse ``hh:mm`` or ``hh:mm:ss``."""
    if not isinstance(value, str):
        return value
    match = re.fullmatch(r"(\d{1,2}):(\d{2})(?::(\d{2}))?", value, re.ASCII)
    if match is None:
        raise ValueError(f"{value!r} is not a time of day")
    hours, minutes, seconds = (int(part or 0) for part in match.groups())
    if minutes > 59 or seconds > 59:
        raise ValueError(f"{value!r} is not a time of day")
    return timedelta(hours=hours, minutes=minutes, seconds=seconds)


def _split_words(value: Any) -> Any:
    """Split a list separated by whitespace."""
    return tuple(value.split()) if isinstance(value, str) else value


def _to_lower_case(value: Any) -> Any:
    """Convert text to lower case, so that any case is accepted."""
    return value.lower() if isinstance(value, str) else value


YesOrNo = Annotated[bool, BeforeValidator(_parse_yes_or_no)]
TimeOfDay = Annotated[
    timedelta, BeforeValidator(_parse_time_of_day), Field(ge=timedelta(0), le=DAY)
]
Words = Annotated[tuple[str, ...], BeforeValidator(_split_words), Field(max_length=50)]
State = Annotated[ServerState, BeforeValidator(_to_lower_case)]
Policy = Annotated[CutZonePolicy, BeforeValidator(_to_lower_case)]
Header = Annotated[str, Field(pattern=r"^[A-Za-z0-9-]{0,64}$")]
Text = Annotated[str, Field(max_length=256)]
Key = Annotated[str, Field(min_length=1, max_length=512)]
Rate = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]

YES_FORM = "yes or no"
STATE_FORM = "in, draining or out"
RATE_FORM = "a number from 0, in requests per second"
WEIGHT_FORM = "a number from 0 to 1000000"
TIME_FORM = "hh:mm"
HEADER_FORM = "a header name, or - for none"
# Marks a value to be cleared; a blank cell leaves the value unchanged.
CLEARED = "-"


def cell(allowed: str, **bounds: Any) -> Any:
    """Return a field that may be left blank."""
    return Field(None, json_schema_extra={"allowed": allowed}, **bounds)


def required_cell(allowed: str, **bounds: Any) -> Any:
    """Return a field that must be filled in."""
    return Field(json_schema_extra={"allowed": allowed}, **bounds)


class CellError(ValueError):
    """A cell is inconsistent with the rest of the configuration.

    Parameters
    ----------
    column : str
        Name of the cell's column.
    text : str
        What is wrong, without a full stop.
    """

    def __init__(self, column: str, text: str) -> None:
        super().__init__(text)
        self.column = column


class Row(BaseModel):
    """One row of the sheet.

    Attributes
    ----------
    kind : str
        First cell of the row.
    order : int
        Rows of lower order are applied first.
    decimals : frozenset of str
        Columns that hold decimal numbers.
    clearable : frozenset of str
        Columns where `CLEARED` means an empty value.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: ClassVar[str]
    order: ClassVar[int] = 0
    decimals: ClassVar[frozenset[str]] = frozenset()
    clearable: ClassVar[frozenset[str]] = frozenset()

    @classmethod
    def allowed(cls, column: str) -> str:
        """Return the description of the values that a column allows."""
        field = cls.model_fields.get(column)
        extra = field.json_schema_extra if field is not None else None
        return str(extra["allowed"]) if isinstance(extra, dict) else ""

    @classmethod
    @abstractmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["Row"]:
        """Yield the rows for this kind of item in `configuration`."""

    @abstractmethod
    def identity(self) -> tuple[str, ...]:
        """Return the key that must be unique within a sheet."""

    @abstractmethod
    def apply(self, content: Configuration) -> Configuration:
        """Return `content` with this row applied.

        Raises
        ------
        CellError
            The row is inconsistent with the configuration.
        """

    def non_blank_values(self) -> dict[str, Any]:
        """Return the cells that are not blank, by column."""
        return {name: getattr(self, name) for name in self.model_fields_set}

    def cell(self, column: str) -> str:
        """Return the text of a cell."""
        value = getattr(self, column)
        if column in self.clearable and not value:
            return CLEARED
        if value is None:
            return ""
        if isinstance(value, float):
            return repr(value)
        return value_text(value) if value != "" else ""
