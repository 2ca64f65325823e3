"""Where a generation begins soonest, and where none should begin now.

Load: engines that read prompts between the tokens of what they write. Each
prompt takes some fifty milliseconds of the whole engine, so a handful that
arrive together delay each other's first token past the objective although
half of the slots are free. It happens whenever one engine looks emptier than
the rest to everybody at once: when it has just loaded a version, come back
from a crash or joined. Counting free slots sends it a dozen prompts in the
same instant.

So the time to the first token is estimated from what an entry knows: the
prompts that it has sent there and that have not begun, what others have
there by the last report, and how the engine works by its operators' figures.
All entries see the same report at the same moment and would decide alike. So
each uses only its part of an engine's free slots, drawn by chance
(`random_share`), and compares only a few engines for each request
(`sample_engines`). Of these the one with the least expected time is taken,
and none whose expected time would break the objective; the request then
waits for a better moment.

An engine that is about to load a version finishes what it runs and takes
nothing new meanwhile. With one long answer left it would work for seconds on
that alone, so what lasts longer than it stays open goes elsewhere if any
other engine is nearly as good (CLOSING_COST_S).

A request that can no longer be on time takes any place that is left over.
A batch of sixteen takes 4 in 100 longer a step than a single request does, so
a place that stands empty saves the others nothing, and is lost: who would
have had it waits, and whoever comes next waits behind it. Keeping three of
ten places free of late work left a third of all answers late at a load of
1.1 times what six engines carry, where it is a fifth without (single runs).

Thresholds: of the requests that other entries have there OTHERS_READING are
taken to be waiting for their first token; at the usual lengths an engine
spends about a sixth of a request's time on its prompt.
"""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.model.routes import EngineCost

OTHERS_READING = 0.17

# Read at most this many tokens of prompts in one pass of the batch.
PASS_TOKENS = 2048

# Of the objective, what the estimate may fill; the rest is for the way to
# the engine and back. Holding back more for errors of the estimate leaves
# places empty: at 0.75 three in a hundred more answers were late than at
# 0.95 where engines were full, and at 1.3 two in a hundred (single runs).
OBJECTIVE_SHARE = 0.95


# What a longer wait for the first token may cost to keep a long answer off an
# engine that is about to load.
CLOSING_COST_S = 0.2
# An answer that outlasts the closing by less than this is no matter.
CLOSING_SLACK_S = 0.1

# What callers say of an answer's length is right at the median only; one in
# five lasts longer than this many times of it.
LENGTH_SPREAD = 1.5

# Bytes between regions are dear and their links shared with copies; among
# engines that begin nearly as soon, one in the own region is taken.
FAR_COST_S = 0.05

# So many engines are compared for a request, drawn at random.
LOCAL_SAMPLE = 2
REMOTE_SAMPLE = 1

# A step of the batch is slowed by the prompts that are read between steps.
STEP_SLOWDOWN = 1.4


class RequestSize(NamedTuple):
    """What placement needs of a request; tokens of prompt and answer."""

    prompt_tokens: int
    answer_tokens: int


class EngineView(NamedTuple):
    """What an entry knows of one engine.

    `ours` and `others` are requests there, `unread_tokens` those of our
    prompts whose answers have not begun. `headroom` is how many more the
    window and the slots allow, `share` how many of these new requests of
    this entry may take, None for all. `unreported` are requests that the
    other entries have probably sent since the last report. `slowness` is 1
    for an engine of the usual speed. `closes_in_s` is when it takes nothing
    new any more, None for no such time. `is_remote` tells that it stands in
    another region.
    """

    name: str
    ours: int
    others: int
    slots: int
    headroom: int
    unread_tokens: int
    unreported: int = 0
    slowness: float = 1.0
    closes_in_s: float | None = None
    is_remote: bool = False
    share: int | None = None


def first_token_s(
    view: EngineView, prompt_tokens: int, cost: EngineCost
) -> float:
    """Estimate the time from sending a prompt to its first token."""
    in_hand = view.ours + view.others + view.unreported
    others_reading = view.others * OTHERS_READING + view.unreported
    others_tokens = others_reading * cost.usual_prompt_tokens
    tokens = prompt_tokens + view.unread_tokens + others_tokens
    pass_s = cost.steps_a_pass * (cost.step_s + cost.request_step_s * in_hand)
    passes = 1 + tokens / PASS_TOKENS
    read_s = tokens / cost.prompt_tokens_per_s if tokens else 0.0
    return view.slowness * (passes * pass_s + read_s)


def last_token_s(
    view: EngineView, wanted: RequestSize, cost: EngineCost
) -> float:
    """Estimate the time from sending a request to its last token."""
    in_hand = view.ours + view.others + 1
    step_s = STEP_SLOWDOWN * (cost.step_s + cost.request_step_s * in_hand)
    first_s = first_token_s(view, wanted.prompt_tokens, cost)
    return first_s + view.slowness * step_s * wanted.answer_tokens


def stays_open(view: EngineView, for_s: float) -> bool:
    """Tell whether an engine takes requests for that long."""
    return view.closes_in_s is None or view.closes_in_s > for_s


def has_free_slot(view: EngineView, reserve: float = 0.0) -> bool:
    """Tell whether a request that can't be on time may go there.

    `reserve` is the part of the slots that is kept for those who can.
    """
    free = view.slots - view.ours - view.others - view.unreported
    return free > reserve * view.slots


def has_share(view: EngineView) -> bool:
    """Tell whether a new request of this entry may go there."""
    return view.share is None or view.share > 0


def max_prompts(cost: EngineCost, for_s: float) -> float:
    """Give how many prompts an engine may get in so long, one at least.

    Those beyond what it reads in that time wait for each other.

    >>> cost = EngineCost(0.0133, 0.00006, 12_700.0, 5, 950.0, 73.0)
    >>> round(max_prompts(cost, 0.15), 1)
    2.0
    """
    if not cost.usual_prompt_tokens:
        return float('inf')
    read = for_s * cost.prompt_tokens_per_s / cost.usual_prompt_tokens
    return max(1.0, read)


def random_share(free: float, entries: int, chance: float) -> int:
    """Give how many of an engine's free slots one of the entries may use.

    All entries see the same free slots and none sees what the others send,
    so each takes its part at random. `chance` is drawn evenly from 0 to 1.

    >>> random_share(5, 36, 0.5), random_share(5, 36, 0.9)
    (0, 1)
    >>> random_share(12, 5, 0.5)
    2
    """
    return int(max(0.0, free) / max(1, entries) + chance)


def sample_engines(
    views: Sequence[EngineView], rng: random.Random
) -> Sequence[EngineView]:
    """Give the engines to compare: a few of the own region, one of others."""
    near = [view for view in views if not view.is_remote]
    far = [view for view in views if view.is_remote]
    drawn = rng.sample(near, min(LOCAL_SAMPLE, len(near)))
    return drawn + rng.sample(far, min(REMOTE_SAMPLE, len(far)))


def choose_engine(
    views: Sequence[EngineView],
    wanted: RequestSize,
    cost: EngineCost,
    left_s: float | None,
    reserve: float = 0.0,
    begun: bool = False,
) -> EngineView | None:
    """Give the engine where a request begins soonest, None for none now.

    `left_s` is what is left of the objective; None for a request that can't
    be on time, which takes any free slot beyond `reserve`, a part of all.
    `begun` is for the rest of a stream, which is bound to no share.
    """
    late_reserve = reserve if left_s is None else None
    open_views = [
        view
        for view in views
        if _is_open(view, late_reserve) and (begun or has_share(view))
    ]
    if not open_views:
        return None
    best = min(
        open_views,
        key=lambda view: _price_s(view, wanted, cost),
    )
    if left_s is None:
        return best
    expected_s = first_token_s(best, wanted.prompt_tokens, cost)
    # A long prompt on an idle engine may take longer than that by itself;
    # waiting would not make it any faster.
    alone = EngineView(best.name, 0, 0, best.slots, 1, 0, 0, best.slowness)
    least_s = first_token_s(alone, wanted.prompt_tokens, cost)
    bound_s = max(OBJECTIVE_SHARE * left_s, least_s)
    return best if expected_s <= bound_s else None


def _price_s(view: EngineView, wanted: RequestSize, cost: EngineCost) -> float:
    price_s = first_token_s(view, wanted.prompt_tokens, cost)
    if view.is_remote:
        price_s += FAR_COST_S
    if view.closes_in_s is None:
        return price_s
    longer = wanted._replace(
        answer_tokens=int(wanted.answer_tokens * LENGTH_SPREAD)
    )
    outlasts_s = last_token_s(view, longer, cost) - view.closes_in_s
    return price_s + (CLOSING_COST_S if outlasts_s > CLOSING_SLACK_S else 0.0)


def _is_open(view: EngineView, late_reserve: float | None) -> bool:
    if view.headroom <= 0:
        return False
    return late_reserve is None or has_free_slot(view, late_reserve)
