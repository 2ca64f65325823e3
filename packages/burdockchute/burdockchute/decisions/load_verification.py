"""Which loaded versions of an engine may be served.

An engine loads the staging area unchecked, as it is when it accepts the
order, and its answers look valid whatever it loaded. Neither the check before
the order nor the answer to it tells what was staged at that moment: the agent
or the engine may have been suspended in between, and an order or a write
without an answer may be executed later.

A corrupt chunk stays corrupt until it is written again. So if every chunk is
valid after the order was accepted, and none was written since then, every
chunk was valid when the engine accepted it. A load that isn't verified in
this way is not served until another one was.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.engines import EngineReport

# An order that was answered later than this after its check began may have
# loaded chunks that were corrupt for longer than the platform tolerates.
MAX_ORDER_AGE_S = 2.5

# A write without an answer may be executed until this long after it.
MAX_WRITE_DELAY_S = 10.0
# An order without an answer may be executed until this long after the engine
# has begun to answer again.
MAX_ORDER_DELAY_S = 5.0


class OrderSent(NamedTuple):
    """The last order for a model that was sent, and its check.

    `started_ms` and `sequence` are the engine's in the report that was
    requested at `reported_at`, before the order. `check_age_s` is the time
    from the beginning of the check to the answer, None without an answer
    that the order was accepted.
    """

    version: int
    started_ms: int | None
    sequence: int
    reported_at: float
    check_age_s: float | None


class EngineLoads(NamedTuple):
    """The loads of one start of an engine.

    Its `sequence` identifies the last load. The last report with an earlier
    one was requested at `last_report_before`, None if there was none; the load
    was accepted after that. The last report of all was requested at
    `last_reported_at`, and named the versions `reported`. `verified` has the
    versions whose loads are verified, `checked` those that were checked since
    the last load.
    """

    started_ms: int | None
    sequence: int
    last_reported_at: float
    last_report_before: float | None = None
    reported: Mapping[str, int] = {}
    verified: Mapping[str, int] = {}
    checked: frozenset[tuple[str, int]] = frozenset()


def after_report(
    loads: EngineLoads | None, report: EngineReport, requested_at: float
) -> EngineLoads:
    """Return the loads after a report that was requested at a time.

    An engine that has accepted no order since its start holds what it was
    started with.
    """
    reported = dict(report.versions)
    new = EngineLoads(
        report.started_ms, report.sequence, requested_at, reported=reported
    )
    if report.sequence == 0:
        return new._replace(verified=reported)
    if loads is None:
        return new
    new = new._replace(last_report_before=loads.last_reported_at)
    if loads.started_ms != report.started_ms:
        return new
    if loads.sequence == report.sequence:
        return loads._replace(last_reported_at=requested_at, reported=reported)
    if loads.sequence + 1 == report.sequence:
        # One load of another model or version; an order to load what is
        # loaded already doesn't begin anything. A version that was checked
        # while it was expected to be loaded may never have been.
        return new._replace(
            verified={
                model: version
                for model, version in loads.verified.items()
                if loads.reported.get(model) == version
                and reported.get(model) == version
            }
        )
    return new


def version_to_check(
    loads: EngineLoads | None,
    report: EngineReport | None,
    model: str,
    order: OrderSent | None,
) -> int | None:
    """Return the version whose load is to be checked, None if there is none.

    A load that was ordered by this agent is checked while it is in progress.
    """
    if loads is None or report is None:
        return None
    if not report.loading:
        version = report.versions.get(model)
    elif order is not None and _is_order_of(order, loads):
        version = order.version
    else:
        return None
    if version is None or loads.verified.get(model) == version:
        return None
    return None if (model, version) in loads.checked else version


def is_verified_by_order(
    loads: EngineLoads, order: OrderSent | None, first_call_at: float | None
) -> bool:
    """Whether the check before its order verifies the last load.

    It does if the answer came in time, even if chunks are corrupt now. The
    order waited for other writes by this agent, which called the engine first
    at `first_call_at`. Those of an earlier agent must have been executed
    before the check began.
    """
    if order is None or not _is_order_of(order, loads):
        return False
    # Without its start, a restart of the engine that lost the staged chunks
    # could pass unnoticed.
    if order.started_ms is None or first_call_at is None:
        return False
    if order.check_age_s is None or order.check_age_s > MAX_ORDER_AGE_S:
        return False
    check_began_after = order.reported_at - MAX_ORDER_AGE_S
    return first_call_at + MAX_WRITE_DELAY_S <= check_began_after


def reason_unverified(
    loads: EngineLoads, order: OrderSent | None, written_at: float | None
) -> str | None:
    """Return why valid chunks don't verify the last load, None if they do.

    `written_at` is the last time at which this agent may have written to the
    staging area. The order in question, if this agent sent it, was sent after
    a check, which makes writes irrelevant if the answer came in time.
    """
    last_report_before = loads.last_report_before
    if order is not None and _is_order_of(order, loads):
        age_s = order.check_age_s
        if age_s is not None and age_s <= MAX_ORDER_AGE_S:
            return None
        last_report_before = order.reported_at
    if written_at is None:
        return None
    if last_report_before is not None and written_at < last_report_before:
        return None
    return 'chunks may have been written after the order was accepted'


def after_check(
    loads: EngineLoads, model: str, version: int, valid: bool
) -> EngineLoads:
    """Return the loads after the last load of a model was checked."""
    verified = dict(loads.verified)
    if valid:
        verified[model] = version
    checked = loads.checked | {(model, version)}
    return loads._replace(verified=verified, checked=checked)


def servable_versions(
    loads: EngineLoads | None, report: EngineReport | None
) -> dict[str, int]:
    """Return the versions on which an engine may start requests, by model.

    There are none while it loads, as it starts no requests then.
    """
    if report is None or report.loading or loads is None:
        return {}
    return {
        model: version
        for model, version in report.versions.items()
        if loads.verified.get(model) == version
    }


def unverified_versions(
    loads: EngineLoads | None, report: EngineReport | None
) -> dict[str, int]:
    """Return the loaded versions that are not known to be right, by model."""
    if report is None or report.loading:
        return {}
    servable = servable_versions(loads, report)
    return {
        model: version
        for model, version in report.versions.items()
        if model not in servable
    }


def _is_order_of(order: OrderSent, loads: EngineLoads) -> bool:
    return (order.started_ms, order.sequence + 1) == (
        loads.started_ms,
        loads.sequence,
    )
