"""Upstreams as one entry uses them: connections, load and health."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute import logs
from burdockchute.decisions import engine_placement
from burdockchute.decisions import health
from burdockchute.decisions.engine_placement import EngineView
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model.upstreams import Upstream
from burdockchute.upstreams import connections
from burdockchute.upstreams.connections import Connection

# A kept connection is given up this long before its upstream would close
# it, so that no request crosses the close.
IDLE_MARGIN_S = 0.5

# An upstream that does not say how long it keeps a connection keeps it for
# at least so long.
DEFAULT_IDLE_S = 4.0

# A request that may not be repeated goes on a connection that was used this
# recently, or on a new one: a reset leaves its outcome unknown.
NON_IDEMPOTENT_IDLE_S = 1.0

# Free slots are shared out anew after each report, and at least this often.
SHARE_PERIOD_S = 0.15


class UnstartedRequest(NamedTuple):
    """A request of ours that has not begun to answer."""

    prompt_tokens: int
    sent_at: float


class Target:
    """One upstream.

    `versions` is what it last said that it has loaded, by its own entry in
    the list or by its agent. `last_received_at` is when its last byte came,
    `unstarted` has our requests that have not begun to answer, by id.
    """

    def __init__(self, upstream: Upstream, now: float) -> None:
        self.upstream = upstream
        self.load = InstanceLoad(upstream.id, now)
        self.versions: Mapping[str, int] = upstream.versions
        self.health = health.Health()
        self.last_received_at = now
        self.slowness = 1.0
        self.unstarted: dict[str, UnstartedRequest] = {}
        # What the last request took from its sending to its first event.
        self.last_first_event_s = 0.0
        # Requests end there without having begun.
        self.is_behind = False
        # Of its free slots, those that this entry may use until `share_until`.
        self.share = 0
        self.share_until = now
        self.closes_at: float | None = None
        # When it is likely to take requests again, by its agent.
        self.opens_at: float | None = None
        # Since when its engine loads and takes nothing new.
        self.closed_at: float | None = None
        # What was sent before stands in the link to it.
        self.is_held = False
        self._idle: list[tuple[Connection, float]] = []
        self.load.apply_report(0, upstream.slots, 1, 0.0, (), now)

    @property
    def id(self) -> str:
        """The id of the upstream."""
        return self.upstream.id

    def update_listing(self, upstream: Upstream) -> None:
        """Take in a newer entry of the list."""
        if upstream.versions != self.upstream.versions:
            self.versions = upstream.versions
        self.upstream = upstream

    def is_usable(self, now: float) -> bool:
        """Tell whether it may get a request."""
        return not self.upstream.draining and health.is_usable(
            self.health, now
        )

    def draw_share(
        self, entries: int, max_slots: float, chance: float, now: float
    ) -> None:
        """Draw how many of its free slots this entry may use for SHARE_S.

        `chance` is drawn from 0 to 1; all entries may use `max_slots`.
        """
        free = self.load.slots - self.load.in_flight(now)
        self.share = engine_placement.random_share(
            min(free, max_slots), entries, chance
        )
        self.share_until = now + SHARE_PERIOD_S

    def view(self, is_remote: bool, now: float) -> EngineView:
        """Give what is known of it as an engine that entries share."""
        sent_at = [item.sent_at for item in self.unstarted.values()]
        free = health.headroom(
            self.load.headroom(now), sent_at, self.is_behind, now
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
            slowness=self.slowness,
            closes_in_s=None
            if self.closes_at is None
            else self.closes_at - now,
            is_remote=is_remote,
            share=self.share,
        )

    def first_event_estimate_s(self, now: float) -> float:
        """Give what a request takes to begin there, by the last of ours."""
        waits = [now - item.sent_at for item in self.unstarted.values()]
        return max(self.last_first_event_s, *waits, 0.0)

    def longest_wait_s(self, now: float) -> float:
        """Give for how long a request of ours has waited to begin there."""
        sent_at = min(
            (item.sent_at for item in self.unstarted.values()), default=now
        )
        return now - sent_at

    def closed_for_s(self, now: float) -> float | None:
        """Give how long it takes nothing new, None if it does."""
        return None if self.closed_at is None else now - self.closed_at

    def connection(self, now: float, non_idempotent: bool) -> Connection:
        """Give a connection for one request; raises NotConnected."""
        while self._idle:
            conn, kept_at = self._idle.pop()
            fresh = not non_idempotent or now - kept_at < NON_IDEMPOTENT_IDLE_S
            if fresh and now < conn.idle_until and conn.is_quiet():
                return conn
            conn.close()
        return connections.connect(self.upstream.endpoint)

    def keep(self, conn: Connection, idle_s: float, now: float) -> None:
        """Keep a connection for the next request, or close it."""
        if not conn.may_serve_on:
            conn.close()
            return
        known_s = idle_s if idle_s < float('inf') else DEFAULT_IDLE_S
        conn.look_each(connections.LOOK_S)
        conn.idle_until = now + known_s - IDLE_MARGIN_S
        self._idle.append((conn, now))

    def remove_unstarted(
        self, request_id: str, started: bool, now: float
    ) -> bool:
        """Note that a request of ours has begun to answer, or ended.

        Tells whether this was not known yet.
        """
        item = self.unstarted.pop(request_id, None)
        if item is None:
            return False
        if started:
            self.last_first_event_s = now - item.sent_at
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

    def record_failure(self, now: float) -> None:
        """Note a request or connection that the upstream failed."""
        self.health = health.after_failure(self.health, now)

    def record_success(self, now: float) -> None:
        """Note that it answers."""
        self.last_received_at = now
        if self.health.failures:
            self.health = health.Health()

    def close_idle(self) -> None:
        """Close the connections that no request is on."""
        while self._idle:
            self._idle.pop()[0].close()
