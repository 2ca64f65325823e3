"""The share of this instance's link that copies of weights may use.

Live requests go first: both budgets grow at a rate that leaves room for what
live requests have recently carried.
"""

from __future__ import annotations

from burdockchute.decisions import copy_rates


class Bandwidth:
    """Token buckets of both directions; `uplink` and `downlink` in bytes/s."""

    def __init__(self, uplink: float, downlink: float, now: float) -> None:
        self._uplink = uplink
        self._downlink = downlink
        self._up = copy_rates.Bucket(0.0, now)
        self._down = copy_rates.Bucket(0.0, now)
        self._live = copy_rates.Meter(0.0, now)

    def note_live(self, count: int, now: float) -> None:
        """Count bytes of live requests, which have priority over copies."""
        self._live = copy_rates.measure(self._live, count, now)

    def refill(self, now: float, paced: bool = False) -> None:
        """Refill the budgets up to `now`.

        On paced links `reserve_uplink` refills that of the uplink instead,
        for each slice that is sent.
        """
        self._live = copy_rates.measure(self._live, 0.0, now)
        if not paced:
            self._up = copy_rates.refill(self._up, self.send_rate, now)
        self._down = copy_rates.refill(self._down, self.receive_rate, now)

    def reserve_downlink(self, size: int) -> bool:
        """Take bytes from the downlink's budget; False if it is used up."""
        if self._down.level <= 0:
            return False
        self._down = copy_rates.take(self._down, size)
        return True

    def release_downlink(self, size: int) -> None:
        """Return the bytes that were reserved for a refused request.

        Otherwise each refusal would leave the link idle for the time that
        its chunk takes.
        """
        self._down = copy_rates.take(self._down, -size)

    @property
    def can_send(self) -> bool:
        """Whether anything is left of the uplink's budget."""
        return self._up.level > 0

    def consume_uplink(self, size: int) -> None:
        """Take bytes from the uplink's budget."""
        self._up = copy_rates.take(self._up, size)

    @property
    def send_rate(self) -> float:
        """Bytes per second that copies may send at present."""
        return copy_rates.max_copy_rate(self._uplink, self._live.rate)

    @property
    def receive_rate(self) -> float:
        """Bytes per second that copies may receive at present."""
        return copy_rates.max_copy_rate(self._downlink, self._live.rate)

    def reserve_uplink(self, size: int, now: float) -> float:
        """Take bytes from the uplink's budget and return 0.

        If the budget is used up, take none and return the seconds until
        something may be sent.
        """
        self._up = copy_rates.refill(
            self._up, self.send_rate, now, copy_rates.PACED_BURST_S
        )
        if self._up.level <= 0:
            return self.send_wait_s()
        self.consume_uplink(size)
        return 0.0

    def send_wait_s(self) -> float:
        """Return the seconds until something may be sent."""
        return copy_rates.wait_s(self._up, self.send_rate)
