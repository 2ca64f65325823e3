"""Simulates entries that retry and lease retries, without a network."""

from __future__ import annotations

import bisect
from collections.abc import Callable
import random
from typing import NamedTuple

from burdockchute.decisions import retry_leases
from burdockchute.decisions.retry_allowance import Account
from burdockchute.decisions.retry_allowance import Policy
from burdockchute.decisions.retry_leases import OwnLeases
from burdockchute.decisions.retry_leases import Register
from burdockchute.decisions.retry_leases import RENEW_S
from burdockchute.model.retry_leases import LeasesHeld

SERVICE = 'drafts'
STEP_S = 0.05


class Scene(NamedTuple):
    """What happens to the entries of a service that gets `per_s` requests.

    Entries start again in `starts`, a time and the share of them. In `cuts`, a
    share of them loses the store, between two times; all do in a share of 1.
    In `waves`, a share of the attempts fails, between two times. Requests move
    to other entries at each of `moves`.
    """

    entries: int
    per_s: float
    extra: float
    starts: list[tuple[float, float]]
    cuts: list[tuple[float, float, float]]
    waves: list[tuple[float, float, float]]
    moves: list[float]
    seconds: float = 90.0

    @property
    def policy(self) -> Policy:
        return Policy(0.2, 10.0)


def random_scene(rng: random.Random) -> Scene:
    def spans(count: int) -> list[tuple[float, float, float]]:
        begins = [rng.uniform(0, 80) for _ in range(count)]
        return [
            (b, b + rng.uniform(1, 40), rng.random() ** 0.3) for b in begins
        ]

    return Scene(
        entries=rng.choice([1, 2, 5, 6, 14, 40]),
        per_s=rng.choice([1.0, 9.0, 75.0]),
        extra=rng.choice([0.0, 3.0, 20.0, 106.0, 200.0]),
        starts=[
            (rng.uniform(0, 90), rng.random())
            for _ in range(rng.randint(0, 9))
        ],
        cuts=spans(rng.randint(0, 3)),
        waves=spans(rng.randint(1, 3)),
        moves=[rng.uniform(0, 90) for _ in range(rng.randint(0, 6))],
    )


class Store:
    """A log whose appends are conditional."""

    def __init__(self) -> None:
        self.records: list[LeasesHeld] = []


class LeasingEntry:
    """An entry with the product's account and leases."""

    def __init__(self, name: str, start: int, scene: Scene) -> None:
        self._scene = scene
        self._own = LeasesHeld(name, str(start), {})
        self._account, self._leases = Account(), OwnLeases()
        self._register, self._read_until = Register(), 0
        self._denied = False

    def record_first(self, now: float) -> None:
        self._account.record_first(now, self._scene.policy)

    def take(self, now: float) -> bool:
        scene = self._scene
        leased = retry_leases.lease_size(scene.extra) * self._leases.count(
            SERVICE, now
        )
        taken = self._account.take(now, scene.policy, leased, resuming=True)
        self._denied = self._denied or not taken
        return taken

    def use_store(self, store: Store, now: float) -> None:
        for record in store.records[self._read_until :]:
            self._register.record(record, now)
        self._read_until = len(store.records)
        if not self._account.is_active(now, self._scene.policy):
            return
        window_s = self._scene.policy.window_s
        if self._leases.valid_s(SERVICE, now) > RENEW_S and not self._denied:
            return
        others = self._register.taken(SERVICE, self._own.key, now, window_s)
        wanted = {
            SERVICE: retry_leases.wanted_leases(
                self._leases.count(SERVICE, now),
                self._denied,
                self._register.entries(self._own.entry, now),
                retry_leases.lease_count(self._scene.extra) - others,
            )
        }
        listed = self._leases.listed(wanted, now, window_s)
        store.records.append(self._own._replace(leases=listed))
        self._leases.grant(wanted, now)
        self._denied = False


class Result(NamedTuple):
    """The worst window as a share of what is allowed, and retries."""

    worst_share: float
    retries: int
    failed: int


MakeEntry = Callable[[str, int, Scene], LeasingEntry]


def run(scene: Scene, rng: random.Random, make: MakeEntry) -> Result:
    """Let the entries send, and retry each failed attempt once."""
    store = Store()
    starts = 0
    entries = [make(str(n), 0, scene) for n in range(scene.entries)]
    weights = [rng.random() for _ in entries]
    firsts: list[float] = []
    retries: list[float] = []
    failed = 0
    for step in range(int(scene.seconds / STEP_S)):
        now = step * STEP_S
        for at, share in scene.starts:
            if step == int(at / STEP_S):
                for n in range(scene.entries):
                    if rng.random() < share:
                        starts += 1
                        entries[n] = make(str(n), starts, scene)
        if any(step == int(at / STEP_S) for at in scene.moves):
            weights = [rng.random() ** 4 for _ in entries]
        lost = max((s for b, e, s in scene.cuts if b <= now < e), default=0.0)
        first_linked = lost * scene.entries
        for n, entry in enumerate(entries):
            if n >= first_linked and rng.random() < 0.5:
                entry.use_store(store, now)
        failing = max(
            (s for b, e, s in scene.waves if b <= now < e), default=0
        )
        arriving = scene.per_s * STEP_S
        for _ in range(int(arriving) + (rng.random() < arriving % 1)):
            n = rng.choices(range(scene.entries), weights)[0]
            entry = entries[n]
            firsts.append(now)
            entry.record_first(now)
            if rng.random() < failing:
                failed += 1
                is_retried = entry.take(now)
                if not is_retried and n >= first_linked:
                    # The caller waits for a lease.
                    entry.use_store(store, now)
                    is_retried = entry.take(now)
                if is_retried:
                    retries.append(now)
    return Result(_worst_share(scene, firsts, retries), len(retries), failed)


def _worst_share(
    scene: Scene, firsts: list[float], retries: list[float]
) -> float:
    ratio, window_s = scene.policy

    def sent(begin: float) -> int:
        end = bisect.bisect_left(firsts, begin + window_s)
        return end - bisect.bisect_left(firsts, begin)

    worst = 0.0
    for first, begin in enumerate(retries):
        count = bisect.bisect_left(retries, begin + window_s) - first
        most = max(sent(begin - back * window_s) for back in (0, 0.5, 1))
        worst = max(worst, count / max(scene.extra + ratio * most, 1e-9))
    return worst
