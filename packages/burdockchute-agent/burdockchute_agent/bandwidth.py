"""What copies may use of this instance's link at the moment."""

from __future__ import annotations

from burdockchute.decisions import copy_rates


class Bandwidth:
    """Budgets of both directions; `uplink` and `downlink` are bytes/s."""

    def __init__(self, uplink: float, downlink: float, now: float) -> None:
        self._uplink = uplink
        self._downlink = downlink
        self._up = copy_rates.Bucket(0.0, now)
        self._down = copy_rates.Bucket(0.0, now)
        self._live = copy_rates.Meter(0.0, now)

    def note_live(self, count: int, now: float) -> None:
        """Count bytes of live requests, which go first."""
        self._live = copy_rates.measure(self._live, count, now)

    def refill(self, now: float, paced: bool = False) -> None:
        """Let the budgets grow up to the present time.

        Where slices are paced, the uplink's grows as they go out.
        """
        self._live = copy_rates.measure(self._live, 0.0, now)
        if not paced:
            self._up = copy_rates.refill(self._up, self.send_rate, now)
        self._down = copy_rates.refill(self._down, self.receive_rate, now)

    def reserve_downlink(self, size: int) -> bool:
        """Take bytes of the downlink, or tell that none are left."""
        if self._down.level <= 0:
            return False
        self._down = copy_rates.take(self._down, size)
        return True

    def release_downlink(self, size: int) -> None:
        """Give back bytes that were taken for a request that was refused.

        Kept, they would leave the link idle for the time of a chunk each.
        """
        self._down = copy_rates.take(self._down, -size)

    @property
    def can_send(self) -> bool:
        """Whether the uplink has anything left."""
        return self._up.level > 0

    def consume_uplink(self, size: int) -> None:
        """Take bytes of the uplink."""
        self._up = copy_rates.take(self._up, size)

    @property
    def send_rate(self) -> float:
        """Bytes per second that copies may send now."""
        return copy_rates.max_copy_rate(self._uplink, self._live.rate)

    @property
    def receive_rate(self) -> float:
        """Bytes per second that copies may receive now."""
        return copy_rates.max_copy_rate(self._downlink, self._live.rate)

    def reserve_uplink(self, size: int, now: float) -> float:
        """Take bytes of the uplink, or give how long until they are there."""
        self._up = copy_rates.refill(
            self._up, self.send_rate, now, copy_rates.PACED_BURST_S
        )
        if self._up.level <= 0:
            return self.send_wait_s()
        self.consume_uplink(size)
        return 0.0

    def send_wait_s(self) -> float:
        """Give how long until something may be sent."""
        return copy_rates.wait_s(self._up, self.send_rate)
