"""Links that copies of weights share, in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import copy_rates

MBIT_BYTES = 125_000

ORIGIN = 'origin'


class Fleet(NamedTuple):
    """Agents and links; `origin_away` gives the times when it refuses."""

    agents: int = 23
    regions: int = 3
    side_mbit: float = 4.7
    region_mbit: float = 15.0
    origin_mbit: float = 9.0
    chunks: int = 48
    chunk_bytes: int = 49_152
    version_s: float = 9.7
    origin_away: Sequence[tuple[float, float]] = ()


def between(here: str, there: str) -> str:
    """Give the link from one region to another."""
    return f'{here}>{there}'


class _Transfer:
    """Bytes on their way over several links at a time."""

    def __init__(
        self,
        links: Sequence[str],
        size: int,
        arrived: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.links = links
        self.left = float(size)
        self.arrived = arrived
        self.failed = failed


class Network:
    """What is on its way; each link is shared evenly by what goes over it."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._transfers: list[_Transfer] = []

    def send(
        self,
        links: Sequence[str],
        size: int,
        arrived: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        """Send bytes over all these links."""
        self._transfers.append(_Transfer(links, size, arrived, failed))

    def origin_is_away(self, now: float) -> bool:
        """Tell whether the origin refuses connections."""
        return any(a <= now < b for a, b in self._fleet.origin_away)

    def move(self, now: float, step_s: float) -> None:
        """Let pass what the links carry in a time."""
        if self.origin_is_away(now):
            self._fail_reads()
        users: dict[str, int] = {}
        for transfer in self._transfers:
            for link in transfer.links:
                users[link] = users.get(link, 0) + 1
        going: list[_Transfer] = []
        came: list[_Transfer] = []
        for transfer in self._transfers:
            rate = min(self._capacity(k) / users[k] for k in transfer.links)
            transfer.left -= rate * step_s
            (going if transfer.left > 0 else came).append(transfer)
        self._transfers = going
        for transfer in came:
            transfer.arrived()

    def _fail_reads(self) -> None:
        lost = [t for t in self._transfers if ORIGIN in t.links]
        self._transfers = [t for t in self._transfers if t not in lost]
        for transfer in lost:
            transfer.failed()

    def _capacity(self, link: str) -> float:
        fleet = self._fleet
        if link == ORIGIN:
            return fleet.origin_mbit * MBIT_BYTES
        if '>' in link:
            return fleet.region_mbit * MBIT_BYTES
        return copy_rates.CAP_SHARE * fleet.side_mbit * MBIT_BYTES
