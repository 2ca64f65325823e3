"""Per-entry state of upstreams: connections, load and health."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute import logs
from burdockchute.decisions import backpressure
from burdockchute.decisions import cold_limits
from burdockchute.decisions import engine_placement
from burdockchute.decisions import engine_speed
from burdockchute.decisions import health
from burdockchute.decisions.backpressure import RateLimit
from burdockchute.decisions.backpressure import Restrictions
from burdockchute.decisions.cold_limits import ColdLimit
from burdockchute.decisions.cold_limits import ColdPolicy
from burdockchute.decisions.engine_placement import EngineView
from burdockchute.decisions.engine_placement import ShareDraw
from burdockchute.decisions.engine_speed import Sample
from burdockchute.decisions.engine_speed import Speed
from burdockchute.decisions.engine_speed import UsualRatio
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.placement import Work
from burdockchute.model.exchanges import Backpressure
from burdockchute.model.exchanges import NO_BACKPRESSURE
from burdockchute.model.upstreams import Upstream
from burdockchute.upstreams import connections
from burdockchute.upstreams.connections import Connection

# An idle connection is closed this long before its upstream would close it,
# so that no request is sent while the close is on its way.
IDLE_MARGIN_S = 0.5

# Assumed keep-alive time of an upstream that does not announce one; it keeps
# connections at least this long.
DEFAULT_IDLE_S = 4.0

# A non-idempotent request only reuses a connection that was used this
# recently and otherwise opens a new one, as a reset leaves its outcome
# unknown.
NON_IDEMPOTENT_IDLE_S = 1.0

# Free slots are divided among the entries again after each load report, and
# at least this often.
SHARE_PERIOD_S = 0.15


class UnstartedRequest(NamedTuple):
    """A request of this entry that has produced no event yet.

    `estimate_s` is the time to its first event at an engine of the usual
    speed, 0 if it is not measured.
    """

    prompt_tokens: int
    sent_at: float
    estimate_s: float = 0.0


class Target:
    """One upstream.

    `versions` are the versions that its agent last reported as verified. The
    upstream list names what is loaded, verified or not.
    `last_received_at` is when its last byte arrived. `unstarted` has the
    requests of this entry that have produced no event yet, by id. `evacuated`
    maps the evacuated availability zones to the time at which this process
    read of it. All targets share it, so that it also holds for those that are
    no longer listed.
    """

    def __init__(
        self,
        upstream: Upstream,
        now: float,
        evacuated: Mapping[str, float] | None = None,
    ) -> None:
        self.upstream = upstream
        self._evacuated = {} if evacuated is None else evacuated
        self.load = InstanceLoad(upstream.id, now)
        self.versions: Mapping[str, int] = {}
        # The start of the engine and the version of each model that its agent
        # has reported as verified last.
        self.verified: dict[str, tuple[int | None, int]] = {}
        self.health = health.Health()
        self.last_received_at = now
        self.speed = Speed()
        # Compares measured times of its service; None if none are measured.
        self.usual_ratio: UsualRatio | None = None
        # When the last request that started on time was sent.
        self.on_time_sent_at = float('-inf')
        # Free memory of its engine by its last report, and what this entry's
        # requests have taken of it since; None while it has plenty.
        self._free_tokens: float | None = None
        self.unstarted: dict[str, UnstartedRequest] = {}
        # Time to first event of the last request that was sent to it.
        self.last_first_event_s = 0.0
        # Whether requests end there without having started.
        self.is_behind = False
        # Number of its free slots that this entry may use until `share_until`.
        self.share = 0
        self._draw = 0, 0.0, 1, 0.0, 0
        self.share_until = now
        self.closes_at: float | None = None
        # When it will probably accept requests again, by its agent's estimate.
        self.opens_at: float | None = None
        # Since when its engine has been loading and accepting no new requests.
        self.closed_at: float | None = None
        # The upstream has started again since; another target stands for it.
        self.is_replaced = False
        # Earlier requests are still queued in the link to it.
        self.is_held = False
        # What its last answer asked for, and what is in force.
        self.stated = NO_BACKPRESSURE
        self.restrictions = Restrictions()
        # Whether this entry has sent it a request.
        self.has_sent = False
        self.cold_until = float('-inf')
        # The limit of sends while it is cold, None if it never is.
        self.cold_limit: ColdLimit | None = None
        self._idle: list[tuple[Connection, float]] = []
        self.load.apply_report(0, upstream.slots, 1, 0.0, (), now)

    @property
    def id(self) -> str:
        """The id of the upstream."""
        return self.upstream.id

    def update_listing(self, upstream: Upstream) -> None:
        """Replace its entry in the upstream list by a newer one."""
        self.upstream = upstream

    @property
    def limit(self) -> RateLimit | None:
        """The limit of requests that it has named, None for none."""
        return self.restrictions.limit

    @property
    def is_leaving(self) -> bool:
        """Whether the list, or one of its answers, says that it leaves."""
        return self.upstream.draining or self.restrictions.leaving

    @property
    def evacuated_at(self) -> float | None:
        """When the evacuation of its zone was read, None without one."""
        return self._evacuated.get(self.upstream.zone)

    @property
    def is_withdrawn(self) -> bool:
        """Whether it gets nothing more until further notice.

        It leaves, was started again, or its availability zone is evacuated.
        """
        return (
            self.is_leaving
            or self.is_replaced
            or self.upstream.zone in self._evacuated
        )

    def rest_left_s(self, now: float) -> float:
        """Return the seconds for which it wants nothing from this entry."""
        return backpressure.rest_left_s(self.restrictions, now)

    def accepts_new(self, now: float) -> bool:
        """Whether it neither is withdrawn nor rests."""
        return not self.is_withdrawn and not self.rest_left_s(now)

    def is_usable(self, now: float) -> bool:
        """Whether it may be sent a request."""
        return self.accepts_new(now) and health.is_usable(self.health, now)

    def slowness(self, now: float) -> float:
        """Return how much slower its engine is than the usual one."""
        if self.usual_ratio is None:
            # Called for each target in each round of placement.
            if self.speed.reported == engine_speed.USUAL:
                return engine_speed.USUAL
            return engine_speed.slowness(self.speed, now)
        waiting = [
            Sample(shown, item.sent_at, now)
            for item in self.unstarted.values()
            if (shown := self._shown_slowness(item, now)) is not None
        ]
        return engine_speed.slowness(self.speed, now, waiting)

    def usual_first_event_s(self, request_id: str) -> float | None:
        """Return the expected time to first event at the usual speed.

        It is as of the placement of a request, None if it is not known.
        """
        item = self.unstarted.get(request_id)
        if item is None or not item.estimate_s or self.usual_ratio is None:
            return None
        usual = self.usual_ratio.value
        if usual is None:
            return None
        return item.estimate_s * usual

    def _shown_slowness(
        self, item: UnstartedRequest, now: float
    ) -> float | None:
        usual = self.usual_ratio.value if self.usual_ratio else None
        if not item.estimate_s or not usual:
            return None
        return (now - item.sent_at) / (item.estimate_s * usual)

    def _measure(
        self, item: UnstartedRequest, started: bool, now: float
    ) -> None:
        if self.usual_ratio is None or not item.estimate_s:
            return
        shown = self._shown_slowness(item, now)
        if started:
            self.usual_ratio.record((now - item.sent_at) / item.estimate_s)
        if shown is None:
            return
        if started and shown < engine_speed.NOTABLE:
            self.on_time_sent_at = max(self.on_time_sent_at, item.sent_at)
        if started or shown >= engine_speed.NOTABLE:
            sample = Sample(shown, item.sent_at, now)
            self.speed = engine_speed.after_sample(self.speed, sample)

    def record_engine_report(
        self, slowness: float | None, free_tokens: int | None, now: float
    ) -> None:
        """Apply what its engine reports of its speed and free memory."""
        before = self.speed.reported
        self.speed = engine_speed.after_report(self.speed, slowness, now)
        self._free_tokens = free_tokens
        if self.speed.reported != before:
            logs.event(
                'engine_speed_reported',
                upstream=self.id,
                slowness=self.speed.reported,
                before=before,
            )

    def is_cold(self, now: float) -> bool:
        """Whether it may only get a limited number of requests."""
        return self.cold_limit is not None and now < self.cold_until

    def set_cold_policy(
        self,
        policy: ColdPolicy | None,
        entries: int,
        chance: float,
        now: float,
    ) -> None:
        """Apply what operators allow while it is cold, None for any load."""
        limit = self.cold_limit
        if policy is None:
            self.cold_limit = None
        elif limit is None or limit.policy != policy:
            self.cold_limit = cold_limits.entry_limit(
                policy, entries, chance, now, limit.sent if limit else ()
            )

    def record_cold(
        self, until: float, source: str, chance: float, now: float
    ) -> None:
        """Record that it is cold until a time, as `source` says."""
        was_cold = self.is_cold(now)
        self.cold_until = max(self.cold_until, until)
        limit = self.cold_limit
        if limit is None or was_cold or not self.is_cold(now):
            return
        self.cold_limit = cold_limits.entry_limit(
            limit.policy, limit.entries, chance, now, limit.sent
        )
        logs.event(
            'upstream_cold',
            upstream=self.id,
            source=source,
            cold_ms=int((self.cold_until - now) * 1000),
            allowed=limit.policy.per_second,
            entries=limit.entries,
        )

    def share_limit(self, entries: int, chance: float, now: float) -> None:
        """Share its limits among another number of entries."""
        if self.cold_limit is not None:
            self.cold_limit = cold_limits.shared_among(
                self.cold_limit, entries, chance, now
            )
        if self.limit is not None:
            limit = backpressure.shared_among(self.limit, entries, now)
            self.restrictions = self.restrictions._replace(limit=limit)

    def has_capacity(self, now: float, extra: int = 0) -> bool:
        """Whether it has headroom, and its limit allows a request now.

        `extra` is the number of places beyond its slots.
        """
        if backpressure.next_turn_at(self.limit, now) > now:
            return False
        if self.cold_limit is not None and now < self.cold_until:
            if cold_limits.next_send_at(self.cold_limit, now) > now:
                return False
        return self.load.headroom(now, extra) > 0

    def record_sent(self, work: Work, tokens: int, now: float) -> None:
        """Record that a request is sent to it.

        `tokens` is the length of its prompt and likely answer.
        """
        self.load.on_sent(work, now)
        self.has_sent = True
        if self.cold_limit is not None:
            self.cold_limit = cold_limits.after_send(self.cold_limit, now)
        if self._free_tokens is not None:
            self._free_tokens -= tokens
        self.share -= 1
        if self.limit is not None:
            limit = backpressure.take_turn(self.limit, now)
            self.restrictions = self.restrictions._replace(limit=limit)

    def draw_share(
        self, entries: int, max_slots: float, chance: float, now: float
    ) -> None:
        """Set how many free slots this entry may use for SHARE_PERIOD_S.

        `chance` is a random number from 0 to 1 that decides the fractional
        part. All entries together may use `max_slots`.
        """
        free = self.load.slots - self.load.in_flight(now)
        self.share = engine_placement.random_share(
            min(free, max_slots), entries, chance
        )
        self._draw = free, max_slots, entries, chance, self.share
        self.share_until = now + SHARE_PERIOD_S

    def share_draw(self, min_entries: int) -> ShareDraw:
        """Return how its share was drawn, for at least `min_entries`."""
        free, max_slots, entries, chance, share = self._draw
        entries = max(entries, min_entries)
        return ShareDraw(free, max_slots, entries, chance, share)

    def view(
        self,
        is_remote: bool,
        now: float,
        extra: int = 0,
        draw: ShareDraw | None = None,
    ) -> EngineView:
        """Return its state as an engine that is shared by entries.

        `extra` is the number of places beyond its slots.
        """
        sent_at = [item.sent_at for item in self.unstarted.values()]
        free = health.headroom(
            self.load.headroom(now, extra), sent_at, self.is_behind, now
        )
        return EngineView(
            name=self.id,
            ours=self.load.ours,
            others=self.load.in_flight(now) - self.load.ours,
            slots=self.load.slots,
            headroom=0 if self.is_held else free,
            unread_tokens=sum(
                item.prompt_tokens for item in self.unstarted.values()
            ),
            slowness=self.slowness(now),
            closes_in_s=None
            if self.closes_at is None
            else self.closes_at - now,
            is_remote=is_remote,
            share=self.share,
            free_tokens=self._free_tokens,
            draw=draw,
        )

    def first_event_estimate_s(self, now: float) -> float:
        """Estimate the time to first event from this entry's last requests."""
        waits = [now - item.sent_at for item in self.unstarted.values()]
        return max(self.last_first_event_s, *waits, 0.0)

    def longest_wait_s(self, now: float) -> float:
        """Return the longest time an unstarted request has waited there."""
        sent_at = min(
            (item.sent_at for item in self.unstarted.values()), default=now
        )
        return now - sent_at

    def closed_for_s(self, now: float) -> float | None:
        """Return for how long it has accepted no requests, None if it does."""
        return None if self.closed_at is None else now - self.closed_at

    def connection(self, now: float, non_idempotent: bool) -> Connection:
        """Return an idle or a new connection; raises NotConnected."""
        while self._idle:
            conn, kept_at = self._idle.pop()
            fresh = not non_idempotent or now - kept_at < NON_IDEMPOTENT_IDLE_S
            if fresh and now < conn.idle_until and conn.is_quiet():
                return conn
            conn.close()
        return connections.connect(self.upstream.endpoint)

    def keep_new(self, conn: Connection, now: float) -> None:
        """Keep a connection on which nothing was sent."""
        self._keep_until(conn, DEFAULT_IDLE_S, now)

    def keep(self, conn: Connection, idle_s: float, now: float) -> None:
        """Keep a connection for reuse, or close it if it can't be reused."""
        if not conn.is_reusable or self.is_replaced:
            conn.close()
            return
        known_s = idle_s if idle_s < float('inf') else DEFAULT_IDLE_S
        conn.set_poll_interval(connections.POLL_INTERVAL_S)
        self._keep_until(conn, known_s, now)

    def _keep_until(self, conn: Connection, idle_s: float, now: float) -> None:
        conn.idle_until = now + idle_s - IDLE_MARGIN_S
        self._idle.append((conn, now))

    def remove_unstarted(
        self, request_id: str, started: bool, now: float
    ) -> bool:
        """Record that a request has started to answer, or has ended.

        Returns whether the request was still recorded as unstarted.
        """
        item = self.unstarted.pop(request_id, None)
        if item is None:
            return False
        if started:
            self.last_first_event_s = now - item.sent_at
        self._measure(item, started, now)
        before = self.is_behind
        self.is_behind = health.is_behind(before, item.sent_at, started, now)
        if self.is_behind != before:
            logs.event(
                'upstream_behind' if self.is_behind else 'upstream_on_time',
                upstream=self.id,
                request_id=request_id,
                waited_ms=int((now - item.sent_at) * 1000),
            )
        return True

    def record_backpressure(
        self,
        stated: Backpressure,
        request_id: str,
        sent_at: float,
        entries: int,
        chance: float,
        now: float,
    ) -> None:
        """Apply what it asked of its clients in an answer.

        The request that was answered had been sent at `sent_at`. `chance` is
        a random number from 0 to 1; `entries` share a limit.
        """
        self.restrictions = backpressure.after_answer(
            self.restrictions, stated, sent_at, entries, chance, now
        )
        before, self.stated = self.stated, stated
        if stated == before:
            return
        logs.event(
            'upstream_backpressure',
            upstream=self.id,
            request_id=request_id,
            max_rate=stated.max_rate,
            before=before.max_rate,
            leaving=stated.leaving,
            rest_s=stated.rest_s,
            in_force=self.limit.rate if self.limit else None,
            entries=entries,
            unreadable='; '.join(stated.unreadable),
            sent_ms=int((now - sent_at) * 1000),
        )

    def record_failure(self, now: float) -> None:
        """Record a failed request or connection attempt."""
        self.health = health.after_failure(self.health, now)

    def record_success(self, now: float) -> None:
        """Record a successful answer."""
        self.last_received_at = now
        if self.health.failures:
            self.health = health.Health()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop()[0].close()
