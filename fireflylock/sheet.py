"""The planners' sheet: CSV tables of services, servers, entry VMs and expected peaks."""

import csv
import io
from dataclasses import dataclass, replace
from typing import Any

from pydantic import ValidationError

from fireflylock.configuration_rules import check_change
from fireflylock.exceptions import SheetError
from fireflylock.model import Configuration
from fireflylock.sheet_cells import CLEARED, CellError, Row
from fireflylock.sheet_rows import ROW_KINDS, HotKeyRow, PeakRow, RemoveRow, ServiceRow

MAX_SHEET_BYTES = 4 * 1024**2
# Further errors are only counted, because a longer list does not help.
MAX_PROBLEMS = 200
DELIMITERS = ",;\t"
KIND = "kind"


@dataclass(frozen=True)
class Line:
    """One row of a table in the sheet.

    Attributes
    ----------
    number : int
        Line in the file, from 1.
    columns : list of str
        Header of the table.
    row : Row
        The validated content.
    """

    number: int
    columns: list[str]
    row: Row


def decode_sheet(data: bytes) -> str:
    """Decode a sheet's file in the encodings that spreadsheets write.

    Raises
    ------
    SheetError
        The bytes are too long or not valid text.
    """
    if len(data) > MAX_SHEET_BYTES:
        raise SheetError([f"The sheet is longer than {MAX_SHEET_BYTES} bytes."])
    encoding = "utf-16" if data[:2] in (b"\xff\xfe", b"\xfe\xff") else "utf-8-sig"
    try:
        return data.decode(encoding)
    except UnicodeDecodeError as error:
        raise SheetError([f"Byte {error.start} of the sheet is not {encoding}."]) from None


def read_sheet(text: str, base: Configuration) -> Configuration:
    """Return `base` with the changes of the sheet; its version stays the same.

    A table starts with a line whose first cell is ``kind``. Items that the sheet
    does not name are unchanged, and so are the values of blank cells. The expected peaks of a
    service that the sheet names are replaced as a whole.

    Raises
    ------
    SheetError
        Lists every error with line and column; no part of the sheet is to be applied.
    """
    reader = SheetReader(text)
    reader.read()
    content = reader.apply(base)
    problems = reader.problems
    if not problems:
        problems.extend(check_change(base, content))
    if len(problems) > MAX_PROBLEMS:
        more = len(problems) - MAX_PROBLEMS
        problems = [*problems[:MAX_PROBLEMS], f"And {more} more mistakes."]
    if problems:
        raise SheetError(problems)
    return content


class SheetReader:
    """Reads one sheet and collects its errors.

    Parameters
    ----------
    text : str
        The sheet.

    Attributes
    ----------
    lines : list of Line
        The valid lines.
    problems : list of str
        One sentence per error.
    invalid_kinds : set of str
        Kinds of the invalid rows.
    """

    def __init__(self, text: str) -> None:
        self.text = text.removeprefix("\ufeff")
        self.delimiter = find_delimiter(self.text)
        self.columns: list[str] = []
        self.lines: list[Line] = []
        self.problems: list[str] = []
        self.invalid_kinds: set[str] = set()

    def read(self) -> None:
        """Read every line."""
        reader = csv.reader(io.StringIO(self.text, newline=""), delimiter=self.delimiter)
        while True:
            try:
                cells = next(reader, None)
            except csv.Error as error:
                self.problems.append(f"Line {reader.line_num}: {error}.")
                break
            if cells is None:
                break
            self.read_line(reader.line_num, cells)
        self.find_duplicates()

    def read_line(self, number: int, cells: list[str]) -> None:
        """Read one line; blank lines and those that start with ``#`` are skipped."""
        cells = [cell.strip() for cell in cells]
        while cells and not cells[-1]:
            cells.pop()
        if not cells or cells[0].startswith("#"):
            return
        if cells[0].lower() == KIND:
            self.read_header(number, cells)
            return
        if not self.columns:
            self.problems.append(f"Line {number}: no table header above; it starts with kind.")
            return
        kind = cells[0].lower().replace("-", "_")
        model = ROW_KINDS.get(kind)
        if model is None:
            allowed = ", ".join(ROW_KINDS)
            self.add_problem(number, self.columns, KIND, f"{cells[0]!r}; allowed: {allowed}")
            return
        if len(cells) > len(self.columns):
            place = f"Line {number}, column {len(self.columns) + 1}"
            self.problems.append(f"{place}: there is no header above this cell.")
            self.invalid_kinds.add(kind)
            return
        self.read_row(number, model, cells)

    def read_header(self, number: int, cells: list[str]) -> None:
        """Start a new table with the given header."""
        self.columns = [cell.lower().replace(" ", "_").replace("-", "_") for cell in cells]
        for index, column in enumerate(self.columns):
            if column and column in self.columns[:index]:
                self.problems.append(
                    f"Line {number}, column {index + 1} ({column}): stands twice."
                )

    def read_row(self, number: int, model: type[Row], cells: list[str]) -> None:
        """Validate the cells of one row."""
        values = {}
        for column, cell in zip(self.columns[1:], cells[1:], strict=False):
            if cell == CLEARED and column in model.clearable:
                values[column] = ""
                continue
            if cell:
                values[column] = cell
        # Spreadsheets that separate cells by semicolons write decimals with a comma.
        if self.delimiter == ";":
            for column in model.decimals & values.keys():
                values[column] = values[column].replace(",", ".")
        try:
            row = model.model_validate(values)
        except ValidationError as error:
            self.invalid_kinds.add(model.kind)
            for detail in error.errors(include_url=False):
                self.add_validation_error(number, model, detail)
            return
        self.lines.append(Line(number, self.columns, row))

    def add_validation_error(self, number: int, model: type[Row], detail: Any) -> None:
        """Add one error that pydantic found in a row."""
        column = str(detail["loc"][0]) if detail["loc"] else ""
        message = detail["msg"].removeprefix("Value error, ")
        allowed = model.allowed(column)
        if detail["type"] == "extra_forbidden":
            message = f"not a column of a {model.kind}"
            allowed = ", ".join(model.model_fields)
        if detail["type"] == "missing":
            message = "missing"
        if allowed and "allowed:" not in message:
            message += f"; allowed: {allowed}"
        self.add_problem(number, self.columns, column, message)

    def add_problem(self, number: int, columns: list[str], column: str, message: str) -> None:
        """Add an error with its position; `columns` is the header of its table."""
        place = f"Line {number}"
        if column in columns:
            place += f", column {columns.index(column) + 1} ({column})"
        elif column:
            place += f", column {column}"
        self.problems.append(f"{place}: {message}.")

    def find_duplicates(self) -> None:
        """Report every line that has the same identity as an earlier one."""
        first: dict[tuple[str, ...], int] = {}
        for line in self.lines:
            identity = line.row.identity()
            earlier = first.setdefault(identity, line.number)
            if earlier != line.number:
                self.problems.append(
                    f"Line {line.number}: {' '.join(identity)} stands in line {earlier}."
                )

    def apply(self, base: Configuration) -> Configuration:
        """Return `base` with every valid line applied."""
        content = self.without_replaced_peaks(base)
        for line in sorted(self.lines, key=lambda line: line.row.order):
            try:
                content = line.row.apply(content)
            except CellError as error:
                # A service whose own row is invalid is not also reported as missing.
                if error.column == "service" and "service" in self.invalid_kinds:
                    continue
                self.add_problem(line.number, line.columns, error.column, str(error))
        return content

    def without_replaced_peaks(self, base: Configuration) -> Configuration:
        """Return `base` without the expected peaks of the services that the sheet names."""
        named = set()
        for line in self.lines:
            if isinstance(line.row, ServiceRow):
                named.add(line.row.name)
            if isinstance(line.row, PeakRow | HotKeyRow):
                named.add(line.row.service)
            if isinstance(line.row, RemoveRow) and line.row.what == "service":
                named.add(line.row.name)
        kept = [peak for peak in base.peaks if peak.service not in named]
        return replace(base, peaks=tuple(kept))


def find_delimiter(text: str) -> str:
    """Return the character that separates the cells: the one after the first ``kind``."""
    for line in text.splitlines():
        start = line.lstrip(" \"'").lower()
        if not start.startswith(KIND):
            continue
        rest = start.removeprefix(KIND).lstrip(" \"'")
        if rest and rest[0] in DELIMITERS:
            return rest[0]
    return DELIMITERS[0]


def write_sheet(configuration: Configuration) -> str:
    """Return a sheet with the complete `configuration`."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    for model in ROW_KINDS.values():
        rows = list(model.rows_of(configuration))
        if not rows:
            continue
        columns = list(model.model_fields)
        writer.writerow([KIND, *columns])
        for row in rows:
            writer.writerow([model.kind, *(row.cell(column) for column in columns)])
        writer.writerow([])
    return output.getvalue()
