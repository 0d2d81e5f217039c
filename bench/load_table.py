"""Prints the figures of ``python -m bench load --json`` as a table for the docs.

``python -m bench.load_table FIGURES.json...``
"""

import json
import sys
from pathlib import Path

COLUMNS = {
    "imbalance, mean": ("imbalance mean", "{:.3f}"),
    "imbalance, p99": ("p99", "{:.3f}"),
    "imbalance over bound, p99": ("over bound, p99", "{:.3f}"),
    "keys moved by choice": ("keys", "{:,.0f}"),
    "slots moved": ("slots", "{:,.0f}"),
    "keys per 0.01 imbalance removed": ("keys per 0.01", "{:,.0f}"),
    "unavailable": ("unavailable key-s", "{:,.0f}"),
    "latency p50": ("p50 ms", "{:.1f}"),
    "latency p99": ("p99 ms", "{:.1f}"),
    "refused": ("refused", "{:.4f}"),
    "worst customer's share": ("worst customer", "{:.3f}"),
}


def rows(figures: list[dict]) -> dict[str, dict[str, float]]:
    """Return the values of each "service policy" by the name of the figure."""
    found: dict[str, dict[str, float]] = {}
    for figure in figures:
        label, _, name = figure["name"].partition(": ")
        if len(label.split()) == 2 and name in COLUMNS:
            found.setdefault(label, {})[name] = figure["value"]
    return found


def main(argv: list[str]) -> int:
    """Print one row for each service and policy."""
    print("| Service, policy | " + " | ".join(title for title, _ in COLUMNS.values()) + " |")
    print("|---" * (len(COLUMNS) + 1) + "|")
    for source in argv:
        for label, values in rows(json.loads(Path(source).read_text())["figures"]).items():
            cells = [
                form.format(values[name]) if name in values else ""
                for name, (_, form) in COLUMNS.items()
            ]
            print(f"| {label} | " + " | ".join(cells) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
