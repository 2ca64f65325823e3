"""Network links shared by transfers of weights, in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import copy_rates

MBIT_BYTES = 125_000

ORIGIN = 'origin'


class Fleet(NamedTuple):
    """Agents, versions and links.

    Bandwidths are in Mbit/s: `agent_mbit` of an agent's uplink and downlink,
    `region_mbit` of a link between regions. A new version is due every
    `version_interval_s` seconds. `origin_outages` are the intervals, each a
    start and an end in seconds, in which the origin refuses connections.
    """

    agents: int = 23
    regions: int = 3
    agent_mbit: float = 4.7
    region_mbit: float = 15.0
    origin_mbit: float = 9.0
    chunks: int = 48
    chunk_bytes: int = 49_152
    version_interval_s: float = 9.7
    origin_outages: Sequence[tuple[float, float]] = ()


def region_link(here: str, there: str) -> str:
    """Return the name of the link from one region to another."""
    return f'{here}>{there}'


class _Transfer:
    """Bytes in transit over several links at once."""

    def __init__(
        self,
        links: Sequence[str],
        size: int,
        arrived: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.links = links
        self.remaining = float(size)
        self.arrived = arrived
        self.failed = failed


class Network:
    """Transfers in progress; the transfers over a link share it evenly."""

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
        """Start a transfer over all these links at the slowest one's rate."""
        self._transfers.append(_Transfer(links, size, arrived, failed))

    def origin_is_unavailable(self, now: float) -> bool:
        """Whether the origin refuses connections."""
        return any(a <= now < b for a, b in self._fleet.origin_outages)

    def advance(self, now: float, step_s: float) -> None:
        """Advance all transfers by `step_s` seconds."""
        if self.origin_is_unavailable(now):
            self._fail_reads()
        users: dict[str, int] = {}
        for transfer in self._transfers:
            for link in transfer.links:
                users[link] = users.get(link, 0) + 1
        in_transit: list[_Transfer] = []
        arrived_transfers: list[_Transfer] = []
        for transfer in self._transfers:
            rate = min(self._capacity(k) / users[k] for k in transfer.links)
            transfer.remaining -= rate * step_s
            (
                in_transit if transfer.remaining > 0 else arrived_transfers
            ).append(transfer)
        self._transfers = in_transit
        for transfer in arrived_transfers:
            transfer.arrived()

    def _fail_reads(self) -> None:
        failed_transfers = [t for t in self._transfers if ORIGIN in t.links]
        self._transfers = [
            t for t in self._transfers if t not in failed_transfers
        ]
        for transfer in failed_transfers:
            transfer.failed()

    def _capacity(self, link: str) -> float:
        fleet = self._fleet
        if link == ORIGIN:
            return fleet.origin_mbit * MBIT_BYTES
        if '>' in link:
            return fleet.region_mbit * MBIT_BYTES
        return copy_rates.CAP_SHARE * fleet.agent_mbit * MBIT_BYTES
