"""What the structured logs of some VMs say was lost, when, and why.

It reads what both data paths write: lines of JSON, with or without a prefix that a log
collector or a test bench has put before them.
"""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

# Events that end a leader's time.
LEADER_STARTED = "right to place keys won"
LEADER_ENDED = ("placing of keys stops here", "right to place keys lost")
# A request that was given up later than this after its arrival had waited, in seconds.
MIN_WAIT = 0.05
# Addresses in details, which would make a cause of its own out of each server.
ADDRESS = re.compile(r"\('[^')]*', \d+\)")
# Lines that are kept as examples of what can't be read.
MAX_BAD_EXAMPLES = 5


class LogLine(msgspec.Struct):
    """The fields of a log line that the ledger uses; others are ignored."""

    event: str
    timestamp: datetime
    vm: str = ""
    zone: str = ""
    request_id: str = ""
    route: str = ""
    service: str = ""
    error: str = ""
    detail: str = ""
    reason: str = ""
    owner: str | None = None
    first: int = -1
    last: int = -1
    left_out: int = 0
    waited: float = 0.0
    away: float = 0.0
    placed: list[tuple[int, int, str]] = []


@dataclass(frozen=True)
class Cause:
    """Why requests got no success: error kind, its detail, service and route."""

    error: str
    detail: str
    service: str
    route: str


@dataclass
class Loss:
    """Requests given up for one cause.

    Attributes
    ----------
    requests : int
        How many, those included that the logs left out.
    waited : int
        Written ones that were refused after a wait.
    by_second, by_zone : Counter
        The same, by whole second since the first line and by availability zone.
    """

    requests: int = 0
    waited: int = 0
    by_second: Counter = field(default_factory=Counter)
    by_zone: Counter = field(default_factory=Counter)


@dataclass
class UnownedSpan:
    """Keys that nobody served for a while.

    Attributes
    ----------
    service, owner : str
        Whose keys, and who owned them.
    first, last : int
        The keys, both inclusive.
    reason : str
        Why they left their owner.
    begin : float
        Seconds since the first line.
    end : float or None
        When they had an owner again; None when the logs end before.
    next_owner : str
        Who that was.
    """

    service: str
    owner: str
    first: int
    last: int
    reason: str
    begin: float
    end: float | None = None
    next_owner: str = ""


@dataclass(frozen=True)
class LeaderTerm:
    """One VM's time as leader; `end` is None where no line ends it."""

    vm: str
    begin: float
    end: float | None
    reason: str


@dataclass
class LossReport:
    """All that the logs say.

    Attributes
    ----------
    losses : dict of Cause to Loss
        Requests given up.
    spans : list of UnownedSpan
        In order of their beginning.
    terms : list of LeaderTerm
        Leaders, in order.
    outages : list of (str, float, float)
        VM, begin and end of the times without the platform's store.
    lines, bad_lines : int
        Lines that were read, and those that are no log lines.
    bad_examples : list of str
        The first of these.
    """

    losses: dict[Cause, Loss] = field(default_factory=dict)
    spans: list[UnownedSpan] = field(default_factory=list)
    terms: list[LeaderTerm] = field(default_factory=list)
    outages: list[tuple[str, float, float]] = field(default_factory=list)
    lines: int = 0
    bad_lines: int = 0
    bad_examples: list[str] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """All requests that were given up."""
        return sum(loss.requests for loss in self.losses.values())


def json_part(line: str) -> str:
    """Return a line from its first brace on: what stands before is a collector's prefix."""
    start = line.find("{")
    return "" if start < 0 else line[start:]


def read_lines(lines: Iterable[str], report: LossReport) -> Iterator[LogLine]:
    """Yield the log lines among `lines`; others are counted in the ledger."""
    decoder = msgspec.json.Decoder(LogLine)
    for line in lines:
        if not line.strip():
            continue
        try:
            yield decoder.decode(json_part(line))
            report.lines += 1
        except (msgspec.DecodeError, UnicodeError):
            report.bad_lines += 1
            if len(report.bad_examples) < MAX_BAD_EXAMPLES:
                report.bad_examples.append(line.strip()[:100])


def seconds_since(first_time: datetime, line: LogLine) -> float:
    """Return the seconds from `zero` to a line."""
    return (line.timestamp - first_time).total_seconds()


def build(lines: Iterable[str], begin: float = 0.0, end: float = float("inf")) -> LossReport:
    """Return the ledger of some VMs' logs.

    Parameters
    ----------
    lines : iterable of str
        Of any number of VMs, in any order.
    begin, end : float
        What to look at, in seconds since the earliest line.
    """
    report = LossReport()
    read = sorted(read_lines(lines, report), key=lambda line: line.timestamp)
    if not read:
        return report
    first_time = read[0].timestamp
    zones: dict[str, str] = {}
    leaders: dict[str, float] = {}
    open_spans: list[UnownedSpan] = []
    for line in read:
        at = seconds_since(first_time, line)
        if line.zone:
            zones[line.vm] = line.zone
        if at >= end:
            break
        match line.event:
            case "request given up":
                if at >= begin:
                    count_loss(report, line, at, zones.get(line.vm, ""))
            case "keys leave their owner":
                open_span(report, open_spans, line, at)
            case "keys placed":
                close_spans(open_spans, line, at)
            case "store is back":
                report.outages.append((line.vm, max(0.0, at - line.away), at))
            case event if event == LEADER_STARTED:
                for vm, since in leaders.items():
                    report.terms.append(LeaderTerm(vm, since, at, "unknown; another VM leads"))
                leaders = {line.vm: at}
            case event if event in LEADER_ENDED and line.vm in leaders:
                report.terms.append(LeaderTerm(line.vm, leaders.pop(line.vm), at, line.reason))
            case "process started" if line.vm in leaders:
                report.terms.append(LeaderTerm(line.vm, leaders.pop(line.vm), at, "process ended"))
    report.terms += [LeaderTerm(vm, at, None, "") for vm, at in leaders.items()]
    report.terms.sort(key=lambda term: term.begin)
    report.spans = [span for span in report.spans if span.end is None or span.end >= begin]
    return report


def count_loss(report: LossReport, line: LogLine, at: float, zone: str) -> None:
    """Count a request that was given up, and those that its line stands for."""
    detail = ADDRESS.sub("(address)", line.detail)
    cause = Cause(line.error, detail, line.service, line.route)
    loss = report.losses.setdefault(cause, Loss())
    count = 1 + line.left_out
    loss.requests += count
    loss.waited += line.waited >= MIN_WAIT
    loss.by_second[int(at)] += count
    loss.by_zone[zone] += count


def open_span(report: LossReport, open_spans: list[UnownedSpan], line: LogLine, at: float) -> None:
    """Note keys that leave their owner; a new leader may say so of the same ones again."""
    for span in open_spans:
        if span.service == line.service and span.first <= line.first <= span.last:
            return
    owner = line.owner or ""
    span = UnownedSpan(line.service, owner, line.first, line.last, line.reason, at)
    open_spans.append(span)
    report.spans.append(span)


def close_spans(open_spans: list[UnownedSpan], line: LogLine, at: float) -> None:
    """Note that keys have an owner again."""
    for first, last, owner in line.placed:
        for span in list(open_spans):
            if span.service != line.service or not first <= span.first <= last:
                continue
            span.end = at
            span.next_owner = owner
            open_spans.remove(span)


def lines_of_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Return all lines about one request, in order of their time, as they were written."""
    found = []
    for line in lines:
        if request_id not in line:
            continue
        try:
            decoded = msgspec.json.decode(json_part(line), type=LogLine)
        except msgspec.DecodeError:
            continue
        if decoded.request_id == request_id:
            found.append((decoded.timestamp, json_part(line).strip()))
    return [text for _, text in sorted(found)]
