"""The steps from start to stop that an entry and an agent share."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import signal
import time
from typing import Any
from typing import Protocol
import uuid

import gevent
from gevent import event as events

from burdockchute import bootstrap
from burdockchute import metrics
from burdockchute import tasks
from burdockchute.nodes import links
from burdockchute.wire import messages


class Identity(Protocol):
    """The settings with the name and the location of a process."""

    @property
    def name(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def region(self) -> str: ...
    @property
    def otlp_endpoint(self) -> str: ...


class ProcessLifecycle:
    """One run of a process; `role` is 'entry' or 'agent'."""

    def __init__(
        self, cfg: Identity, role: str, table_offset: Callable[[], int]
    ) -> None:
        self.incarnation = uuid.uuid4().hex
        self._cfg = cfg
        self._role = role
        self._table_offset = table_offset
        self._started = time.time()
        self._stopping = events.Event()
        self._failed = False

    def hello(self) -> messages.Hello:
        """Return the first message that this process sends on a link."""
        return messages.Hello(
            self._cfg.name,
            self._role,
            self._cfg.zone,
            self._cfg.region,
            self.incarnation,
            self._table_offset(),
            links.PROTOCOL,
            fragments=True,
        )

    def start(self, reload: Callable[[], None] | None = None) -> None:
        """Set up metrics and the signals that request a stop or a reload.

        A reload that was requested before `start` runs at once.
        """
        metrics.set_up(self._cfg.name, self._cfg.otlp_endpoint)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._stopping.set)
        if reload is None:
            return
        gevent.signal_handler(signal.SIGHUP, reload)
        if bootstrap.consume_reload_request():
            gevent.spawn(reload)

    def run_until_stopped(self, loops: Iterable[Callable[[], None]]) -> bool:
        """Run the tasks until a stop is requested; False if one failed."""
        tasks.start(loops, self._fail)
        self._stopping.wait()
        return not self._failed

    def wait_stop(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s`; return whether a stop was requested."""
        return bool(self._stopping.wait(timeout_s))

    def status(self) -> dict[str, Any]:
        """Return the part of the status page that all processes share."""
        return {
            'name': self._cfg.name,
            'incarnation': self.incarnation,
            'started': self._started,
        }

    def _fail(self) -> None:
        self._failed = True
        self._stopping.set()
