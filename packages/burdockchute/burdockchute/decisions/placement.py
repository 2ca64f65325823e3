"""Placement: on which instance a request runs.

Load it answers: instances that differ in speed, slow down, come and go, of
which an entry knows only late what the other entries send them.

Without it, round robin gives the slowest donated machine as much as the
fastest, so that a pool is as slow as its slowest member; and whoever follows
late reports to the least loaded instance sends a whole second's burst to
one place. A prompt that starts like an earlier one is computed anew
wherever its prefix is not in the cache.

How it decides: an instance's load is what was reported, less what we had
there at the time, plus what we have there now, so a late report errs only by
the other entries' change; each answer brings a fresh count. Of the instances
with room these are compared by expected time: two drawn at random, which
keeps entries with the same late report from choosing the same place; those
that are warm for the prompt; and the prompt's home, the one with room that
comes first by rendezvous hash over its first block. The home is preferred
even to a warm instance: entries that know nothing of each other's requests
then send prompts that start alike to the same cache, and each cache holds
its part of all prompts in place of a little of everything. A block that is
computed elsewhere also pushes another out there, hence HOME_SHARE over one.

Expected time is service at the instance's own measured speed, plus waiting
for a slot, plus the prefill that its cache does not save. So a warm instance
wins unless its queue costs more than the prefill saved.

Thresholds: an instance may hold QUEUE_SHARE over its slots, which hides the
round trip between one request's end and the next one's start; all else
waits at the entry, where it can be ordered. At a quarter over, a quiet
customer's 95th percentile beside a flood was 2.25 times its quiet value
(trial of make bench-load), as its requests stood in the engines' queues. Its
window starts at half of the slots and grows by one with each answer, so that
it is whole after one service time: a fresh instance has a cold cache, and
one that comes back from a fault would otherwise take a full load at once. A
failure halves the window, which takes load off a sick instance within two
failures while one probe always remains. Measured speed moves by a fifth with
each answer and half-way back to the pool's mean in FORGET_S without one, or
a slow instance that got nothing any more would be slow for ever. A full
batch is taken to be FILL_COST slower than an empty one, which is enough to
prefer the emptier of two and too little to outweigh a warm cache.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.decisions import hosting

QUEUE_SHARE = 0.05
FILL_COST = 0.1
START_SHARE = 0.5
LEAST_WINDOW = 1.0
LEAST_START = 2.0
SMOOTHING = 0.2
FORGET_S = 3.0
HOME_SHARE = 1.5
BLOCK_TOKENS = 64

# Instances report this much of a prefix's digest. Two prefixes that agree in
# it would only make one request wait for a prefill it was not expected to.
PREFIX_CHARS = 16

# What was sent counts as cached until the engine's own account, which comes
# some seconds late, takes over. Kept for longer it would soon say that
# everything is cached everywhere: caches forget, and we don't see it.
WARM_S = 4.0
MAX_WARM = 4096

# Of what an instance reports, the newest count, for the same reason.
MAX_REPORTED = 48

# A load report that is older than this says nothing about the other entries
# any more. Reports come each second or two.
REPORT_VALID_S = 5.0


class Work(NamedTuple):
    """What placement needs to know of a request."""

    cost: float
    is_long: bool
    prompt_tokens: int
    prefixes: tuple[str, ...]


def truncate_prefixes(prefixes: Iterable[str]) -> tuple[str, ...]:
    """Give the prefixes as instances report them."""
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
        self.window = LEAST_WINDOW
        self.started = False
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
        """Take in what the instance says of itself.

        `prefixes` are those stored since its last report, oldest first.
        """
        self.slots = max(1, slots)
        if not self.started:
            self.window = max(LEAST_START, self.slots * START_SHARE)
            self.started = True
        self.update_in_flight(in_flight, now)
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.entries = entries
        for prefix in truncate_prefixes(prefixes):
            self._reported[prefix] = None
            self._reported.move_to_end(prefix)
        while len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)

    def forget_prefixes(self, prefixes: Iterable[str]) -> None:
        """Take in which prefixes the instance's cache has lost."""
        for prefix in prefixes:
            self._reported.pop(prefix, None)

    def update_in_flight(self, in_flight: int, now: float) -> None:
        """Take in how many requests are there from all entries."""
        self.others = max(0, in_flight - self.ours)
        self.reported_at = now

    def on_sent(self, work: Work, now: float) -> None:
        """Count a request that was sent there."""
        self.ours += 1
        self.long_ours += work.is_long
        for prefix in work.prefixes:
            self._sent[prefix] = now
            self._sent.move_to_end(prefix)
        while len(self._sent) > MAX_WARM:
            self._sent.popitem(last=False)

    def on_returned(self, work: Work) -> None:
        """Count a request that came back without having been run."""
        self.ours -= 1
        self.long_ours -= work.is_long

    def on_answered(
        self, work: Work, service_s: float, mean_unit_s: float, now: float
    ) -> None:
        """Count an answer that took so long from sending to its end."""
        self.on_returned(work)
        self.window = min(self.window + 1, self._most())
        self._learn(service_s / work.cost, mean_unit_s, now)

    def on_failed(
        self, work: Work, service_s: float, mean_unit_s: float, now: float
    ) -> None:
        """Count a request that was lost or late there after so long."""
        self.on_returned(work)
        self.window = max(LEAST_WINDOW, self.window / 2)
        unit_s = service_s / work.cost
        if unit_s > self.current_unit_s(mean_unit_s, now):
            # It takes at least this long; an instance whose answers all come
            # after the deadline would never be measured otherwise.
            self._learn(unit_s, mean_unit_s, now)

    def in_flight(self, now: float) -> int:
        """Estimate the requests there from all entries."""
        fresh = now - self.reported_at <= REPORT_VALID_S
        return self.ours + (self.others if fresh else 0)

    def headroom(self, now: float) -> int:
        """Give how many more requests may be sent there now."""
        if self.reserved_for:
            return 0
        # Whoever fills an instance first would keep it, since each of its
        # answers frees a slot for its own next request; customers of the
        # other entries would wait. So each entry may have its even part,
        # and one that is over its part gets no more until there is room.
        even = self.slots // self.entries - self.ours
        by_slots = max(even, self._most() - self.in_flight(now))
        return max(0, int(min(by_slots, self.window - self.ours)))

    def accepts_long(self, long_share: float) -> bool:
        """Tell whether long work has not yet taken its part here.

        What the other entries have here may be long as well, so the part is
        of what they leave: two entries with half of all slots each would
        together fill the instance with long work.
        """
        ours = self.slots - self.others
        return self.long_ours < max(1, int(ours * long_share))

    def current_unit_s(self, mean_unit_s: float, now: float) -> float:
        """Give the time per unit of work, drawn to the mean with age."""
        if not self.unit_s:
            return mean_unit_s
        keep = 0.5 ** (max(0.0, now - self.unit_at) / FORGET_S)
        return keep * self.unit_s + (1 - keep) * mean_unit_s

    def warm_tokens(self, work: Work, now: float) -> int:
        """Give how many tokens of a prompt are likely in the cache."""
        for blocks in range(len(work.prefixes), 0, -1):
            prefix = work.prefixes[blocks - 1]
            sent_at = self._sent.get(prefix, -WARM_S)
            if prefix in self._reported or now - sent_at < WARM_S:
                return blocks * BLOCK_TOKENS
        return 0

    def _learn(self, unit_s: float, mean_unit_s: float, now: float) -> None:
        known = self.current_unit_s(mean_unit_s, now)
        if known:
            unit_s = (1 - SMOOTHING) * known + SMOOTHING * unit_s
        self.unit_s = unit_s
        self.unit_at = now

    def _most(self) -> float:
        return self.slots + int(self.slots * QUEUE_SHARE)


def choose_instance(
    loads: Sequence[InstanceLoad],
    work: Work,
    mean_unit_s: float,
    now: float,
    rng: random.Random,
) -> InstanceLoad | None:
    """Give the instance for a request, None where none has room."""
    free = [load for load in loads if load.headroom(now) > 0]
    if not free:
        return None
    compared = rng.sample(free, 2) if len(free) > 2 else list(free)
    home = None
    if work.prefixes:
        home = hosting.ranked(work.prefixes[0], [i.name for i in free])[0]
        compared += [
            load
            for load in free
            if load.name == home or load.warm_tokens(work, now)
        ]
    return min(
        compared,
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
    waits = max(0.0, load.in_flight(now) + 1 - load.slots) / load.slots
    prefill_s = 0.0
    if load.prefill_tokens_per_s > 0:
        warm_tokens: float = load.warm_tokens(work, now)
        if is_home:
            warm_tokens = HOME_SHARE * len(work.prefixes) * BLOCK_TOKENS
        cold_tokens = work.prompt_tokens - warm_tokens
        prefill_s = cold_tokens / load.prefill_tokens_per_s
    return service_s * (1 + FILL_COST * filled + waits) + prefill_s


def accepting_long(
    loads: Iterable[InstanceLoad], long_share: float
) -> tuple[InstanceLoad, ...]:
    """Give the instances that may take long work now.

    Long work holds a slot for as long as many short requests would; at most
    `long_share` of an instance's slots go to it, but always one.
    """
    return tuple(load for load in loads if load.accepts_long(long_share))
