"""Text tables with aligned columns, never truncated to the terminal width."""

from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table; columns that hold only numbers are aligned to the right."""
    body = [[format_cell(value) for value in row] for row in rows]
    numbers = []
    for index in range(len(header)):
        numbers.append(all(isinstance(row[index], int | float) for row in rows))
    widths = [len(title) for title in header]
    for row in body:
        for index, text in enumerate(row):
            widths[index] = max(widths[index], len(text))
    lines = []
    for row in [list(header), ["-" * width for width in widths], *body]:
        cells = []
        for index, text in enumerate(row):
            width = widths[index]
            cells.append(text.rjust(width) if numbers[index] else text.ljust(width))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_cell(value: object) -> str:
    """Return the text of one cell."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)
