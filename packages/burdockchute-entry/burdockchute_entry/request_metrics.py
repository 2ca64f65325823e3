"""Metrics of finished requests, and their counts against objectives."""

from __future__ import annotations

from collections.abc import Callable
import time

from burdockchute import metrics
from burdockchute.decisions import burn
from burdockchute.model import table as tables
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import name_of
from burdockchute.model.outcomes import NotRun
from burdockchute.model.replies import RequestSummary
from burdockchute.model.rows import ObjectiveRow
from burdockchute.model.table import Table
from burdockchute.operators import burn as reports

ANY = '*'

# Errors and rate limits caused by a caller do not count against objectives.
CALLER_ERROR_STATUSES = range(400, 500)


class RequestMetrics:
    """Records finished requests since the start of this entry."""

    def __init__(self, table: Callable[[], Table]) -> None:
        self._table = table
        self._counts = burn.Counts()
        self._targets: dict[burn.Key, float] = {}
        meter = metrics.meter()
        self._requests = meter.create_counter(
            'burdockchute.requests', description='finished requests'
        )
        self._first_token = meter.create_histogram(
            'burdockchute.first_token', unit='s'
        )
        self._intervals = meter.create_histogram(
            'burdockchute.token_interval',
            unit='s',
            description='mean of each streamed request',
        )

    def record_finished(self, done: RequestSummary) -> None:
        """Record one finished request."""
        ctx = done.ctx
        outcome = name_of(done.outcome)
        attributes = {'customer': ctx.customer, 'target': ctx.target}
        self._requests.add(1, {**attributes, 'outcome': outcome})
        if ctx.stream and done.first_part_s is not None:
            self._first_token.record(done.first_part_s, attributes)
        interval = mean_interval(done)
        if interval is not None:
            self._intervals.record(interval, attributes)
        for objective in tables.objectives(self._table()).values():
            if covers(objective, done):
                self._count(objective, done, time.time())

    def burn_counts(self) -> list[reports.PageEntry]:
        """Return the counts that the burn report sums over entries."""
        return reports.burn_page(self._counts, time.time(), self._targets)

    def _count(
        self, objective: ObjectiveRow, done: RequestSummary, now: float
    ) -> None:
        for indicator, target, bad in evaluate(objective, done):
            key = burn.Key(
                objective.name, done.ctx.customer, done.ctx.target, indicator
            )
            self._targets[key] = target
            self._counts.add(now, key, 1, int(bad))


def covers(objective: ObjectiveRow, done: RequestSummary) -> bool:
    """Whether an objective applies to a request."""
    customers = (ANY, done.ctx.customer)
    models = (ANY, done.ctx.target)
    if objective.customer not in customers or objective.model not in models:
        return False
    return not _is_caller_error(done)


def evaluate(
    objective: ObjectiveRow, done: RequestSummary
) -> list[tuple[str, float, bool]]:
    """Return (indicator, target, whether missed) for each indicator."""
    answered = isinstance(done.outcome, Answered)
    found = [('availability', objective.availability, not answered)]
    if done.ctx.stream and done.first_part_s is not None:
        late = done.first_part_s > objective.first_token_s
        found.append(('first_token', objective.latency_share, late))
    interval = mean_interval(done)
    if interval is not None:
        late = interval > objective.token_interval_s
        found.append(('token_interval', objective.latency_share, late))
    return found


def mean_interval(done: RequestSummary) -> float | None:
    """Return the mean time between parts of a streamed answer in seconds."""
    if not done.ctx.stream or done.first_part_s is None or done.parts < 2:
        return None
    return (done.total_s - done.first_part_s) / (done.parts - 1)


def _is_caller_error(done: RequestSummary) -> bool:
    outcome = done.outcome
    if isinstance(outcome, NotRun):
        return outcome.status in CALLER_ERROR_STATUSES
    return False
