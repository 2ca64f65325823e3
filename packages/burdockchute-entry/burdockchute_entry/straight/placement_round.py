"""What one round of giving out places knows of a service's targets.

Load: more callers than places, at a service of dozens of upstreams. Each
report of an agent and each answer may free a place and starts a round, some
hundreds a second. A round that looked anew at every target for every request
that waits takes milliseconds, and then the entry does nothing else: answers
crawl, and what operators have saved is taken in seconds late.

So a round looks at each target once, keeps those that have room, and is over
when there are none. A request that asks for more than one that found nothing
in the same round is passed over.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from burdockchute.decisions import engine_placement
from burdockchute.decisions.engine_placement import EngineView
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.targets import Target

ViewOf = Callable[[Target], EngineView]


class PlacementRound:
    """The targets that have room, and what was asked of them in vain.

    `view_of` gives the view of a target as it is now.
    """

    def __init__(
        self, targets: Iterable[Target], view_of: ViewOf, now: float
    ) -> None:
        self._view_of = view_of
        self._now = now
        self._open = {
            target.id: (target, view_of(target))
            for target in targets
            if target.load.headroom(now) > 0
        }
        # Prompt and time left of what found no place.
        self._unplaceable: list[tuple[int, float | None]] = []

    def has_room(
        self, is_overdue: bool, reserve: float = 0.0, is_shared: bool = False
    ) -> bool:
        """Tell whether any target may take a request, fresh or late.

        `reserve` is the part of its slots that is kept free of late work;
        `is_shared` is for a request that is bound to this entry's share.
        """
        return any(
            (not is_shared or engine_placement.has_share(view))
            and (
                not is_overdue or engine_placement.has_free_slot(view, reserve)
            )
            for _target, view in self._open.values()
        )

    def candidates(
        self, allows: Callable[[Target], bool]
    ) -> dict[str, tuple[Target, EngineView]]:
        """Give the targets with room that a request may run on, by id."""
        return {
            name: (target, view)
            for name, (target, view) in self._open.items()
            if allows(target)
        }

    def slot_taken(self, target: Target) -> None:
        """Note that a target was given one more request."""
        if target.load.headroom(self._now) > 0:
            self._open[target.id] = (target, self._view_of(target))
        else:
            self._open.pop(target.id, None)

    def record_unplaceable(
        self, pending: PendingRequest, left_s: float | None
    ) -> None:
        """Note a request that no target could take."""
        if not _is_restricted(pending):
            self._unplaceable.append((pending.ctx.prompt_tokens, left_s))

    def is_unplaceable(
        self, pending: PendingRequest, left_s: float | None
    ) -> bool:
        """Tell whether a request asks for more than one that found nothing.

        A late one needs a free slot, whatever its prompt.
        """
        prompt = pending.ctx.prompt_tokens
        for other, other_left_s in self._unplaceable:
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
