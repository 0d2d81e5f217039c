"""Figures: what a benchmark measured, each with the bound it has to keep."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Figure:
    """One measured value.

    Attributes
    ----------
    name, unit : str
        What was measured, and in which unit.
    value : float
        The measurement.
    bound : float or None
        The limit that the value is held against; None when there is none.
    ok : bool or None
        Whether the value keeps the bound; None when nothing is demanded.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    ok: bool | None = None


class Figures:
    """The figures of one run of a benchmark, in the order in which they were added."""

    def __init__(self) -> None:
        self.rows: list[Figure] = []

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        bound: float | None = None,
        ok: bool | None = None,
    ) -> None:
        """Add one figure.

        Parameters
        ----------
        name, value, unit
            What was measured.
        bound : float, optional
            The limit that is printed beside the value.
        ok : bool, optional
            Whether the value keeps the bound.
        """
        self.rows.append(Figure(name, value, unit, bound, ok))

    def at_most(self, name: str, value: float, unit: str, bound: float) -> None:
        """Add a figure that must not exceed `bound`."""
        self.add(name, value, unit, bound, bool(value <= bound))

    def at_least(self, name: str, value: float, unit: str, bound: float) -> None:
        """Add a figure that must not fall below `bound`."""
        self.add(name, value, unit, bound, bool(value >= bound))

    @property
    def ok(self) -> bool:
        """Whether no figure broke its bound."""
        return all(row.ok is not False for row in self.rows)

    def is_ok_but_for(self, known: str) -> bool:
        """Return whether every figure that broke its bound stands as a line in `known`."""
        lines = {line.strip() for line in known.splitlines()}
        return all(row.ok is not False or row.name in lines for row in self.rows)

    def to_json(self) -> str:
        """Return ``{"figures": [...]}`` with one object per figure."""
        return json.dumps({"figures": [asdict(row) for row in self.rows]}, indent=1)

    def to_table(self) -> str:
        """Return a table for people, one line per figure."""
        width = max([len(row.name) for row in self.rows], default=0)
        lines = [_table_line(row, width) for row in self.rows]
        return "\n".join(lines)


def _table_line(row: Figure, width: int) -> str:
    line = f"{row.name:<{width}}  {row.value:>14.6g} {row.unit:<14}"
    if row.bound is not None:
        line += f" bound {row.bound:g}"
    if row.ok is not None:
        line += " ok" if row.ok else " BROKEN"
    return line.rstrip()
