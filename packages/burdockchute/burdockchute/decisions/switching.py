"""The next step in switching one row's weights on one upstream.

Versions change while requests are in flight, several times in quick
succession, and orders fail, arrive late or are lost. An agent driven by
events alone would eventually miss one and keep a gate open for weights that
are gone, or wait indefinitely. So the next step is derived from the current
state only, and the agent evaluates it again after each change.

The order of the rules keeps the invariant: a gate is open only for weights
that the upstream reports, and weights are unloaded only when their gate is
closed and no request is inside.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# An order has no effect after this time. Where the upstream does not check
# fencing numbers, this bounds how long a gate stays closed while its state is
# in doubt, so it is short; for large weights it grows with the time that an
# engine needs to fetch them from its agent.
ORDER_DEADLINE_S = 5.0
FETCH_BYTES_PER_S = 500e6
# Added to the deadline for the transmission of an order and of a report.
SETTLE_MARGIN_S = 1.0


def order_deadline_s(size: int) -> float:
    """Return the seconds in which an order to load `size` bytes is valid."""
    return ORDER_DEADLINE_S + size / FETCH_BYTES_PER_S


def settle_s(size: int) -> float:
    """Return the seconds after which an unchanged report is reliable.

    An order that was given before the report was first seen has by then
    either changed the reported state or can't take effect any more.
    """
    return order_deadline_s(size) + SETTLE_MARGIN_S


class RowState(NamedTuple):
    """The current state of one row's weights.

    `wanted` is the digest that the row names, empty once the row is deleted.
    `complete` is whether its copy is complete, `loaded` and `loading` are
    reported by the upstream, `is_open` has the open gates and `in_flight` the
    number of requests inside each. `may_load` is the result of the pacing,
    `settled` whether the report is reliable, `base_loaded` whether an
    adapter's base model is loaded (true for a model), `fits_two_versions`
    whether the upstream has room for two versions.
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
    """Admit requests for a digest."""

    digest: str


class CloseGate(NamedTuple):
    """Admit no more requests for a digest."""

    digest: str


class Load(NamedTuple):
    """Order the upstream to load a digest."""

    digest: str


class Unload(NamedTuple):
    """Order the upstream to unload a digest."""

    digest: str


class Wait(NamedTuple):
    """Do nothing until the state changes."""

    reason: str


Step = OpenGate | CloseGate | Load | Unload | Wait


def next_step(state: RowState) -> Step:
    """Return the next step."""
    for digest in sorted(state.is_open - state.loaded):
        return CloseGate(digest)
    if not state.wanted:
        return _unload(state, state.loaded | state.is_open)
    if state.wanted in state.loaded:
        return _open_wanted(state)
    return _load_wanted(state)


def _open_wanted(state: RowState) -> Step:
    if state.wanted not in state.is_open:
        if not state.settled:
            return Wait('reported state is not settled')
        if not state.base_loaded:
            return Wait('base model is not loaded')
        return OpenGate(state.wanted)
    return _unload(state, state.loaded - {state.wanted})


def _load_wanted(state: RowState) -> Step:
    unused = state.loaded - state.is_open
    if unused:
        # Left over from a version that was wanted for a short time only.
        step = _unload(state, unused)
        if isinstance(step, Unload):
            return step
    if not state.complete:
        return Wait('copying')
    if state.loading:
        return Wait('loading')
    if not state.base_loaded:
        return Wait('base model is not loaded')
    if not state.may_load:
        return Wait('others load first')
    if state.loaded and not state.fits_two_versions:
        return _unload(state, state.loaded)
    return Load(state.wanted)


def _unload(state: RowState, digests: frozenset[str]) -> Step:
    for digest in sorted(digests & state.is_open):
        return CloseGate(digest)
    for digest in sorted(digests):
        if not state.in_flight.get(digest, 0):
            return Unload(digest)
    return Wait('requests in flight' if digests else 'nothing to do')
