"""The closing table of a demo."""

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise

from hdrh.histogram import HdrHistogram

from demo.caller import ANSWERED, NO_CONNECTION, NOT_RUN, UNKNOWN, Attempt
from demo.invariants import Findings
from demo.traffic import LOOK_UP, Call, Traffic
from fireflylock.tables import format_table

LONGEST_MS = 60_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True)
class Gap:
    """A time in which a key could not be served.

    Attributes
    ----------
    service, key : str
        Which key.
    seconds : float
        From the start of the first refused or lost try to the next answer.
    since : float
        When it began, in seconds since the first try of all.
    """

    service: str
    key: str
    seconds: float
    since: float


def attempts_of(calls: list[Call]) -> list[Attempt]:
    """Return the finished tries of all calls."""
    return [attempt for call in calls for attempt in call.attempts if attempt.ended]


def longest_gaps(attempts: list[Attempt], probed: set[str]) -> dict[str, Gap]:
    """Return the longest gap of any probed key, by service.

    Only probed keys are asked often enough to tell.  A refused connection does not count,
    because the next entry VM is asked at once; nor does an order that has to be looked up,
    because its key is served.
    """
    by_key: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.key not in probed or attempt.kind == LOOK_UP:
            continue
        if attempt.outcome != NO_CONNECTION:
            by_key[attempt.service, attempt.key].append(attempt)
    longest: dict[str, Gap] = {}
    first = min((attempt.started for attempt in attempts), default=0.0)
    for (service, key), tries in by_key.items():
        seconds, since = longest_gap(tries)
        gap = Gap(service, key, seconds, since - first)
        if service not in longest or gap.seconds > longest[service].seconds:
            longest[service] = gap
    return longest


def longest_gap(tries: list[Attempt]) -> tuple[float, float]:
    """Return the longest time in which no try of one key was answered, and its start."""
    longest = (0.0, 0.0)
    failing_since = None
    for attempt in sorted(tries, key=lambda attempt: attempt.ended):
        if attempt.outcome != ANSWERED:
            if failing_since is None:
                failing_since = attempt.started
            longest = max(longest, (attempt.ended - failing_since, failing_since))
            continue
        if failing_since is not None and attempt.started >= failing_since:
            longest = max(longest, (attempt.ended - failing_since, failing_since))
            failing_since = None
    return longest


def wrong_answers(attempts: list[Attempt]) -> list[str]:
    """Return a sentence for each answer that belongs to somebody else's request."""
    found = []
    for attempt in attempts:
        if attempt.outcome == ANSWERED and attempt.answer.get("key") != attempt.key:
            found.append(f"Request {attempt.request_id} got an answer for another key.")
    return found


def differing_answers(calls: list[Call]) -> list[str]:
    """Return a sentence for each order whose tries were answered differently."""
    found = []
    for call in calls:
        answers = [attempt for attempt in call.attempts if attempt.outcome == ANSWERED]
        for first, second in pairwise(answers):
            if first.order and first.answer != second.answer:
                found.append(f"Order {first.order} was answered in two ways.")
    return found


def format_report(title: str, traffic: Traffic, findings: Findings, units_moved: int) -> str:
    """Return the closing table of one deployment."""
    attempts = attempts_of(traffic.calls) + attempts_of(traffic.probes)
    histogram = HdrHistogram(1, LONGEST_MS * 1000, 3)
    for attempt in attempts:
        if attempt.outcome == ANSWERED:
            histogram.record_value(max(1, round((attempt.ended - attempt.started) * 1e6)))
    outcomes = defaultdict(int)
    kinds = defaultdict(int)
    for attempt in attempts:
        outcomes[attempt.outcome] += 1
        if attempt.kind:
            kinds[attempt.kind] += 1
    orders = {call.attempts[0].order for call in traffic.calls if call.attempts} - {""}
    look_up = sum(call.settled and not call.answered for call in traffic.calls)
    without = sum(not call.settled for call in traffic.calls)
    rows: list[tuple[str, object]] = [
        ("calls", len(traffic.calls)),
        ("  without any answer after all tries", without),
        ("  orders among them", len(orders)),
        ("  orders to look up: they may have run before a loss", look_up),
        ("requests sent (tries and probes)", len(attempts)),
        ("  answered", outcomes[ANSWERED]),
        ("  refused, not run", outcomes[NOT_RUN]),
        ("  outcome unknown", outcomes[UNKNOWN]),
        ("  connection refused by a lost entry VM", outcomes[NO_CONNECTION]),
    ]
    for kind, count in sorted(kinds.items()):
        rows.append((f"    of them: {kind}", count))
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / 1000
        rows.append((f"latency of an answer, p{percentile:g}, ms", f"{value:.1f}"))
    rows += [
        ("executions seen by the backend servers", len(findings.executions)),
        ("most executions of one order id (max 1)", findings.most_runs),
        ("most owners of a key at a moment (max 1)", findings.most_owners),
    ]
    probed = {attempt.key for attempt in attempts_of(traffic.probes)}
    for service, gap in sorted(longest_gaps(attempts, probed).items()):
        since = f" from second {gap.since:.1f} on" if gap.seconds else ""
        name = f"longest unavailable time of a {service} key, s"
        rows.append((name, f"{gap.seconds:.2f}{since}"))
    rows += [
        ("times a key moved to another backend server", findings.key_moves),
        ("hash slots and hot keys that changed owner", units_moved),
        ("rules broken", len(findings.broken)),
    ]
    table = format_table([title, ""], [[name, str(value)] for name, value in rows])
    return "\n".join([table, *findings.broken[:20]])
