"""A token bucket for the rate limits of the platform."""

from __future__ import annotations

BURST_S = 0.1


class Bucket:
    """Grants `rate` units per second; a rate of 0 means no limit.

    The default of `burst` is what `rate` grants in `BURST_S`.
    """

    def __init__(self, rate: float, now: float, burst: float = 0.0) -> None:
        self.rate = rate
        self._burst = burst or rate * BURST_S
        self._level = self._burst
        self._updated_at = now

    def wait_s(self, amount: float, now: float) -> float:
        """Take the amount and return the seconds until it is granted."""
        if not self.rate:
            return 0.0
        self._fill(now)
        self._level -= amount
        return max(0.0, -self._level / self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Take the amount if it is available; returns whether it was."""
        if not self.rate:
            return True
        self._fill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def _fill(self, now: float) -> None:
        earned = (now - self._updated_at) * self.rate
        self._level = min(self._burst, self._level + earned)
        self._updated_at = now
