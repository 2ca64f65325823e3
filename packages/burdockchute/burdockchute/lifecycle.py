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

from burdockchute import logs
from burdockchute import metrics
from burdockchute import process_state
from burdockchute import tasks
from burdockchute.nodes import links
from burdockchute.process_state import Action
from burdockchute.process_state import ProcessState
from burdockchute.process_state import State
from burdockchute.wire import messages

# gevent ends a wait without a timeout if nothing else is waited for.
STOP_WAIT_S = 60.0


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
    """One run of a process; `role` is 'entry' or 'agent'.

    `process_state` describes the states and the signals.
    """

    def __init__(
        self,
        cfg: Identity,
        role: str,
        table_offset: Callable[[], int],
        process: ProcessState = process_state.PROCESS,
    ) -> None:
        self.incarnation = uuid.uuid4().hex
        self._cfg = cfg
        self._role = role
        self._table_offset = table_offset
        self._process = process
        self._reload: Callable[[], None] | None = None
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

    @property
    def state(self) -> State:
        """The state of this process."""
        return self._process.state

    def start(self, reload: Callable[[], None] | None = None) -> None:
        """Set up metrics, and stop or reload when a signal requests it.

        From now on the process may open its ports. A reload that was
        requested before runs at once.
        """
        metrics.set_up(self._cfg.name, self._cfg.otlp_endpoint)
        self._reload = reload
        # A handler interrupts the code of any greenlet, which may hold locks,
        # so signals are logged and handled in greenlets of their own.
        if self._process.open_ports(
            lambda *received: gevent.spawn(self._handle_signal, *received)
        ):
            self._log_state()

    def run_until_stopped(self, loops: Iterable[Callable[[], None]]) -> bool:
        """Run the tasks until a stop is requested; False if one failed."""
        tasks.start(loops, self._fail)
        self._enter(State.SERVING)
        while not self._stopping.wait(STOP_WAIT_S):
            pass
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

    def _handle_signal(
        self, number: int, state: State, age_s: float, action: Action
    ) -> None:
        if action is Action.RELOAD and self._reload is None:
            action = Action.IGNORE
        logs.event(
            'signal',
            signal=signal.Signals(number).name,
            state=state.name.lower(),
            age_s=round(age_s, 3),
            action=action.value,
        )
        if action is Action.STOP:
            self._stop()
        elif action is Action.RELOAD and self._reload:
            self._reload()

    def _fail(self) -> None:
        self._failed = True
        self._stop()

    def _stop(self) -> None:
        self._enter(State.LEAVING)
        self._stopping.set()

    def _enter(self, state: State) -> None:
        if self._process.enter(state):
            self._log_state()

    def _log_state(self) -> None:
        logs.event(
            'process_state',
            state=self.state.name.lower(),
            age_s=round(self._process.age_s(time.monotonic()), 3),
        )
