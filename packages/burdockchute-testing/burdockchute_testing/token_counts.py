"""Random token counts, spread as on the operators' platform."""

from __future__ import annotations

import random

# Most counts are below their mean, and a few are several times the mean.
SHAPE = 1.5


def draw_token_count(rng: random.Random, mean: float, least: int) -> int:
    """Return a gamma-distributed count with a mean, of at least `least`.

    >>> draw_token_count(random.Random(1), 900.0, 16)
    241
    >>> draw_token_count(random.Random(1), 1.0, 16)
    16
    """
    return max(least, int(rng.gammavariate(SHAPE, 1 / SHAPE) * mean))
