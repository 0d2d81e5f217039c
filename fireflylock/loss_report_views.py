"""Output of loss reports as tables, as JSON and as a plot."""

import math
import sys
from collections import Counter
from dataclasses import asdict

import msgspec
from rich.console import Console
from rich.table import Table

from fireflylock.loss_report import LossReport, UnownedSpan

# Maximum number of rows of a table.
MAX_ROWS = 20
# Columns of the output if it is no terminal.
PIPE_WIDTH = 160


def print_report(report: LossReport, console: Console | None = None) -> None:
    """Print a report as tables."""
    console = console or Console(width=None if sys.stdout.isatty() else PIPE_WIDTH)
    console.print(f"{report.requests} requests given up; {report.lines} lines read")
    for table in (causes(report), leaders(report), unowned_spans(report), seconds(report)):
        if table.row_count:
            console.print(table)


def columns(title: str, *names: str) -> Table:
    """Return an empty table; columns whose names end in ``#`` are right-aligned."""
    table = Table(title=title, title_justify="left")
    for name in names:
        table.add_column(name.rstrip("#"), justify="right" if name.endswith("#") else "left")
    return table


def causes(report: LossReport) -> Table:
    """Return failed requests by cause."""
    names = ("requests#", "waited#", "error", "detail", "service", "route", "zones", "seconds")
    table = columns("Requests given up", *names)
    losses = sorted(report.losses.items(), key=lambda item: -item[1].requests)
    for cause, loss in losses[:MAX_ROWS]:
        zones = ", ".join(f"{zone or '?'} {count}" for zone, count in loss.by_zone.most_common())
        span = f"{min(loss.by_second)} to {max(loss.by_second)}"
        table.add_row(
            str(loss.requests),
            str(loss.waited),
            cause.error,
            cause.detail,
            cause.service,
            cause.route,
            zones,
            span,
        )
    return table


def leaders(report: LossReport) -> Table:
    """Return the terms of leaders, and the outages of the store."""
    table = columns("Leaders and outages of the store", "from#", "to#", "VM", "what ended it")
    rows = [(term.begin, term.end, term.vm, term.reason) for term in report.terms]
    rows += [(begin, end, vm, "the store was unavailable") for vm, begin, end in report.outages]
    for begin, end, vm, reason in sorted(rows, key=lambda row: row[0])[: 2 * MAX_ROWS]:
        table.add_row(f"{begin:.2f}", "" if end is None else f"{end:.2f}", vm, reason)
    return table


def unowned_spans(report: LossReport) -> Table:
    """Return the longest spans for which keys had no owner."""
    names = ("from#", "to#", "seconds#", "ranges#", "service", "owner", "reason", "next owner")
    table = columns("Keys without an owner, longest first", *names)
    last = last_instant(report)
    groups: dict[tuple, list[UnownedSpan]] = {}
    for span in report.spans:
        end = math.inf if span.end is None else round(span.end, 1)
        key = (span.service, span.owner, span.reason, round(span.begin, 1), end)
        groups.setdefault(key, []).append(span)

    def length(spans: list[UnownedSpan]) -> float:
        span = spans[0]
        return (last if span.end is None else span.end) - span.begin

    for spans in sorted(groups.values(), key=length, reverse=True)[:MAX_ROWS]:
        span = spans[0]
        table.add_row(
            f"{span.begin:.2f}",
            "" if span.end is None else f"{span.end:.2f}",
            f"{length(spans):.2f}",
            str(len(spans)),
            span.service,
            span.owner,
            span.reason,
            ", ".join(sorted({one.next_owner for one in spans if one.next_owner})),
        )
    return table


def seconds(report: LossReport) -> Table:
    """Return the seconds with the most failed requests, and their main cause."""
    table = columns("Worst seconds", "second#", "requests#", "error", "detail")
    total: Counter = Counter()
    main: dict[int, Counter] = {}
    for cause, loss in report.losses.items():
        total.update(loss.by_second)
        for second, count in loss.by_second.items():
            main.setdefault(second, Counter())[cause] += count
    for second, count in total.most_common(MAX_ROWS):
        cause, _ = main[second].most_common(1)[0]
        table.add_row(str(second), str(count), cause.error, cause.detail)
    return table


def last_instant(report: LossReport) -> float:
    """Return the latest time in the report."""
    instants = [span.begin for span in report.spans]
    instants += [span.end for span in report.spans if span.end is not None]
    instants += [term.end for term in report.terms if term.end is not None]
    instants += [second for loss in report.losses.values() for second in loss.by_second]
    return max(instants, default=0.0)


def report_json(report: LossReport) -> str:
    """Return the complete report as JSON."""
    losses = [
        asdict(cause)
        | {
            "requests": loss.requests,
            "waited": loss.waited,
            "by_second": dict(sorted(loss.by_second.items())),
            "by_zone": dict(loss.by_zone),
        }
        for cause, loss in report.losses.items()
    ]
    content = {
        "requests": report.requests,
        "losses": losses,
        "dark_spans": [asdict(span) for span in report.spans],
        "leaders": [asdict(term) for term in report.terms],
        "store_outages": report.outages,
        "lines": report.lines,
        "bad_lines": report.bad_lines,
        "bad_examples": report.bad_examples,
    }
    return msgspec.json.format(msgspec.json.encode(content)).decode()


def plot_report(report: LossReport, path: str) -> None:
    """Plot failed requests, leaders, outages and unowned keys on one time axis.

    Raises
    ------
    ValueError
        Matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise ValueError("--plot needs matplotlib; install fireflylock[dev]") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    last = last_instant(report)
    figure, (top, middle, bottom) = pyplot.subplots(3, 1, sharex=True, figsize=(12, 9))
    losses = sorted(report.losses.items(), key=lambda item: -item[1].requests)
    below: Counter = Counter()
    by_text: dict[str, Counter] = {}
    for cause, loss in losses:
        by_text.setdefault(f"{cause.error}: {cause.detail}"[:60], Counter()).update(loss.by_second)
    for text, counts in list(by_text.items())[:8]:
        at = sorted(counts)
        top.bar(
            at, [counts[s] for s in at], bottom=[below[s] for s in at], label=text, align="edge"
        )
        below.update(counts)
    top.set_ylabel("requests given up")
    if by_text:
        top.legend(fontsize=7)
    vms = sorted({term.vm for term in report.terms} | {vm for vm, _, _ in report.outages})
    for term in report.terms:
        end = last if term.end is None else term.end
        middle.barh(vms.index(term.vm), end - term.begin, left=term.begin, color="tab:green")
    for vm, begin, end in report.outages:
        middle.barh(vms.index(vm) + 0.3, end - begin, left=begin, height=0.3, color="tab:red")
    middle.set_yticks(range(len(vms)), vms, fontsize=7)
    middle.set_title("leader (green), no store (red)", fontsize=8)
    spans = [span for span in report.spans if (span.end or last) - span.begin > 0.1]
    owners = sorted({span.owner for span in spans})
    for span in spans:
        end = last if span.end is None else span.end
        bottom.barh(owners.index(span.owner), end - span.begin, left=span.begin, alpha=0.6)
    bottom.set_yticks(range(len(owners)), owners, fontsize=6)
    bottom.set_title("keys without an owner, by the owner they left", fontsize=8)
    bottom.set_xlabel("seconds since the first line")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
