"""Detection of slow links, behind which engines get no new requests.

The bandwidth of a link may drop while a copy comes in over it. Requests then
queue behind the chunks for seconds, their callers leave meanwhile, and the
engine computes answers that no caller waits for. Its own messages are not
delayed: streams continue, and its load reports show it as idle.

A request that has not started after some time makes the link suspect, and a
probe of the link decides; if the engine is merely busy, the probe returns at
once. A link is held while it is known to be slow: the engine behind it gets
no new requests.
"""

from __future__ import annotations

from typing import NamedTuple

# A link is suspect once a request waits for this multiple of the usual time.
SUSPECT_RATIO = 2.0
MIN_SUSPECT_S = 0.2

# A slower probe shows a slow link. Queued behind a chunk or two, a probe takes
# less even on the slowest link in use.
SLOW_PROBE_S = 0.3

# A report of another entry is valid for this time, in which it is repeated
# twice.
PEER_REPORT_VALID_S = 1.0
REPORT_INTERVAL_S = 0.45

# After this time an unanswered probe is due to the agent, not to its link.
MAX_HOLD_S = 3.0

# If more of the links seem slow, this entry's own connection is the cause.
MAX_HELD_SHARE = 0.25

# Weight of a new measurement in the usual time to start.
SMOOTHING = 0.05


class LinkState(NamedTuple):
    """What is known of the link to one agent; times are monotonic seconds.

    `probe_at` is when the outstanding probe was sent, `slow_at` when a probe
    of this entry last showed a slow link, `reported_slow_at` when that was
    last reported to the other entries, and `peer_reported_until` the end of
    validity of another entry's report.
    """

    probe_at: float | None = None
    slow_at: float | None = None
    reported_slow_at: float | None = None
    peer_reported_until: float = float('-inf')


def usual_start_s(before: float, started_in_s: float) -> float:
    """Return the usual time to start after one more request has started.

    >>> usual_start_s(0.0, 0.2), round(usual_start_s(0.2, 0.4), 2)
    (0.2, 0.21)
    """
    if not before:
        return started_in_s
    return before + SMOOTHING * (started_in_s - before)


def is_suspect(waited_s: float, usual_s: float) -> bool:
    """Whether a request that waits to start makes its link suspect.

    >>> is_suspect(0.19, 0.05), is_suspect(0.3, 0.05), is_suspect(0.3, 0.4)
    (False, True, False)
    """
    return waited_s > max(MIN_SUSPECT_S, SUSPECT_RATIO * usual_s)


def checked(state: LinkState, reported_at: float, now: float) -> LinkState:
    """Return the state as of now; the agent last reported at `reported_at`.

    An agent that reports its load but does not return the probe is behind a
    slow link; one that does neither is paused, and its engine may well serve.

    >>> state = LinkState(probe_at=5.0)
    >>> checked(state, 5.2, 5.4).slow_at, checked(state, 4.9, 5.4).slow_at
    (5.4, None)
    """
    if state.slow_at is not None and now - state.slow_at > MAX_HOLD_S:
        return LinkState(peer_reported_until=state.peer_reported_until)
    if state.probe_at is None or now - state.probe_at <= SLOW_PROBE_S:
        return state
    if state.slow_at is None and reported_at > state.probe_at:
        return state._replace(slow_at=now)
    if now - state.probe_at > MAX_HOLD_S:
        return state._replace(probe_at=None)
    return state


def is_held(state: LinkState, now: float) -> bool:
    """Whether the engine behind this link gets no new requests.

    >>> is_held(LinkState(slow_at=5.0), 5.5), is_held(LinkState(), 5.5)
    (True, False)
    >>> is_held(LinkState(peer_reported_until=6.0), 5.5)
    True
    """
    return state.slow_at is not None or now < state.peer_reported_until


def should_probe(state: LinkState, suspect: bool) -> bool:
    """Whether to send a probe; at most one is outstanding at a time.

    >>> should_probe(LinkState(), True), should_probe(LinkState(), False)
    (True, False)
    >>> should_probe(LinkState(slow_at=5.0), False)
    True
    """
    return state.probe_at is None and (suspect or state.slow_at is not None)


def must_report(state: LinkState, now: float) -> bool:
    """Whether to report a slow link to the other entries now.

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
        # The entry that reported it continues to report it.
        return now >= state.peer_reported_until
    return now - state.reported_slow_at >= REPORT_INTERVAL_S


def probe_returned(state: LinkState, sent_at: float, now: float) -> LinkState:
    """Return the state after a probe has returned.

    After a slow one the link is held until another probe returns in time.

    >>> probe_returned(LinkState(probe_at=5.0, slow_at=5.4), 5.0, 5.6).slow_at
    5.6
    >>> state = LinkState(probe_at=5.7, slow_at=5.6)
    >>> probe_returned(state, 5.7, 5.8) == LinkState()
    True
    """
    if state.probe_at != sent_at:
        return state
    if now - sent_at > SLOW_PROBE_S:
        return state._replace(probe_at=None, slow_at=now)
    return LinkState()


def peer_reported(state: LinkState, slow: bool, now: float) -> LinkState:
    """Return the state after another entry has reported on the link.

    >>> peer_reported(LinkState(), True, 5.0).peer_reported_until
    6.0
    """
    return state._replace(
        peer_reported_until=now + PEER_REPORT_VALID_S if slow else now
    )


def may_hold(held: int, known: int) -> bool:
    """Whether to hold `held` links out of `known`.

    Where a large share of them seems slow, none is held.

    >>> may_hold(1, 3), may_hold(2, 8), may_hold(3, 8)
    (False, True, False)
    """
    return held <= MAX_HELD_SHARE * known
