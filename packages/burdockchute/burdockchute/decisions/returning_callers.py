"""Which callers were refused before, judged by the time that they have left.

Refused callers retry after the delay they were given, with less time left and
past their objective. If one of them waited among the new requests, it would
take their slots. But the deadlines of callers differ as well, on some sites by
a sixth, so only a caller with clearly less time left than others of its route
counts as returning.
"""

from __future__ import annotations

# Deadlines of callers of one route differ by less than this share.
DEADLINE_SPREAD = 0.2

# Additional share for the transit of the refusal and of the retry.
TRANSIT_MARGIN = 0.01


def elapsed_s(longest_s: float, left_s: float) -> float:
    """Estimate what a caller has spent on a request before, in seconds.

    `longest_s` is the longest time left that any caller of its route has
    stated.

    >>> elapsed_s(6.0, 5.0), elapsed_s(6.0, 4.5)
    (0.0, 1.5)
    """
    elapsed = longest_s - left_s
    return elapsed if elapsed > DEADLINE_SPREAD * longest_s else 0.0


def min_return_delay_s(left_s: float) -> float:
    """Return the shortest delay after which a retry is recognised as one.

    >>> round(min_return_delay_s(6.0), 2)
    1.26
    """
    return (DEADLINE_SPREAD + TRANSIT_MARGIN) * left_s
