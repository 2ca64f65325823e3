"""Size classes of requests: the largest tenth, the fifth below it, the rest.

A request is large only in comparison with others of its route, so each request
is ranked among the recent ones of its route. It is ranked by several measures,
as prompts and answers take different resources of an engine.

While there are more requests than slots, short prompts start on engines where
a long one would miss its objective, so long ones are passed over until their
time is over. That is allowed only while no class is far behind: SizeBalance
counts how often each class is served, compared with all requests of its route.
The requests of a class that is served less often are placed before others of
their customer and priority. Those of a class below USUAL_RATIO are placed
where a prompt of the usual length would be, although they may start late.
"""

from __future__ import annotations

import bisect
from collections import deque
from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import NamedTuple

# Number of recent requests that a request is ranked among.
RANKED_COUNT = 200

# Among fewer requests, the largest tenth is one or two of them.
MIN_RANKED = 20

LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3

# An engine takes about ten times as long to generate a token as to process one
# of a prompt, with the other requests of its batch.
ANSWER_TOKEN_WEIGHT = 10

# Each class is to be served at least this many times as often as its route.
USUAL_RATIO = 0.8

# Number of requests of a route after which a count has lost two thirds of its
# weight.
BALANCE_COUNT = 200

# Number of routes of which sizes are kept; each takes about 45 kB.
MAX_ROUTES = 64


class SizeClass(enum.Enum):
    """The largest tenth of the requests of a route, the fifth below it."""

    LARGEST = 'largest'
    LARGE = 'large'
    OTHER = 'other'


class Sizes(NamedTuple):
    """The size of a request by each measure; `tokens` combines the two."""

    prompt: int
    answer: int
    tokens: int


def sizes_of(prompt_tokens: int, answer_tokens: int) -> Sizes:
    """Return the size of a request by each measure.

    >>> sizes_of(900, 80)
    Sizes(prompt=900, answer=80, tokens=1700)
    """
    tokens = prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens
    return Sizes(prompt_tokens, answer_tokens, tokens)


class ServedShares(NamedTuple):
    """Shares of the requests of a route that were served.

    `tenth` are the largest by some measure, `fifth` those below them.
    """

    requests: int
    all: float
    fifth: float
    tenth: float


def served_shares(
    requests: Collection[tuple[Sizes, bool]],
) -> dict[str, ServedShares]:
    """Return the served shares of a route's requests for each measure.

    >>> requests = [(sizes_of(n, 80), n < 85) for n in range(100)]
    >>> served_shares(requests)['prompt']
    ServedShares(requests=100, all=0.85, fifth=0.75, tenth=0.0)
    """
    count = len(requests)
    tenth_at = round((1 - LARGEST_SHARE) * count)
    fifth_at = round((1 - LARGE_SHARE) * count)
    shares = {}
    for position, measure in enumerate(Sizes._fields):
        ordered = sorted(requests, key=lambda item: item[0][position])
        served = [is_served for _sizes, is_served in ordered]
        shares[measure] = ServedShares(
            count,
            _share(served),
            _share(served[fifth_at:tenth_at]),
            _share(served[tenth_at:]),
        )
    return shares


class SizeRanks:
    """The recent requests of one route, ordered by size for each measure."""

    def __init__(self) -> None:
        self._recent: deque[Sizes] = deque()
        self._ordered: tuple[list[int], ...] = tuple([] for _ in Sizes._fields)

    def classify(self, sizes: Sizes) -> Mapping[str, SizeClass]:
        """Record a request and return its class by each measure.

        Only the classes of large requests are returned.

        >>> ranks = SizeRanks()
        >>> for prompt in range(100):
        ...     classes = ranks.classify(sizes_of(prompt, 20))
        >>> sorted(classes), classes['prompt'].value
        (['prompt', 'tokens'], 'largest')
        """
        self._record(sizes)
        found = {}
        for name, ordered, size in zip(
            Sizes._fields, self._ordered, sizes, strict=True
        ):
            size_class = _class_of(ordered, size)
            if size_class is not SizeClass.OTHER:
                found[name] = size_class
        return found

    def _record(self, sizes: Sizes) -> None:
        self._recent.append(sizes)
        for ordered, size in zip(self._ordered, sizes, strict=True):
            bisect.insort(ordered, size)
        if len(self._recent) > RANKED_COUNT:
            oldest = self._recent.popleft()
            for ordered, size in zip(self._ordered, oldest, strict=True):
                del ordered[bisect.bisect_left(ordered, size)]


class SizeBalance:
    """How often the recent requests of one route got a slot, by size class."""

    def __init__(self) -> None:
        self._all = _Count()
        self._by_class: dict[tuple[str, SizeClass], _Count] = {}

    def record(self, classes: Mapping[str, SizeClass], served: bool) -> None:
        """Record whether a request of some classes got a slot."""
        self._all.fade()
        for count in self._by_class.values():
            count.fade()
        self._all.add(served)
        for key in classes.items():
            self._by_class.setdefault(key, _Count()).add(served)

    def ratio(self, classes: Mapping[str, SizeClass]) -> float:
        """Return the served share of a request's classes to that of all.

        It is the lowest of its classes, and 1 where nothing is known.

        >>> balance, large = SizeBalance(), {'prompt': SizeClass.LARGE}
        >>> for served in (True, False):
        ...     balance.record(large, served)
        ...     balance.record({}, True)
        >>> round(balance.ratio(large), 2), balance.ratio({})
        (0.66, 1.0)
        """
        share = self._all.share
        if not share:
            return 1.0
        counts = [self._by_class.get(key) for key in classes.items()]
        return min(
            (count.share / share for count in counts if count is not None),
            default=1.0,
        )


class RouteSizes:
    """The recent requests of one route."""

    def __init__(self) -> None:
        self.ranks = SizeRanks()
        self.balance = SizeBalance()


class SizesByRoute:
    """The recent requests of the MAX_ROUTES routes that were used last.

    >>> routes = SizesByRoute()
    >>> first = routes.get('r-0')
    >>> for number in range(1, MAX_ROUTES + 1):
    ...     last = routes.get(f'r-{number}')
    >>> routes.get(f'r-{MAX_ROUTES}') is last, routes.get('r-0') is first
    (True, False)
    """

    def __init__(self) -> None:
        self._routes: OrderedDict[str, RouteSizes] = OrderedDict()

    def get(self, route: str) -> RouteSizes:
        """Return what is known of a route."""
        sizes = self._routes.pop(route, None) or RouteSizes()
        self._routes[route] = sizes
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return sizes


class _Count:
    """Requests, and those of them that were served, with fading weights."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._served = 0.0

    @property
    def share(self) -> float:
        return self._served / self._requests if self._requests else 0.0

    def fade(self) -> None:
        self._requests *= 1 - 1 / BALANCE_COUNT
        self._served *= 1 - 1 / BALANCE_COUNT

    def add(self, served: bool) -> None:
        self._requests += 1
        self._served += served


def _share(served: Sequence[bool]) -> float:
    return sum(served) / len(served) if served else 0.0


def _class_of(ordered: list[int], size: int) -> SizeClass:
    if len(ordered) < MIN_RANKED:
        return SizeClass.OTHER
    # Requests of equal size are in one class, so there is no largest tenth
    # where more than a tenth have the maximum.
    at_least = len(ordered) - bisect.bisect_left(ordered, size)
    if at_least <= LARGEST_SHARE * len(ordered):
        return SizeClass.LARGEST
    if at_least <= LARGE_SHARE * len(ordered):
        return SizeClass.LARGE
    return SizeClass.OTHER
