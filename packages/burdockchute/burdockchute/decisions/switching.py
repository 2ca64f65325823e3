"""What to do next for one row's weights on one upstream.

Load: versions change while requests are in flight, several times in quick
succession, and orders fail, come late or are lost. Driven by events alone an
agent would sooner or later miss one and keep a gate open over weights that
are gone, or wait for ever. So this looks only at what is the case now and
gives the one next step; the agent asks again after each change.

The order of the rules keeps the invariant: a gate is open only over weights
that the upstream reports, and weights are unloaded only when their gate is
shut and empty.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# An order must take effect within this time. It bounds how long a gate stays
# shut after a doubt where the upstream does not check fencing numbers, so it
# is short; for large weights it grows with the time that an engine needs to
# fetch them from the agent beside it.
ORDER_DEADLINE_S = 5.0
FETCH_BYTES_PER_S = 500e6
# Beyond the deadline: the way of an order and that of a report.
SETTLE_MARGIN_S = 1.0


def order_deadline_s(size: int) -> float:
    """Give how long an order to load so many bytes is good for."""
    return ORDER_DEADLINE_S + size / FETCH_BYTES_PER_S


def settle_s(size: int) -> float:
    """Give how long a report must stay the same to be relied on.

    An order given before we began to look has by then either shown in the
    reported state or can't take effect any more.
    """
    return order_deadline_s(size) + SETTLE_MARGIN_S


class RowState(NamedTuple):
    """What is the case for one row.

    `wanted` is the digest that the row names, empty once the row is gone.
    `complete` tells whether its copy is complete, `loaded` and `loading` what
    the upstream reports, `is_open` which gates are open, `in_flight` how
    many requests are inside each. `may_load` is the pacing's word, `settled`
    whether the report can be relied on, `base_loaded` whether an adapter's
    base model is loaded (true for a model). `fits_two_versions` is whether
    the upstream has room for two versions.
    """

    wanted: str
    complete: bool
    loaded: frozenset[str]
    loading: frozenset[str]
    is_open: frozenset[str]
    in_flight: Mapping[str, int]
    may_load: bool = True
    settled: bool = True
    base_loaded: bool = True
    fits_two_versions: bool = True


class OpenGate(NamedTuple):
    """Let requests for a digest in."""

    digest: str


class CloseGate(NamedTuple):
    """Let no more requests for a digest in."""

    digest: str


class Load(NamedTuple):
    """Order the upstream to load a digest."""

    digest: str


class Unload(NamedTuple):
    """Order the upstream to unload a digest."""

    digest: str


class Wait(NamedTuple):
    """Nothing to do until something changes."""

    reason: str


Step = OpenGate | CloseGate | Load | Unload | Wait


def next_step(now: RowState) -> Step:
    """Give the next step."""
    for digest in sorted(now.is_open - now.loaded):
        return CloseGate(digest)
    if not now.wanted:
        return _clear(now, now.loaded | now.is_open)
    if now.wanted in now.loaded:
        return _serve(now)
    return _replace(now)


def _serve(now: RowState) -> Step:
    if now.wanted not in now.is_open:
        if not now.settled:
            return Wait('reported state is not settled')
        if not now.base_loaded:
            return Wait('base model is not loaded')
        return OpenGate(now.wanted)
    return _clear(now, now.loaded - {now.wanted})


def _replace(now: RowState) -> Step:
    unused = now.loaded - now.is_open
    if unused:
        # Left over from a version that was named for a short while only.
        step = _clear(now, unused)
        if isinstance(step, Unload):
            return step
    if not now.complete:
        return Wait('copying')
    if now.loading:
        return Wait('loading')
    if not now.base_loaded:
        return Wait('base model is not loaded')
    if not now.may_load:
        return Wait('others load first')
    if now.loaded and not now.fits_two_versions:
        return _clear(now, now.loaded)
    return Load(now.wanted)


def _clear(now: RowState, digests: frozenset[str]) -> Step:
    for digest in sorted(digests & now.is_open):
        return CloseGate(digest)
    for digest in sorted(digests):
        if not now.in_flight.get(digest, 0):
            return Unload(digest)
    return Wait('requests in flight' if digests else 'nothing to do')
