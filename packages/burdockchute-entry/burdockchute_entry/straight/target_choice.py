"""The choice of a target for a request, and its state as a request sees it.

The rules are in `burdockchute.decisions`. `eligibility` tells which targets
may run a request.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
import random

from burdockchute.decisions import engine_placement
from burdockchute.decisions import placement
from burdockchute.decisions import urgency
from burdockchute_entry.straight import eligibility
from burdockchute_entry.straight import targets
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.placement_round import PlacementRound
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import ServiceQueue
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.urgency_round import UrgencyRound


class TargetChooser:
    """Chooses among the known targets.

    `region` is the entry's own, `regions` maps availability zones to their
    regions.
    """

    def __init__(
        self,
        known: KnownTargets,
        rng: random.Random,
        region: str,
        regions: Mapping[str, str],
    ) -> None:
        self._known = known
        self._rng = rng
        self._region = region
        self._regions = regions

    def view(
        self,
        target: Target,
        now: float,
        extra: int = 0,
        by_urgency: bool = False,
    ) -> engine_placement.EngineView:
        """Return the state of a target as an engine.

        `extra` is the number of places beyond its slots. With `by_urgency`,
        it tells how the share was drawn.
        """
        if now >= target.share_until:
            self._draw_share(target, now)
        region = self._regions.get(target.upstream.zone)
        is_remote = region is not None and region != self._region
        draw = (
            target.share_draw(self._known.max_entries) if by_urgency else None
        )
        return target.view(is_remote, now, extra, draw)

    def estimate_s(
        self, target: Target, pending: PendingRequest, now: float
    ) -> float:
        """Estimate the time to first event on a target of the usual speed.

        It is 0 if first events are not measured.
        """
        cost = self._known.cost(pending.spec.service)
        if cost is None or target.usual_ratio is None:
            return 0.0
        usual = self.view(target, now)._replace(slowness=1.0)
        return engine_placement.first_token_s(
            usual, pending.ctx.prompt_tokens, cost
        )

    def choose_hedge(
        self, pending: PendingRequest, sent_at: float, now: float
    ) -> Target | None:
        """Return a second engine for a request sent at `sent_at`, if any.

        It has started a later request on time.
        """
        cost = self._known.cost(pending.spec.service)
        if cost is None:
            return None
        found = {
            target.id: target
            for target in eligibility.eligible_targets(
                self._known, pending, now
            )
            if target.on_time_sent_at > sent_at and target.has_capacity(now)
        }
        views = [self.view(target, now) for target in found.values()]
        view = engine_placement.choose_engine(views, pending.size, cost, None)
        return found[view.name] if view else None

    def _draw_share(self, target: Target, now: float) -> None:
        cost = self._known.cost(target.upstream.service)
        max_slots = float('inf')
        if cost is not None and self._known.entries > 1:
            max_slots = engine_placement.max_prompts(
                cost, targets.SHARE_PERIOD_S
            )
        target.draw_share(
            self._known.entries, max_slots, self._rng.random(), now
        )

    # One round of assigning slots.

    def start_round(
        self, service: str, now: float, by_urgency: bool = False
    ) -> PlacementRound:
        """Return a round over the usable targets of a service."""
        targets = eligibility.usable_targets(self._known, service, now)
        # Entries that have the same reports must not all choose the same one
        # of equally good engines.
        self._rng.shuffle(targets)
        return PlacementRound(
            targets,
            lambda target: self.view(target, now, by_urgency=by_urgency),
            now,
            lambda pending: eligibility.is_region_restricted(
                self._known, pending
            ),
        )

    def choose(
        self,
        pending: PendingRequest,
        placement_round: PlacementRound,
        left_s: float | None,
        unit_s: float,
        reserve: float,
        now: float,
        extra: float = 0.0,
        as_usual: bool = False,
    ) -> Target | None:
        """Return the target for a request, None if there is none now.

        `left_s` is the time left of its objective, None if it can no longer
        be on time. `unit_s` is the usual time for a unit of work. `reserve`
        is the fraction of an engine's slots that is kept free of overdue
        requests, and `extra` the number of slots that the entries may use
        beyond the free ones, or leave free where it is negative. With
        `as_usual`, a long prompt starts where a usual one would.
        """
        found = placement_round.candidates(
            eligibility.rule(self._known, pending, now)
        )
        cost = self._known.cost(pending.spec.service)
        if cost is None:
            load = placement.choose_instance(
                [target.load for target, _view in found.values()],
                pending.work,
                unit_s,
                now,
                self._rng,
            )
            return found[load.name][0] if load else None
        views = [view for _target, view in found.values()]
        size = pending.size
        started = pending.resuming
        local_sample = engine_placement.LOCAL_SAMPLE
        if extra > 0:
            views = [
                view
                for view in views
                if engine_placement.has_share(view)
                or engine_placement.has_free_slot(view)
                and engine_placement.has_share(view, extra)
            ]
            local_sample = urgency.URGENT_SAMPLE
        drawn = engine_placement.sample_engines(
            engine_placement.with_room(views, size), self._rng, local_sample
        )
        view = engine_placement.choose_engine(
            drawn, size, cost, left_s, reserve, started, extra, as_usual
        )
        if view is None and len(drawn) < len(views):
            view = engine_placement.choose_engine(
                views, size, cost, left_s, reserve, started, extra, as_usual
            )
        return found[view.name][0] if view else None

    def choose_beyond(
        self,
        pending: PendingRequest,
        placement_round: PlacementRound,
        left_s: float,
        service_s: float,
        extra: float,
        now: float,
    ) -> Target | None:
        """Return the full target that an urgent request may wait at, or None.

        The wait for a slot there, at `service_s` per request, must fit in the
        `left_s` of the objective. All entries may use `extra` places.
        """
        cost = self._known.cost(pending.spec.service)
        if cost is None:
            return None
        may_run = eligibility.rule(self._known, pending, now)
        found = {
            target.id: (target, view)
            for target, view in placement_round.beyond(
                extra, lambda target: self._view_beyond(target, extra, now)
            )
            if may_run(target)
        }
        views = [
            view._replace(
                slot_wait_s=urgency.slot_wait_s(
                    view.ours + view.others, view.slots, service_s
                )
            )
            for _target, view in found.values()
        ]
        chosen = engine_placement.choose_engine(
            views, pending.size, cost, left_s, extra=extra
        )
        return found[chosen.name][0] if chosen else None

    def _view_beyond(
        self, target: Target, extra: float, now: float
    ) -> engine_placement.EngineView | None:
        # Most entries have drawn no place at an engine, and that is checked
        # fastest.
        if now >= target.share_until:
            self._draw_share(target, now)
        # The entries share less than one place by chance.
        whole = math.ceil(extra)
        if not target.has_capacity(now, whole):
            return None
        if now - target.load.reported_at > urgency.MAX_REPORT_AGE_S:
            return None
        draw = target.share_draw(self._known.max_entries)
        if engine_placement.left_of_draw(draw, target.share, extra) <= 0:
            return None
        return self.view(target, now, whole, by_urgency=True)

    def urgency_round(
        self,
        service: str,
        service_queue: ServiceQueue,
        placement_round: PlacementRound,
        now: float,
    ) -> UrgencyRound | None:
        """Return what each priority may use of a service's engines.

        It is None for a service without engines, and while all its requests
        have the same priority.
        """
        if not service_queue.urgency.is_mixed:
            return None
        cost = self._known.cost(service)
        slots = placement_round.mean_slots()
        if cost is None or not slots:
            return None
        slots_of_entry = (
            slots * placement_round.count / self._known.max_entries
        )
        return UrgencyRound(
            service, service_queue, cost, round(slots), slots_of_entry, now
        )
