"""Which callers have been sent away before, by the time that they name.

Load: refused callers return as told, with less time left and past their
objective; one that waits among the new ones would take their places. But
callers differ in patience as well, on some sites by a sixth of their time, so
only who has clearly less left than others of its route has been here before.
"""

from __future__ import annotations

# Callers of one route begin with times that differ by less than this part.
PATIENCE_SPREAD = 0.2

# The way of the refusal and of the return are not counted.
MARGIN = 0.01


def elapsed_s(longest_s: float, left_s: float) -> float:
    """Estimate what a caller has spent on a request before, in seconds.

    `longest_s` is the most time that any caller of its route has named.

    >>> elapsed_s(6.0, 5.0), elapsed_s(6.0, 4.5)
    (0.0, 1.5)
    """
    spent = longest_s - left_s
    return spent if spent > PATIENCE_SPREAD * longest_s else 0.0


def min_return_delay_s(left_s: float) -> float:
    """Give after which time a caller that returns is known as such.

    >>> min_return_delay_s(6.0)
    1.26
    """
    return (PATIENCE_SPREAD + MARGIN) * left_s
