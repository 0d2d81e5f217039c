"""Metrics and log lines about callers that compete for too little room."""

import structlog

from fireflylock.load_control.caller_fairness import CallerFairness
from fireflylock.load_control.priority_admission import PriorityAdmission
from fireflylock.load_control.retry_after import ReturnPlanner
from fireflylock.metrics import StateMetric

log = structlog.get_logger()


class ContentionReport:
    """Tells operators who waited for others while room was short.

    Parameters
    ----------
    priorities : PriorityAdmission
        Order of requests between VMs.
    fairness : CallerFairness
        Shares of callers.
    returns : ReturnPlanner
        Returns of refused callers.
    """

    def __init__(
        self, priorities: PriorityAdmission, fairness: CallerFairness, returns: ReturnPlanner
    ) -> None:
        self.priorities = priorities
        self.fairness = fairness
        self.returns = returns
        self.logged: tuple[int, int, int, int] = (0, 0, 0, 0)

    def metrics(self) -> list[StateMetric]:
        """Return the metrics."""
        return [
            StateMetric(
                "requests_held_back",
                "Times that a request left room to more urgent ones of other VMs.",
                ("service", "route"),
                self.priorities.held_back.items,
                counts=True,
            ),
            StateMetric(
                "requests_over_share",
                "Requests of callers that sent far more than others while room was short.",
                (),
                lambda: [((), self.fairness.over_share)],
                counts=True,
            ),
            StateMetric(
                "early_returns",
                "Requests of refused callers that came back earlier than they were told.",
                (),
                lambda: [((), self.fairness.early_returns)],
                counts=True,
            ),
            StateMetric(
                "planned_returns",
                "Refused callers that were told to come back one after the other.",
                ("service",),
                lambda: [((name,), count) for name, count in self.returns.spread.items()],
                counts=True,
            ),
        ]

    def log_changes(self) -> None:
        """Log what has been counted since the last call, if anything was."""
        counted = (
            self.priorities.held_back.total(),
            self.fairness.over_share,
            self.fairness.early_returns,
            self.returns.spread.total(),
        )
        held_back, over_share, early, planned = (
            new - old for new, old in zip(counted, self.logged, strict=True)
        )
        if counted == self.logged:
            return
        self.logged = counted
        log.info(
            "callers compete for room",
            held_back=held_back,
            over_share=over_share,
            early_returns=early,
            planned_returns=planned,
            callers=len(self.fairness.callers),
            vms_waiting=len(self.priorities.members),
            zones_waiting=len(self.priorities.zones),
        )
