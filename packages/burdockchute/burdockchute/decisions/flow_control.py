"""Flow control of large messages on one link.

The bandwidth of a link may drop while several peers send chunks over it.
What they have sent until then queues before the bottleneck, and requests,
cancellations and the message that ends a version queue behind that. A sender
therefore has few unacknowledged fragments, and pauses while they take long
to arrive.

After LEDBAT (RFC 6817), which reduces its rate once its own packets are
delayed.
"""

from __future__ import annotations

from typing import NamedTuple

# Fills a link of 10 Mbit/s at the delay between two regions.
WINDOW_FRAGMENTS = 2

# A fragment that takes longer is queued on the way. 64 KiB, what four senders
# have unacknowledged, pass a link of 4.7 Mbit/s in 0.11 s.
TARGET_DELAY_S = 0.12

# Bounds the pause, so that a link is used again soon after a short cut.
MAX_PAUSE_S = 0.5


class FlowState(NamedTuple):
    """Send times of the unacknowledged fragments, and the end of a pause."""

    unacknowledged: tuple[float, ...] = ()
    pause_until: float = 0.0


def sent(flow: FlowState, now: float) -> FlowState:
    """Return the state after one more fragment was sent."""
    return flow._replace(unacknowledged=(*flow.unacknowledged, now))


def acknowledged(flow: FlowState, now: float) -> FlowState:
    """Return the state after the oldest fragment was acknowledged.

    >>> acknowledged(FlowState(unacknowledged=(5.0,)), 5.05)
    FlowState(unacknowledged=(), pause_until=0.0)
    >>> acknowledged(FlowState(unacknowledged=(5.0,)), 5.25).pause_until
    5.5
    """
    if not flow.unacknowledged:
        return flow
    delay_s = now - flow.unacknowledged[0]
    pause_until = flow.pause_until
    if delay_s > TARGET_DELAY_S:
        pause_until = now + min(delay_s, MAX_PAUSE_S)
    return FlowState(flow.unacknowledged[1:], pause_until)


def is_slow(flow: FlowState, now: float) -> bool:
    """Whether fragments are delayed beyond the target, or sending pauses.

    >>> flow = FlowState(unacknowledged=(5.0,))
    >>> is_slow(flow, 5.1), is_slow(flow, 5.2)
    (False, True)
    """
    is_overdue = (
        bool(flow.unacknowledged)
        and now - flow.unacknowledged[0] > TARGET_DELAY_S
    )
    return is_overdue or now < flow.pause_until


def wait_s(flow: FlowState, now: float) -> float | None:
    """Return the seconds until a fragment may be sent.

    None if an acknowledgement has to come first.

    >>> wait_s(FlowState(unacknowledged=(5.0,)), 5.1)
    0.0
    >>> wait_s(FlowState(unacknowledged=(5.0, 5.0)), 5.1) is None
    True
    >>> wait_s(FlowState(pause_until=5.5), 5.25)
    0.25
    """
    if len(flow.unacknowledged) >= WINDOW_FRAGMENTS:
        return None
    return max(0.0, flow.pause_until - now)
