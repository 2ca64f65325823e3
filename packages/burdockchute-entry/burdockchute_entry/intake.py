"""What is refused on arrival: limits of customers and deadlines."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.decisions import admission
from burdockchute.decisions.admission import Bucket
from burdockchute.decisions.admission import Rate
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model import claims
from burdockchute.model import table as tables
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.table import Table
from burdockchute_entry.attempts import Request
from burdockchute_entry.pools import Pool


class RatesChanged(NamedTuple):
    """This entry's parts of the customers' limits."""

    rates: Mapping[str, Rate]


class Intake:
    """The buckets of the customers at this entry."""

    def __init__(self) -> None:
        self.rates: Mapping[str, Rate] = {}
        self._buckets: dict[str, Bucket] = {}

    def refusal(
        self,
        request: Request,
        pool: Pool,
        loads: Iterable[InstanceLoad],
        table: Table,
        now: float,
    ) -> NotRun | None:
        """Tell why a request is not let in; counts it if it is."""
        wait_s = pool.expected_wait_s(request, loads, now)
        service_s = pool.unit_s * request.work.cost
        if admission.is_too_late(request.ctx, wait_s, service_s, now):
            retry_s = admission.retry_after_s(wait_s)
            return NotRun('can not be done in time', 503, retry_s)
        over_s = self._take(request.ctx, table, now)
        if over_s:
            text = f'customer {request.ctx.customer!r} is over its limit'
            return NotRun(text, 429, admission.retry_after_s(over_s))
        return None

    def _take(self, ctx: RequestContext, table: Table, now: float) -> float:
        rate = self.rates.get(ctx.customer) or rate_of(ctx.customer, table)
        if rate is None:
            return 0.0
        bucket = self._buckets.get(ctx.customer)
        if bucket is None:
            bucket = admission.full_bucket(rate, now)
        tokens = admission.tokens_of(ctx)
        bucket, wait_s = admission.take(bucket, rate, tokens, now)
        self._buckets[ctx.customer] = bucket
        return wait_s


def rate_of(customer: str, table: Table) -> Rate | None:
    """Give the limit in a customer's row, for all entries together."""
    row = tables.customers(table).get(customer)
    if row is None:
        return None
    return Rate(row.requests_per_s, row.tokens_per_s, row.burst_s)


def outcome_of(verdict: claims.Verdict) -> Outcome:
    """Give the outcome of a request whose claim was not won."""
    if isinstance(verdict, claims.Recorded):
        return verdict.outcome
    if isinstance(verdict, claims.OtherBody):
        text = 'Idempotency-Key was used for another request'
        return NotRun(text, 422, 0.0)
    if isinstance(verdict, claims.OutsideWindow):
        return NotRun(verdict.reason, 422, 0.0)
    if isinstance(verdict, claims.Unavailable):
        return NotRun(verdict.reason, 503, verdict.retry_after_s)
    return Unknown('an attempt with this key has no known outcome', 409)
