"""The state of this process, and the meaning of a signal in each state.

A process passes these states in order, and may skip some:

- started: it imports its modules and reads its settings. A stop exits with
  status 0 at once, since nothing has been accepted; a reload waits.
- opening: it opens its ports and may have accepted its first requests. A stop
  begins the shutdown.
- serving: a stop begins the shutdown.
- leaving: it finishes what it has accepted. Another stop changes nothing.
- ended: only the exit of the interpreter is left. Signals are ignored.

SIGTERM and SIGINT request a stop. SIGHUP requests a reload of the settings,
which is done in the states from opening to leaving; it never ends a process.

The handlers must be installed before anything that takes time is imported. So
this module imports neither gevent nor any other module of the project.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
import os
import signal
import sys
import time

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)

# Operators' commands keep the default actions of their signals.
PROCESS_COMMANDS = ('serve', 'serve-site')


class State(enum.IntEnum):
    """The states of a process, in their order."""

    STARTED = 0
    OPENING = 1
    SERVING = 2
    LEAVING = 3
    ENDED = 4


class Action(enum.Enum):
    """What a process does about a signal."""

    EXIT = 'exit'
    DEFER = 'defer'
    STOP = 'stop'
    RELOAD = 'reload'
    IGNORE = 'ignore'


def action_for(state: State, number: int) -> Action:
    """Return what a process in a state does about a signal.

    >>> action_for(State.SERVING, signal.SIGHUP)
    <Action.RELOAD: 'reload'>
    """
    if state is State.ENDED:
        return Action.IGNORE
    if number not in STOP_SIGNALS:
        return Action.DEFER if state is State.STARTED else Action.RELOAD
    if state is State.STARTED:
        return Action.EXIT
    return Action.IGNORE if state is State.LEAVING else Action.STOP


# Called with a signal, the state in which it arrived, the age of the process
# at that time, and the action.
Listener = Callable[[int, State, float, Action], None]


class ProcessState:
    """The state of a process; passes its signals to a listener.

    `exit_process` is called with the status if a stop arrives before there is
    a listener.
    """

    def __init__(
        self, started_at: float, exit_process: Callable[[int], object]
    ) -> None:
        self.state = State.STARTED
        self._started_at = started_at
        self._exit_process = exit_process
        self._listener: Listener | None = None
        self._deferred: list[tuple[int, float]] = []

    def age_s(self, now: float) -> float:
        """Return the time since the first instruction of the program."""
        return now - self._started_at

    def enter(self, state: State) -> bool:
        """Pass to a later state; return False if it was reached before."""
        if state <= self.state:
            return False
        self.state = state
        return True

    def open_ports(self, listener: Listener) -> bool:
        """Pass to opening, and pass the signals to `listener` from now on.

        Reloads that were requested before are passed to it at once.
        """
        self._listener = listener
        entered = self.enter(State.OPENING)
        while self._deferred:
            number, age_s = self._deferred.pop(0)
            listener(number, State.STARTED, age_s, Action.RELOAD)
        return entered

    def receive(self, number: int, now: float) -> None:
        """Handle a signal; called by the signal handler."""
        state, age_s = self.state, self.age_s(now)
        action = action_for(state, number)
        if action is Action.EXIT:
            _print_signal(number, state, age_s, action)
            self._exit_process(0)
        elif action is Action.DEFER:
            self._deferred.append((number, age_s))
        elif self._listener is not None and state is not State.ENDED:
            self._listener(number, state, age_s, action)


PROCESS = ProcessState(time.monotonic(), os._exit)

_installed: list[int] = []


def install_for(argv: Sequence[str]) -> None:
    """Install the handlers if a command line runs a process that serves."""
    if len(argv) > 1 and argv[1] in PROCESS_COMMANDS:
        install()


def install() -> None:
    """Install the signal handlers of this process, unless they are."""
    if not _installed:
        _installed.extend(SIGNALS)
        for number in SIGNALS:
            signal.signal(number, _handle)


def end() -> None:
    """Ignore signals from now on, if the handlers were installed.

    As the interpreter exits it restores the default action of every signal
    that has a handler, but keeps ignored signals ignored.
    """
    if _installed:
        PROCESS.enter(State.ENDED)
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def is_installed() -> bool:
    """Whether this process handles its signals."""
    return bool(_installed)


def _handle(number: int, _frame: object) -> None:
    PROCESS.receive(number, time.monotonic())


def _print_signal(
    number: int, state: State, age_s: float, action: Action
) -> None:
    # Logs are not set up yet.
    if sys.__stderr__ is None:
        return
    line = (
        f'event=signal signal={signal.Signals(number).name} '
        f'state={state.name.lower()} age_s={age_s:.3f} action={action.value}\n'
    )
    try:
        # A full pipe must not delay the exit. Other processes may share it.
        descriptor = sys.__stderr__.fileno()
        was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
        os.write(descriptor, line.encode())
        os.set_blocking(descriptor, was_blocking)
    except (OSError, ValueError):
        return
