"""State of one round of assigning slots of a service's targets.

A round starts after each load report and each answer, as either may free a
slot. For a service with dozens of upstreams and more callers than slots that
is some hundreds of rounds per second. A round that evaluated every target
for every waiting request would take milliseconds and occupy the entry
completely: answers slow to a crawl, and configuration saved by operators is
applied seconds late.

A round therefore evaluates each target once, keeps those with headroom, and
ends when none is left. It skips a request that demands more than another
one that could not be placed in the same round.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from burdockchute.decisions import engine_placement
from burdockchute.decisions.engine_placement import EngineView
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.targets import Target

# Targets without a free slot that are looked at in one round. At least one in
# as many has a place for an entry even if sixty entries share them.
MAX_FULL = 64

ViewOf = Callable[[Target], EngineView]


class PlacementRound:
    """The targets with headroom, and the requests that could not be placed.

    `view_of` returns the current view of a target. `is_bound` tells whether
    a request may run in some regions only.
    """

    def __init__(
        self,
        targets: Iterable[Target],
        view_of: ViewOf,
        now: float,
        is_bound: Callable[[PendingRequest], bool] = lambda pending: False,
    ) -> None:
        self._is_bound = is_bound
        self._view_of = view_of
        self._now = now
        self._targets = list(targets)
        self._open: dict[str, tuple[Target, EngineView]] = {}
        self._full: list[Target] = []
        # The full targets with a place, by number of extra places.
        self._beyond: tuple[float, list[tuple[Target, EngineView]]] | None = (
            None
        )
        for target in self._targets:
            if target.has_capacity(now):
                self._open[target.id] = target, view_of(target)
            else:
                self._full.append(target)
        # Prompt length, time left and extra slots of requests that could not
        # be placed.
        self._unplaceable: list[tuple[int, float | None, float]] = []

    @property
    def count(self) -> int:
        """The number of targets, with headroom or not."""
        return len(self._targets)

    def mean_slots(self) -> float:
        """Return the mean number of slots of a target, 0 without any."""
        sample = self._targets[:MAX_FULL]
        slots = sum(target.load.slots for target in sample)
        return slots / len(sample) if sample else 0.0

    def has_headroom(
        self,
        is_overdue: bool,
        reserve: float = 0.0,
        is_shared: bool = False,
        extra: float = 0.0,
    ) -> bool:
        """Whether any target may take a request that is on time or overdue.

        `reserve` is the fraction of a target's slots that is kept free of
        overdue requests. `is_shared` marks a request that may only use this
        entry's share of the free slots, with `extra` slots more or fewer.
        """
        return any(
            (not is_shared or engine_placement.has_share(view, extra))
            and (
                not is_overdue or engine_placement.has_free_slot(view, reserve)
            )
            for _target, view in self._open.values()
        )

    def candidates(
        self, allows: Callable[[Target], bool]
    ) -> dict[str, tuple[Target, EngineView]]:
        """Return the targets with headroom that `allows` accepts, by id."""
        return {
            name: (target, view)
            for name, (target, view) in self._open.items()
            if allows(target)
        }

    def beyond(
        self,
        extra: float,
        view_beyond: Callable[[Target], EngineView | None],
    ) -> list[tuple[Target, EngineView]]:
        """Return full targets with a place for this entry, and their views.

        `view_beyond` returns None for a target without a place among its
        `extra` ones.
        """
        if self._beyond is None or self._beyond[0] != extra:
            full = self._full[:MAX_FULL]
            if len(full) < MAX_FULL:
                # An entry may send its even share to an engine that is full.
                full += [
                    target
                    for target, view in self._open.values()
                    if not engine_placement.has_free_slot(view)
                ]
            found = [
                (target, view)
                for target in full[:MAX_FULL]
                if (view := view_beyond(target)) is not None
            ]
            self._beyond = extra, found
        return self._beyond[1]

    def slot_taken(self, target: Target) -> None:
        """Update the view of a target that was assigned a request."""
        if target.has_capacity(self._now):
            self._open[target.id] = (target, self._view_of(target))
        else:
            was_open = self._open.pop(target.id, None)
            if was_open is not None:
                self._full.append(target)
        self._beyond = None

    def record_unplaceable(
        self,
        pending: PendingRequest,
        left_s: float | None,
        extra: float = 0.0,
    ) -> None:
        """Record a request that no target could take.

        Requests that may not run on every target are not recorded, as their
        failure says nothing about others.
        """
        if not (_is_restricted(pending) or self._is_bound(pending)):
            self._unplaceable.append(
                (pending.ctx.prompt_tokens, left_s, extra)
            )

    def is_unplaceable(
        self,
        pending: PendingRequest,
        left_s: float | None,
        extra: float = 0.0,
    ) -> bool:
        """Whether a request demands at least as much as one that had no slot.

        An overdue request needs a free slot, however long its prompt is.
        """
        prompt = pending.ctx.prompt_tokens
        for other, other_left_s, other_extra in self._unplaceable:
            if extra > other_extra:
                continue
            if left_s is None and other_left_s is None:
                return True
            if left_s is None or other_left_s is None:
                continue
            if prompt >= other and left_s <= other_left_s:
                return True
        return False


def _is_restricted(pending: PendingRequest) -> bool:
    restricted = pending.avoided or pending.rejected
    return bool(restricted) or pending.spec.exact_version is not None
