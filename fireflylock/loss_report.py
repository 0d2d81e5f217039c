"""Reports which requests were lost, when and why, from the structured logs of VMs.

The logs of both data paths are read: lines of JSON, with or without a prefix added by a log
collector or a benchmark.
"""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

# Events at which the term of a leader starts and ends.
LEADER_STARTED = "right to place keys won"
LEADER_ENDED = ("placing of keys stops here", "right to place keys lost")
# Minimum seconds from arrival to failure at which a failed request counts as having waited.
MIN_WAIT = 0.05
# Addresses in details are masked, as they would make a separate cause of each server.
ADDRESS = re.compile(r"\('[^')]*', \d+\)")
# Maximum number of lines kept as examples of invalid lines.
MAX_BAD_EXAMPLES = 5


class LogLine(msgspec.Struct):
    """The fields of a log line that the report uses; others are ignored."""

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
    """Why requests failed: error kind, its detail, service and route."""

    error: str
    detail: str
    service: str
    route: str


@dataclass
class Loss:
    """Requests that failed for one cause.

    Attributes
    ----------
    requests : int
        Their number, including those omitted from the logs.
    waited : int
        Number of logged requests that failed after a wait.
    by_second, by_zone : Counter
        `requests` by whole second since the first line, and by availability zone.
    """

    requests: int = 0
    waited: int = 0
    by_second: Counter = field(default_factory=Counter)
    by_zone: Counter = field(default_factory=Counter)


@dataclass
class UnownedSpan:
    """A range of keys without an owner for some time.

    Attributes
    ----------
    service, owner : str
        Service of the keys, and their last owner.
    first, last : int
        Bounds of the range, both inclusive.
    reason : str
        Why they lost their owner.
    begin : float
        Seconds since the first line.
    end : float or None
        When they had an owner again; None when the logs end before.
    next_owner : str
        The new owner.
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
    """One VM's term as leader; `end` is None if no line ends it."""

    vm: str
    begin: float
    end: float | None
    reason: str


@dataclass
class LossReport:
    """Failed requests, unowned keys, leaders and store outages found in logs.

    Attributes
    ----------
    losses : dict of Cause to Loss
        Failed requests by cause.
    spans : list of UnownedSpan
        Unowned key ranges, by start time.
    terms : list of LeaderTerm
        Terms of leaders, by start time.
    outages : list of (str, float, float)
        VM, begin and end of each outage of the platform's store.
    lines, bad_lines : int
        Number of log lines, and of lines that can't be decoded.
    bad_examples : list of str
        The first lines that can't be decoded.
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
        """The number of all failed requests."""
        return sum(loss.requests for loss in self.losses.values())


def json_part(line: str) -> str:
    """Return a line from its first brace on, without the prefix of a log collector."""
    start = line.find("{")
    return "" if start < 0 else line[start:]


def read_lines(lines: Iterable[str], report: LossReport) -> Iterator[LogLine]:
    """Yield the log lines among `lines`; others are counted in the report."""
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
    """Return the seconds from `first_time` to a line."""
    return (line.timestamp - first_time).total_seconds()


def build(lines: Iterable[str], begin: float = 0.0, end: float = float("inf")) -> LossReport:
    """Return the report on the logs of VMs.

    Parameters
    ----------
    lines : iterable of str
        Lines of any number of VMs, in any order.
    begin, end : float
        Time span of the report, in seconds since the earliest line.
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
    """Count a failed request, and the omitted ones that its line stands for."""
    detail = ADDRESS.sub("(address)", line.detail)
    cause = Cause(line.error, detail, line.service, line.route)
    loss = report.losses.setdefault(cause, Loss())
    count = 1 + line.left_out
    loss.requests += count
    loss.waited += line.waited >= MIN_WAIT
    loss.by_second[int(at)] += count
    loss.by_zone[zone] += count


def open_span(report: LossReport, open_spans: list[UnownedSpan], line: LogLine, at: float) -> None:
    """Record unowned keys; a new leader may log the same keys again."""
    for span in open_spans:
        if span.service == line.service and span.first <= line.first <= span.last:
            return
    owner = line.owner or ""
    span = UnownedSpan(line.service, owner, line.first, line.last, line.reason, at)
    open_spans.append(span)
    report.spans.append(span)


def close_spans(open_spans: list[UnownedSpan], line: LogLine, at: float) -> None:
    """Record that keys have an owner again."""
    for first, last, owner in line.placed:
        for span in list(open_spans):
            if span.service != line.service or not first <= span.first <= last:
                continue
            span.end = at
            span.next_owner = owner
            open_spans.remove(span)


def lines_of_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Return all lines about one request unchanged, by time."""
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
