"""On which instance a request runs.

Instances differ in speed, slow down, join and leave, and an entry learns only
late what the other entries send them. Round robin would give the slowest
donated machine as much as the fastest, so that a pool is as slow as its
slowest member. Always choosing the least loaded instance of late reports would
send the burst of a whole second to one of them. And a prompt that starts like
an earlier one is computed again wherever its prefix is not in the cache.

An instance's load is what it reported, less what this entry had there at the
time, plus what it has there now, so a late report is wrong only by the change
of the other entries; each answer brings a new count. Instances with headroom
are compared by expected time: two random ones, which keeps entries with the
same late report from choosing the same instance; those that are warm for the
prompt; and the prompt's home, which is the first instance with headroom in the
rendezvous order of the prompt's first block. The home is preferred even to a
warm instance: entries that know nothing of each other's requests then send
prompts that start alike to the same cache, and each cache holds its part of
all prompts instead of a little of everything.

The expected time is the service time at the instance's own measured speed,
plus the wait for a slot, plus the prefill that its cache does not save. So a
warm instance wins unless its queue costs more than the saved prefill.

An instance may hold QUEUE_SHARE more requests than its slots; all others wait
at the entry, where they can be ordered. Each entry also limits its own
requests there to a window, which grows by one with each answer and is halved
by a failure.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.decisions import hosting

# Hides the round trip between the end of one request and the start of the
# next. At a quarter, the 95th percentile of a quiet customer was 2.25 times as
# high during the flood of another one as without it, since its requests waited
# in the queues of the engines.
QUEUE_SHARE = 0.05
# Share by which a full batch is assumed to be slower than an empty one: enough
# to prefer the emptier of two instances, too little to outweigh a warm cache.
FULL_BATCH_COST = 0.1

# Share of the slots with which the window starts; it is fully open after one
# service time. A new instance has a cold cache, and one that recovers from a
# fault would otherwise get a full load at once.
INITIAL_WINDOW_SHARE = 0.5

# Halving takes load off a faulty instance within two failures, while one probe
# always remains.
MIN_WINDOW = 1.0
MIN_INITIAL_WINDOW = 2.0
# Weight of the newest answer in the measured speed.
SMOOTHING = 0.2
# Without answers, the measured speed moves half-way to the mean of the pool in
# this time; otherwise a slow instance that gets nothing any more would count
# as slow forever.
SPEED_HALF_LIFE_S = 3.0

# Factor on the tokens that the home is assumed to have cached. It is above
# one, as a block that is computed elsewhere also evicts another one there.
HOME_PREFERENCE = 1.5

BLOCK_TOKENS = 64

# Characters of a prefix digest that instances report. Two prefixes that agree
# in them would only make one request wait for an unexpected prefill.
PREFIX_CHARS = 16

# A prefix that was sent counts as cached until the report of the engine, which
# comes some seconds late, replaces the assumption. If it counted for longer,
# everything would soon seem cached everywhere, as caches evict entries
# unnoticed.
WARM_S = 4.0
MAX_SENT_PREFIXES = 4096

# Newest reported prefixes that count, for the same reason.
MAX_REPORTED_PREFIXES = 48

# An older load report says nothing about the other entries any more. Reports
# come every second or two.
REPORT_VALID_S = 5.0


class Work(NamedTuple):
    """What placement needs to know of a request."""

    cost: float
    is_long: bool
    prompt_tokens: int
    prefixes: tuple[str, ...]


def truncate_prefixes(prefixes: Iterable[str]) -> tuple[str, ...]:
    """Return the prefixes in the form that instances report."""
    return tuple(prefix[:PREFIX_CHARS] for prefix in prefixes)


class InstanceLoad:
    """What one entry knows of the load of one instance.

    `ours` counts this entry's requests there, `others` those of the other
    entries as of the last report. `unit_s` is the measured time per unit of
    work, 0 before the first answer.
    """

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.slots = 1
        self.ours = 0
        self.long_ours = 0
        self.others = 0
        self.reported_at = now
        self.window = MIN_WINDOW
        self.has_reported = False
        self.unit_s = 0.0
        self.unit_at = now
        self.prefill_tokens_per_s = 0.0
        self.entries = 1
        self._reported: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sent: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.reserved_for = ''

    def apply_report(
        self,
        in_flight: int,
        slots: int,
        entries: int,
        prefill_tokens_per_s: float,
        prefixes: Iterable[str],
        now: float,
    ) -> None:
        """Apply a load report of the instance.

        `prefixes` are those stored since its last report, oldest first.
        """
        self.slots = max(1, slots)
        if not self.has_reported:
            self.window = self._initial_window()
            self.has_reported = True
        self.update_in_flight(in_flight, now)
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.entries = entries
        for prefix in truncate_prefixes(prefixes):
            self._reported[prefix] = None
            self._reported.move_to_end(prefix)
        while len(self._reported) > MAX_REPORTED_PREFIXES:
            self._reported.popitem(last=False)

    def forget_prefixes(self, prefixes: Iterable[str]) -> None:
        """Remove prefixes that the instance's cache has evicted."""
        for prefix in prefixes:
            self._reported.pop(prefix, None)

    def restart(self) -> None:
        """Start with a small window and no measured speed again.

        The instance may have become cold while it got nothing.
        """
        self.window = self._initial_window()
        self.unit_s = 0.0

    def update_in_flight(self, in_flight: int, now: float) -> None:
        """Update the number of requests there from all entries."""
        self.others = max(0, in_flight - self.ours)
        self.reported_at = now

    def on_sent(self, work: Work, now: float) -> None:
        """Count a request that was sent there."""
        self.ours += 1
        self.long_ours += work.is_long
        for prefix in work.prefixes:
            self._sent[prefix] = now
            self._sent.move_to_end(prefix)
        while len(self._sent) > MAX_SENT_PREFIXES:
            self._sent.popitem(last=False)

    def on_returned(self, work: Work) -> None:
        """Count a request that was returned without having been run."""
        self.ours -= 1
        self.long_ours -= work.is_long

    def on_answered(
        self, work: Work, service_s: float, mean_unit_s: float, now: float
    ) -> None:
        """Count an answer that took `service_s` from sending to its end."""
        self.on_returned(work)
        self.window = min(self.window + 1, self._max_in_flight())
        self._update_speed(service_s / work.cost, mean_unit_s, now)

    def on_failed(
        self, work: Work, service_s: float, mean_unit_s: float, now: float
    ) -> None:
        """Count a request that was lost or late after `service_s`."""
        self.on_returned(work)
        self.window = max(MIN_WINDOW, self.window / 2)
        unit_s = service_s / work.cost
        if unit_s > self.current_unit_s(mean_unit_s, now):
            # The request takes at least this long. Otherwise an instance whose
            # answers all come after the deadline would never be measured.
            self._update_speed(unit_s, mean_unit_s, now)

    def in_flight(self, now: float) -> int:
        """Estimate the requests there from all entries."""
        is_current = now - self.reported_at <= REPORT_VALID_S
        return self.ours + (self.others if is_current else 0)

    def headroom(self, now: float, extra: int = 0) -> int:
        """Return how many more requests may be sent there now.

        `extra` is the number of places beyond its slots.
        """
        if self.reserved_for:
            return 0
        # The entry that fills an instance first would keep it, since each
        # answer frees a slot for its own next request; the customers of the
        # other entries would wait. So each entry may have its even share, and
        # an entry beyond its share gets more only while slots are free.
        even_share = self.slots // self.entries - self.ours
        by_slots = max(even_share, self._max_in_flight() - self.in_flight(now))
        by_slots += extra
        return max(0, int(min(by_slots, self.window - self.ours)))

    def accepts_long(self, long_share: float) -> bool:
        """Whether long work may take one more slot here.

        The requests of other entries may be long as well, so the share is
        taken of the slots that they leave: two entries with half of all slots
        each would together fill the instance with long work.
        """
        ours = self.slots - self.others
        return self.long_ours < max(1, int(ours * long_share))

    def current_unit_s(self, mean_unit_s: float, now: float) -> float:
        """Return the time per unit of work, pulled to the mean with age."""
        if not self.unit_s:
            return mean_unit_s
        keep = 0.5 ** (max(0.0, now - self.unit_at) / SPEED_HALF_LIFE_S)
        return keep * self.unit_s + (1 - keep) * mean_unit_s

    def warm_tokens(self, work: Work, now: float) -> int:
        """Return how many tokens of a prompt are likely to be cached."""
        for blocks in range(len(work.prefixes), 0, -1):
            prefix = work.prefixes[blocks - 1]
            sent_at = self._sent.get(prefix, -WARM_S)
            if prefix in self._reported or now - sent_at < WARM_S:
                return blocks * BLOCK_TOKENS
        return 0

    def _update_speed(
        self, unit_s: float, mean_unit_s: float, now: float
    ) -> None:
        known = self.current_unit_s(mean_unit_s, now)
        if known:
            unit_s = (1 - SMOOTHING) * known + SMOOTHING * unit_s
        self.unit_s = unit_s
        self.unit_at = now

    def _initial_window(self) -> float:
        return max(MIN_INITIAL_WINDOW, self.slots * INITIAL_WINDOW_SHARE)

    def _max_in_flight(self) -> float:
        return self.slots + int(self.slots * QUEUE_SHARE)


def choose_instance(
    loads: Sequence[InstanceLoad],
    work: Work,
    mean_unit_s: float,
    now: float,
    rng: random.Random,
) -> InstanceLoad | None:
    """Return the instance for a request, None if none has headroom."""
    free = [load for load in loads if load.headroom(now) > 0]
    if not free:
        return None
    candidates = rng.sample(free, 2) if len(free) > 2 else list(free)
    home = None
    if work.prefixes:
        home = hosting.ranked(work.prefixes[0], [i.name for i in free])[0]
        candidates += [
            load
            for load in free
            if load.name == home or load.warm_tokens(work, now)
        ]
    return min(
        candidates,
        key=lambda load: expected_s(
            load, work, load.name == home, mean_unit_s, now
        ),
    )


def expected_s(
    load: InstanceLoad,
    work: Work,
    is_home: bool,
    mean_unit_s: float,
    now: float,
) -> float:
    """Estimate the seconds from sending a request to its end."""
    service_s = load.current_unit_s(mean_unit_s, now) * work.cost
    filled = load.in_flight(now) / load.slots
    queued_per_slot = (
        max(0.0, load.in_flight(now) + 1 - load.slots) / load.slots
    )
    prefill_s = 0.0
    if load.prefill_tokens_per_s > 0:
        warm_tokens: float = load.warm_tokens(work, now)
        if is_home:
            warm_tokens = HOME_PREFERENCE * len(work.prefixes) * BLOCK_TOKENS
        cold_tokens = work.prompt_tokens - warm_tokens
        prefill_s = cold_tokens / load.prefill_tokens_per_s
    return (
        service_s * (1 + FULL_BATCH_COST * filled + queued_per_slot)
        + prefill_s
    )


def accepting_long(
    loads: Iterable[InstanceLoad], long_share: float
) -> tuple[InstanceLoad, ...]:
    """Return the instances that may take long work now.

    Long work holds a slot for the time of many short requests, so at most
    `long_share` of the slots of an instance go to it, but always one.
    """
    return tuple(load for load in loads if load.accepts_long(long_share))
