"""Refuses requests on arrival, by customers' rate limits and by deadline."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from burdockchute.decisions import admission
from burdockchute.decisions import limits
from burdockchute.decisions.admission import Bucket
from burdockchute.decisions.admission import RateLimit
from burdockchute.decisions.limits import Demand
from burdockchute.decisions.limits import Share
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model import claims
from burdockchute.model import table as tables
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import CustomerRow
from burdockchute.model.table import Table
from burdockchute_entry.attempts import Request
from burdockchute_entry.pools import Pool


class AdmissionControl:
    """The token buckets and the demand of the customers at this entry."""

    def __init__(self) -> None:
        self.shares: Mapping[str, Share] = {}
        self.entries = 1
        self._buckets: dict[str, Bucket] = {}
        self._demands: dict[str, Demand] = {}

    def take_demands(self, seconds: float) -> dict[str, Demand]:
        """Return and reset the demand per customer over the last `seconds`."""
        demands, self._demands = self._demands, {}
        return {
            customer: Demand(
                demand.requests_per_s / seconds, demand.tokens_per_s / seconds
            )
            for customer, demand in demands.items()
        }

    def refusal(
        self,
        request: Request,
        pool: Pool,
        loads: Iterable[InstanceLoad],
        table: Table,
        now: float,
    ) -> NotRun | None:
        """Return why a request is refused, or charge its rate limit."""
        self._record_demand(request.ctx)
        wait_s = pool.expected_wait_s(request, loads, now)
        service_s = pool.unit_s * request.work.cost
        if admission.is_too_late(request.ctx, wait_s, service_s, now):
            retry_s = admission.retry_after_s(wait_s)
            return NotRun('can not be done in time', 503, retry_s)
        over_limit_s = self._take_from_bucket(request.ctx, table, now)
        if over_limit_s:
            text = f'customer {request.ctx.customer!r} is over its limit'
            return NotRun(text, 429, admission.retry_after_s(over_limit_s))
        return None

    def _record_demand(self, ctx: RequestContext) -> None:
        # Refused requests count as well: shares are divided by demand.
        demand = self._demands.get(ctx.customer, Demand(0.0, 0.0))
        self._demands[ctx.customer] = Demand(
            demand.requests_per_s + 1,
            demand.tokens_per_s + admission.tokens_of(ctx),
        )

    def _take_from_bucket(
        self, ctx: RequestContext, table: Table, now: float
    ) -> float:
        limit = rate_of(ctx.customer, table)
        if limit is None:
            return 0.0
        share = self.shares.get(ctx.customer)
        rate = limits.rate_at(limit, share, self.entries, now)
        bucket = self._buckets.get(ctx.customer)
        if bucket is None:
            bucket = admission.full_bucket(rate, now)
        tokens = admission.tokens_of(ctx)
        bucket, wait_s = admission.take(bucket, rate, tokens, now)
        self._buckets[ctx.customer] = bucket
        return wait_s


def rate_of(customer: str, table: Table) -> RateLimit | None:
    """Return a customer's rate limit over all entries, None without one."""
    row = tables.find_row(table, CustomerRow, customer)
    if row is None:
        return None
    return RateLimit(row.requests_per_s, row.tokens_per_s, row.burst_s)


def outcome_of(verdict: claims.Verdict) -> Outcome:
    """Return the outcome of a request whose claim was not won."""
    if isinstance(verdict, claims.Recorded):
        return verdict.outcome
    if isinstance(verdict, claims.OtherBody):
        return NotRun(verdict.reason, 422, 0.0)
    if isinstance(verdict, claims.OutsideWindow):
        # Claims this old are no longer known. If the caller were told that
        # the request was not run, it might repeat by hand what was already
        # done.
        return Unknown(verdict.reason, 422)
    if isinstance(verdict, claims.Unavailable):
        return NotRun(verdict.reason, 503, verdict.retry_after_s)
    if isinstance(verdict, claims.Held):
        return Unknown(verdict.reason, 409)
    raise ValueError(f'{verdict!r} needs no outcome')
