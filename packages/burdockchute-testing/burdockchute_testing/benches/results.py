"""One line of JSON for each measured value.

>>> emit('path', 'half load', 'p95', 2.5, 'ms', 3.0)
{"bench": "path", "case": "half load", "metric": "p95", "value": 2.5, \
"unit": "ms", "bound": 3.0}
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import functools
import json
import math


def emit(
    bench: str,
    case: str,
    metric: str,
    value: float,
    unit: str,
    bound: float | None = None,
) -> None:
    """Print one value; `bound` is the limit that it is compared with."""
    line = {
        'bench': bench,
        'case': case,
        'metric': metric,
        'value': round(value, 4),
        'unit': unit,
        'bound': bound,
    }
    print(json.dumps(line), flush=True)


def emitter(bench: str) -> Callable[..., None]:
    """Return `emit` with its first argument bound to `bench`."""
    return functools.partial(emit, bench)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value with at least `share` of all at or below it.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
