"""The task that talks to this instance's engine.

It reads the engine's state over and over and gives the orders that it is
sent, one at a time, so that the owner never waits for the engine.
"""

from __future__ import annotations

from collections.abc import Callable
import time

from gevent import queue
from returns.result import Success

from burdockchute.upstreams.orders import Engine
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import Order
from burdockchute_agent.events import EngineStateRead
from burdockchute_agent.events import OrderEnded

# How long an engine that lost its weights may go unnoticed; requests carry
# their digest, so in between they are refused by the engine itself.
POLL_S = 0.25
# While an order is on its way the engine is asked often, as every replica
# that waits for its turn to load waits for this one.
BUSY_POLL_S = 0.05
BUSY_S = 1.0


class EngineTask:
    """Owns the connections to one engine; orders go into `orders`."""

    def __init__(self, url: str, report: Callable[[object], None]) -> None:
        self.orders: queue.Queue[Order] = queue.Queue()
        self._url = url
        self._report = report
        self._busy_until = 0.0

    def run(self) -> None:
        """Poll and give orders until killed."""
        engine = Engine(self._url)
        try:
            while True:
                self._give_next(engine)
                asked = time.monotonic()
                state = engine.state()
                seen = (
                    state.unwrap()
                    if isinstance(state, Success)
                    else state.failure()
                )
                if isinstance(seen, EngineState) and seen.loading:
                    self._busy_until = asked + BUSY_S
                self._report(EngineStateRead(asked, seen))
        finally:
            engine.close()

    def _give_next(self, engine: Engine) -> None:
        is_busy = time.monotonic() < self._busy_until
        try:
            order = self.orders.get(timeout=BUSY_POLL_S if is_busy else POLL_S)
        except queue.Empty:
            return
        reply = engine.give(order)
        outcome = (
            reply.unwrap() if isinstance(reply, Success) else reply.failure()
        )
        self._report(OrderEnded(order, outcome))
        self._busy_until = time.monotonic() + BUSY_S
