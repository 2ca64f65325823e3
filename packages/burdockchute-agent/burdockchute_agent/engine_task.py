"""Polls this instance's engine and sends it orders.

Orders are sent one at a time, between reads of the engine's state, in a
greenlet of its own, so that the owner never waits for the engine.
"""

from __future__ import annotations

from collections.abc import Callable
import time

from gevent import queue
from returns.result import Success

from burdockchute.upstreams.orders import EngineClient
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import Order
from burdockchute_agent.events import EngineStateRead
from burdockchute_agent.events import OrderEnded

# Bounds the time until the loss of an engine's weights is noticed. Until then
# the engine itself refuses requests, as each carries its digest.
POLL_S = 0.25
# While an order is pending the engine is polled more often, as the replicas
# that load after this one wait for it.
BUSY_POLL_S = 0.05
BUSY_S = 1.0


class EngineTask:
    """Owns the connections to one engine; takes orders from `orders`."""

    def __init__(self, url: str, report: Callable[[object], None]) -> None:
        self.orders: queue.Queue[Order] = queue.Queue()
        self._url = url
        self._report = report
        self._busy_until = 0.0

    def run(self) -> None:
        """Poll the engine and send orders until killed."""
        engine = EngineClient(self._url)
        try:
            while True:
                self._send_next_order(engine)
                requested_at = time.monotonic()
                state = engine.state()
                result = (
                    state.unwrap()
                    if isinstance(state, Success)
                    else state.failure()
                )
                if isinstance(result, EngineState) and result.loading:
                    self._busy_until = requested_at + BUSY_S
                self._report(EngineStateRead(requested_at, result))
        finally:
            engine.close()

    def _send_next_order(self, engine: EngineClient) -> None:
        is_busy = time.monotonic() < self._busy_until
        try:
            order = self.orders.get(timeout=BUSY_POLL_S if is_busy else POLL_S)
        except queue.Empty:
            return
        reply = engine.send(order)
        outcome = (
            reply.unwrap() if isinstance(reply, Success) else reply.failure()
        )
        self._report(OrderEnded(order, outcome))
        self._busy_until = time.monotonic() + BUSY_S
