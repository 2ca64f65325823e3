"""A token bucket for the rates that the platform grants."""

from __future__ import annotations

BURST_S = 0.1


class Bucket:
    """Grants `rate` units a second; a rate of 0 grants everything."""

    def __init__(self, rate: float, now: float, burst: float = 0.0) -> None:
        self.rate = rate
        self._burst = burst or rate * BURST_S
        self._level = self._burst
        self._seen = now

    def wait_s(self, amount: float, now: float) -> float:
        """Take the amount and tell how long to wait until it is granted."""
        if not self.rate:
            return 0.0
        self._fill(now)
        self._level -= amount
        return max(0.0, -self._level / self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Take the amount if it is there."""
        if not self.rate:
            return True
        self._fill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def _fill(self, now: float) -> None:
        earned = (now - self._seen) * self.rate
        self._level = min(self._burst, self._level + earned)
        self._seen = now
