"""Reads a configuration from a file, and reports everything that can't be decoded."""

from collections import Counter
from typing import Any

import msgspec

from fireflylock.config_check import Finding, Severity
from fireflylock.direct.model import RouteTable
from fireflylock.exceptions import ProtocolError
from fireflylock.json_values import decode_json
from fireflylock.platform.operator_config import (
    Columns,
    ConfigTable,
    RouteRow,
    ServiceRow,
    convert_route,
    convert_service,
    decode_config,
)

# Longest part of an unknown name that is shown.
MAX_SHOWN_CHARACTERS = 64


def read_config(data: bytes) -> tuple[RouteTable | None, list[Finding]]:
    """Decode a configuration; return it, or None, and why it would not be used.

    Parameters
    ----------
    data : bytes
        The configuration as it is written to the store.
    """
    try:
        table = decode_json(data, ConfigTable)
    except ProtocolError as error:
        return None, [error_of("file", error)]
    findings: list[Finding] = []
    services: dict[str, ServiceRow] = {}
    for where, row in named_rows("service", table.services, ServiceRow, findings):
        services[row.name] = row
        try:
            convert_service(row)
        except (ProtocolError, ValueError) as error:
            findings.append(error_of(where, error))
    for where, row in named_rows("route", table.routes, RouteRow, findings):
        try:
            convert_route(row, services)
        except (ProtocolError, ValueError) as error:
            findings.append(error_of(where, error))
    try:
        return decode_config(data), findings
    except ProtocolError as error:
        # Most of the time the same as one of the others, which name their entries.
        return None, findings or [error_of("file", error)]


def named_rows(
    kind: str, table: Columns, row_type: type, findings: list[Finding]
) -> list[tuple[str, Any]]:
    """Return the rows of a table that can be decoded, and how to call them in a finding.

    Parameters
    ----------
    kind : str
        What the rows are.
    table : Columns
        The table.
    row_type : type
        Type of a row.
    findings : list of Finding
        The errors of the others are added to it.
    """
    for column, count in Counter(table.columns).items():
        if count > 1:
            shown = column[:MAX_SHOWN_CHARACTERS]
            findings.append(Finding(Severity.ERROR, f"{kind}s", f"column {shown!r} occurs twice"))
    found = []
    names: Counter[str] = Counter()
    for number, values in enumerate(table.rows, 1):
        where = f"{kind} {number}"
        try:
            fields = Columns(table.columns, [values]).named_rows()[0]
            row = msgspec.convert(fields, row_type)
        except (ProtocolError, ValueError) as error:
            findings.append(error_of(where, error))
            continue
        where = f"{kind} {row.name}"
        names[row.name] += 1
        if names[row.name] == 2:
            findings.append(Finding(Severity.ERROR, where, f"several {kind}s have this name"))
        found.append((where, row))
    return found


def error_of(where: str, error: Exception) -> Finding:
    """Return an exception as a finding."""
    return Finding(Severity.ERROR, where, str(error))
