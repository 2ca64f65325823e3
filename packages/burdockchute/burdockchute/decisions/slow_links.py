"""Which engines get nothing new because the link to them has become slow.

Load: a link narrows while a copy comes in over it. Requests stand behind the
chunks for seconds, callers leave meanwhile, and the engine works for nobody.
What it sends is not held up: streams go on, and its reports show it as idle.

A request that has not begun after some time raises the question, and a probe
of the link answers it; an engine that is only busy returns the probe at once.
"""

from __future__ import annotations

from typing import NamedTuple

# A request raises the question after this many times what is usual.
SUSPECT_RATIO = 2.0
LEAST_SUSPECT_S = 0.2

# A probe passes a chunk or two on the thinnest link in less.
SLOW_S = 0.3

# Another entry's word is trusted for so long, and repeated twice in that time.
PEER_REPORT_VALID_S = 1.0
REPORT_INTERVAL_S = 0.45

# A probe that is still out after this says more of the agent than of its link.
MAX_HOLD_S = 3.0

# Where more of the links are slow than this it is our own that is.
OWN_FAULT_SHARE = 0.25

# A new measurement counts this much in the usual time to begin.
SMOOTHING = 0.05


class LinkState(NamedTuple):
    """What is known of the link to one agent; times are monotonic seconds.

    `probe_at` is when the probe was sent that is out, `slow_at` when our own
    probe has last shown a slow link, `reported_slow_at` when that was last
    reported to the other entries.
    """

    probe_at: float | None = None
    slow_at: float | None = None
    reported_slow_at: float | None = None
    peer_reported_until: float = float('-inf')


def usual_start_s(before: float, began_in_s: float) -> float:
    """Give the usual time to begin after one more request has begun.

    >>> usual_start_s(0.0, 0.2), round(usual_start_s(0.2, 0.4), 2)
    (0.2, 0.21)
    """
    if not before:
        return began_in_s
    return before + SMOOTHING * (began_in_s - before)


def is_suspect(waits_s: float, usual_s: float) -> bool:
    """Tell whether a request that waits to begin raises the question.

    >>> is_suspect(0.19, 0.05), is_suspect(0.3, 0.05), is_suspect(0.3, 0.4)
    (False, True, False)
    """
    return waits_s > max(LEAST_SUSPECT_S, SUSPECT_RATIO * usual_s)


def checked(state: LinkState, reported_at: float, now: float) -> LinkState:
    """Give the state as of now; `reported_at` is when the agent last told.

    An agent that reports and does not return the probe stands behind a slow
    link; one that does neither is paused, and its engine may well serve.

    >>> state = LinkState(probe_at=5.0)
    >>> checked(state, 5.2, 5.4).slow_at, checked(state, 4.9, 5.4).slow_at
    (5.4, None)
    """
    if state.slow_at is not None and now - state.slow_at > MAX_HOLD_S:
        return LinkState(peer_reported_until=state.peer_reported_until)
    if state.probe_at is None or now - state.probe_at <= SLOW_S:
        return state
    if state.slow_at is None and reported_at > state.probe_at:
        return state._replace(slow_at=now)
    if now - state.probe_at > MAX_HOLD_S:
        return state._replace(probe_at=None)
    return state


def is_held(state: LinkState, now: float) -> bool:
    """Tell whether an engine behind this link gets nothing new.

    >>> is_held(LinkState(slow_at=5.0), 5.5), is_held(LinkState(), 5.5)
    (True, False)
    >>> is_held(LinkState(peer_reported_until=6.0), 5.5)
    True
    """
    return state.slow_at is not None or now < state.peer_reported_until


def should_probe(state: LinkState, suspect: bool) -> bool:
    """Tell whether a probe is to be sent; one at a time is out.

    >>> should_probe(LinkState(), True), should_probe(LinkState(), False)
    (True, False)
    >>> should_probe(LinkState(slow_at=5.0), False)
    True
    """
    return state.probe_at is None and (suspect or state.slow_at is not None)


def must_report(state: LinkState, now: float) -> bool:
    """Tell whether the other entries are to hear of a slow link now.

    >>> state = LinkState(slow_at=5.0)
    >>> must_report(state, 5.0)
    True
    >>> must_report(state._replace(reported_slow_at=5.0), 5.1)
    False
    >>> must_report(state._replace(peer_reported_until=6.0), 5.1)
    False
    """
    if state.slow_at is None:
        return False
    if state.reported_slow_at is None:
        # Whoever has told us goes on telling.
        return now >= state.peer_reported_until
    return now - state.reported_slow_at >= REPORT_INTERVAL_S


def probe_returned(state: LinkState, sent_at: float, now: float) -> LinkState:
    """Take in a probe that has come back.

    One that took long leaves the link held until another one is back.

    >>> probe_returned(LinkState(probe_at=5.0, slow_at=5.4), 5.0, 5.6).slow_at
    5.6
    >>> state = LinkState(probe_at=5.7, slow_at=5.6)
    >>> probe_returned(state, 5.7, 5.8) == LinkState()
    True
    """
    if state.probe_at != sent_at:
        return state
    if now - sent_at > SLOW_S:
        return state._replace(probe_at=None, slow_at=now)
    return LinkState()


def peer_reported(state: LinkState, slow: bool, now: float) -> LinkState:
    """Take in what another entry says of the link.

    >>> peer_reported(LinkState(), True, 5.0).peer_reported_until
    6.0
    """
    return state._replace(
        peer_reported_until=now + PEER_REPORT_VALID_S if slow else now
    )


def may_hold(held: int, known: int) -> bool:
    """Tell whether so many held links of those known are to be believed.

    >>> may_hold(1, 3), may_hold(2, 8), may_hold(3, 8)
    (False, True, False)
    """
    return held <= OWN_FAULT_SHARE * known
