"""The task that talks to this instance's engine.

It reads the engine's state over and over and gives the orders that it is
sent, one at a time, so that the owner never waits for the engine.
"""

from __future__ import annotations

from collections.abc import Callable
import time

import gevent
from gevent import queue
from returns.result import Success

from burdockchute.upstreams.orders import Engine
from burdockchute.upstreams.orders import Order
from burdockchute_agent.events import EngineSeen
from burdockchute_agent.events import OrderEnded

# How long an engine that lost its weights may go unnoticed; requests carry
# their digest, so in between they are refused by the engine itself.
POLL_S = 0.25


class EngineTask:
    """Owns the connections to one engine; orders go into `orders`."""

    def __init__(self, url: str, report: Callable[[object], None]) -> None:
        self.orders: queue.Queue[Order] = queue.Queue()
        self._url = url
        self._report = report

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
                self._report(EngineSeen(asked, seen))
        finally:
            engine.close()

    def _give_next(self, engine: Engine) -> None:
        try:
            order = self.orders.get(timeout=POLL_S)
        except queue.Empty:
            return
        reply = engine.give(order)
        outcome = (
            reply.unwrap() if isinstance(reply, Success) else reply.failure()
        )
        self._report(OrderEnded(order, outcome))


def spawn(task: EngineTask) -> gevent.Greenlet:
    """Start the task."""
    return gevent.spawn(task.run)
