"""On which engine a generation starts soonest, and when it waits instead.

Engines process prompts between the tokens that they generate. Each prompt
takes about fifty milliseconds of the whole engine, so a handful that arrive
together delay each other's first token past the objective although half of the
slots are free. This happens whenever every entry sees one engine less loaded
than the others at the same time: when it has just loaded a version, restarted
after a crash or joined. Chosen by its free slots alone, it would get a dozen
prompts at the same instant.

So the time to the first token is estimated from what an entry knows: the
prompts that it has sent there and that have not started, the requests of other
entries there by the last report, and the speed of the engine as its operators
declare it. All entries see the same report at the same moment and would decide
alike. So each uses only its random share of an engine's free slots
(`random_share`) and compares only a few engines for each request
(`sample_engines`). Of these, the one with the least expected time is chosen,
unless that time would break the objective; the request then waits at the
entry.

An engine that is about to load a version completes its running requests and
accepts nothing new meanwhile. With one long answer left it would work for
seconds on that alone, so an answer that outlasts the engine's closing is
placed elsewhere if any other engine is nearly as good (CLOSING_COST_S).

An overdue request takes any slot that is left over. With a batch of sixteen, a
step takes only 4 in 100 longer than with a single request, so an empty slot
gains the others nothing and is lost: the request that would have had it waits,
and the next ones wait behind it. At a load of 1.1 times what six engines
carry, a fifth of all answers is late this way, and a third if three of ten
slots are kept free of overdue requests.
"""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.model.routes import EngineCost

# Share of the other entries' requests that is assumed to wait for the first
# token: at the usual lengths, an engine spends about a sixth of a request's
# time on its prompt.
OTHERS_PREFILL_SHARE = 0.17

# Maximum number of prompt tokens that one pass of the batch processes.
PASS_TOKENS = 2048

# Share of the objective that the estimate may take; the rest is for the round
# trip to the engine. A larger reserve for errors of the estimate leaves slots
# empty: with full engines, three in a hundred more answers were late at 0.75
# than at 0.95, and two in a hundred more at 1.3.
OBJECTIVE_SHARE = 0.95


# Extra time to the first token that is accepted to keep a long answer off an
# engine that is about to load.
CLOSING_COST_S = 0.2
# Time by which an answer may outlast the closing of its engine.
CLOSING_TOLERANCE_S = 0.1

# Announced answer lengths are right only at the median; one answer in five is
# longer than this multiple of its announced length.
LENGTH_SPREAD = 1.5

# Traffic between regions is expensive and shares its links with copies, so a
# local engine is chosen among those that start nearly as soon.
REMOTE_COST_S = 0.05

# Number of local and of remote engines that are sampled for a request.
LOCAL_SAMPLE = 2
REMOTE_SAMPLE = 1

# Factor by which prompts that are processed between steps slow a step of the
# batch.
STEP_SLOWDOWN = 1.4


class RequestSize(NamedTuple):
    """The size of a request: tokens of its prompt and expected answer."""

    prompt_tokens: int
    answer_tokens: int


class ShareDraw(NamedTuple):
    """How an entry drew its share of an engine's free slots.

    All entries together may use `max_slots` of them. `chance` is a random
    number from 0 to 1, `share` what came out.
    """

    free: int
    max_slots: float
    entries: int
    chance: float
    share: int


class EngineView(NamedTuple):
    """What an entry knows of one engine.

    `ours` are this entry's requests there and `others` those of the other
    entries; `unread_tokens` are the prompt tokens of ours that have not
    started. `headroom` is how many more requests the window and the slots
    allow, `share` how many of these may be new requests of this entry, None
    for all. `unreported` are requests that the other entries have probably
    sent since the last report. `slowness` is 1 for an engine of the usual
    speed. `closes_in_s` is the time until it accepts nothing new, None if it
    does not close. `is_remote` is set for an engine in another region.
    `free_tokens` is its free memory in tokens, None while it has plenty.
    `draw` is how `share` was drawn, `slot_wait_s` how long a request waits
    there for a slot.
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
    free_tokens: float | None = None
    draw: ShareDraw | None = None
    slot_wait_s: float = 0.0


def first_token_s(
    view: EngineView, prompt_tokens: int, cost: EngineCost
) -> float:
    """Estimate the time from sending a prompt to its first token."""
    running = view.ours + view.others + view.unreported
    others_unread = view.others * OTHERS_PREFILL_SHARE + view.unreported
    others_tokens = others_unread * cost.usual_prompt_tokens
    tokens = prompt_tokens + view.unread_tokens + others_tokens
    pass_s = cost.steps_per_pass * (
        cost.step_s + cost.request_step_s * running
    )
    passes = 1 + tokens / PASS_TOKENS
    prefill_s = tokens / cost.prompt_tokens_per_s if tokens else 0.0
    return view.slot_wait_s + view.slowness * (passes * pass_s + prefill_s)


def last_token_s(
    view: EngineView, size: RequestSize, cost: EngineCost
) -> float:
    """Estimate the time from sending a request to its last token."""
    running = view.ours + view.others + 1
    step_s = STEP_SLOWDOWN * (cost.step_s + cost.request_step_s * running)
    first_s = first_token_s(view, size.prompt_tokens, cost)
    return first_s + view.slowness * step_s * size.answer_tokens


def stays_open(view: EngineView, period_s: float) -> bool:
    """Whether an engine accepts requests for at least `period_s`."""
    return view.closes_in_s is None or view.closes_in_s > period_s


def has_free_slot(view: EngineView, reserve: float = 0.0) -> bool:
    """Whether an overdue request may be placed there.

    `reserve` is the share of the slots that is kept for requests on time.
    """
    free = view.slots - view.ours - view.others - view.unreported
    return free > reserve * view.slots


def has_share(view: EngineView, extra: float = 0.0) -> bool:
    """Whether a new request of this entry may be placed there.

    All entries together may use `extra` slots more than are free, or leave
    that many of them free where it is negative.

    >>> view = EngineView('e', 0, 11, 12, 1, 0, share=0)
    >>> view = view._replace(draw=ShareDraw(1, 2.0, 4, 0.6, 0))
    >>> has_share(view), has_share(view, 1.0)
    (False, True)
    """
    if view.share is None:
        return True
    if not extra or view.draw is None:
        return view.share > 0
    return left_of_draw(view.draw, view.share, extra) > 0


def left_of_draw(draw: ShareDraw, left: int, extra: float) -> int:
    """Return what is left of a share with `extra` slots more or fewer.

    `left` is what is left of the share that was drawn.

    >>> left_of_draw(ShareDraw(2, 9.0, 4, 0.6, 1), 1, -2.0)
    0
    """
    free = min(draw.free + extra, draw.max_slots)
    # A chance alone gives no share of slots that are reserved.
    share = random_share(free, draw.entries, draw.chance) if free > 0 else 0
    return share - (draw.share - left)


def has_room(view: EngineView, size: RequestSize) -> bool:
    """Whether a prompt and its answer fit into an engine's free memory."""
    tokens = size.prompt_tokens + size.answer_tokens
    return view.free_tokens is None or tokens <= view.free_tokens


def with_room(
    views: Sequence[EngineView], size: RequestSize
) -> Sequence[EngineView]:
    """Return the engines with room for a request, or all if none has any.

    A request without room waits in the engine. If all engines are short of
    memory, that is no worse than waiting in the entry, and nothing is refused
    because of it.
    """
    roomy = [view for view in views if has_room(view, size)]
    return roomy or views


def max_prompts(cost: EngineCost, period_s: float) -> float:
    """Return how many prompts an engine may get in a period, at least one.

    Prompts beyond those that it processes in that time wait for each other.

    >>> cost = EngineCost(0.0133, 0.00006, 12_700.0, 5, 950.0, 73.0)
    >>> round(max_prompts(cost, 0.15), 1)
    2.0
    """
    if not cost.usual_prompt_tokens:
        return float('inf')
    processed = period_s * cost.prompt_tokens_per_s / cost.usual_prompt_tokens
    return max(1.0, processed)


def random_share(free: float, entries: int, chance: float) -> int:
    """Return how many of an engine's free slots one of the entries may use.

    All entries see the same free slots and none sees what the others send, so
    each takes a random share. `chance` is uniform in [0, 1).

    >>> random_share(5, 36, 0.5), random_share(5, 36, 0.9)
    (0, 1)
    >>> random_share(12, 5, 0.5)
    2
    """
    return int(max(0.0, free) / max(1, entries) + chance)


def sample_engines(
    views: Sequence[EngineView],
    rng: random.Random,
    local_sample: int = LOCAL_SAMPLE,
) -> Sequence[EngineView]:
    """Return the engines to compare: a few local ones and a remote one."""
    local = [view for view in views if not view.is_remote]
    remote = [view for view in views if view.is_remote]
    drawn = rng.sample(local, min(local_sample, len(local)))
    return drawn + rng.sample(remote, min(REMOTE_SAMPLE, len(remote)))


def choose_engine(
    views: Sequence[EngineView],
    size: RequestSize,
    cost: EngineCost,
    left_s: float | None,
    reserve: float = 0.0,
    started: bool = False,
    extra: float = 0.0,
    as_usual: bool = False,
) -> EngineView | None:
    """Return the engine where a request starts soonest, None if it waits.

    `left_s` is what is left of the objective, None for an overdue request,
    which takes any free slot beyond `reserve`, a share of all slots. `started`
    is set for the remainder of a stream, which is not bound by the share of
    the entry. `extra` changes the number of slots that the entries share. With
    `as_usual`, a long prompt starts where one of the usual length would.
    """
    overdue_reserve = reserve if left_s is None else None
    open_views = [
        view
        for view in views
        if _is_open(view, overdue_reserve)
        and (started or has_share(view, extra))
    ]
    if not open_views:
        return None
    best = min(
        with_room(open_views, size),
        key=lambda view: _penalised_s(view, size, cost),
    )
    if left_s is None:
        return best
    prompt_tokens = size.prompt_tokens
    if as_usual:
        prompt_tokens = min(prompt_tokens, int(cost.usual_prompt_tokens))
    expected_s = first_token_s(best, prompt_tokens, cost)
    # A long prompt may exceed the objective even on an idle engine; waiting
    # would not make it any faster.
    alone = EngineView(best.name, 0, 0, best.slots, 1, 0, 0, best.slowness)
    alone_s = first_token_s(alone, prompt_tokens, cost)
    bound_s = max(OBJECTIVE_SHARE * left_s, alone_s)
    return best if expected_s <= bound_s else None


def _penalised_s(
    view: EngineView, size: RequestSize, cost: EngineCost
) -> float:
    penalised_s = first_token_s(view, size.prompt_tokens, cost)
    if view.is_remote:
        penalised_s += REMOTE_COST_S
    if view.closes_in_s is None:
        return penalised_s
    longer = size._replace(
        answer_tokens=int(size.answer_tokens * LENGTH_SPREAD)
    )
    outlasts_s = last_token_s(view, longer, cost) - view.closes_in_s
    return penalised_s + (
        CLOSING_COST_S if outlasts_s > CLOSING_TOLERANCE_S else 0.0
    )


def _is_open(view: EngineView, overdue_reserve: float | None) -> bool:
    if view.headroom <= 0:
        return False
    return overdue_reserve is None or has_free_slot(view, overdue_reserve)
