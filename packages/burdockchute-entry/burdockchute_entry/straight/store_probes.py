"""Probes the store by way of agents, for an entry that it does not answer."""

from __future__ import annotations

from collections.abc import Callable

from burdockchute import logs
from burdockchute.decisions import store_probes
from burdockchute.decisions.store_probes import Outcome
from burdockchute.decisions.store_probes import Probe
from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeEvent
from burdockchute.model.store_probes import StoreProbeRequested
from burdockchute.model.store_probes import StoreProbeSent

# An agent takes up to 1.4 s to notice that the store does not answer.
MIN_INTERVAL_S = 1.5

MAX_PROBES = 3


class StoreProbes:
    """One probe after the other.

    `send` asks the agents. `known_end` returns the end of the log up to which
    the entry has read it, and `on_confirmed` is called with the time until
    which that is known to be the newest.
    """

    def __init__(
        self,
        send: Callable[[StoreProbeRequested], None],
        known_end: Callable[[], LogEnd | None],
        on_confirmed: Callable[[float], None],
        on_store_away: Callable[[float], None],
        now: Callable[[], float],
    ) -> None:
        self._send = send
        self._known_end = known_end
        self._on_confirmed = on_confirmed
        self._on_store_away = on_store_away
        self._newest_end: LogEnd | None = None
        self._now = now
        self._sent_at = float('-inf')
        # By the time of sending; answers over full links take seconds.
        self._probes: dict[float, Probe] = {}
        self._outcome = Outcome.UNKNOWN

    def start(self) -> None:
        """Ask the agents, unless they have just been asked."""
        # In microseconds, as it is on the wire.
        now = round(self._now(), 6)
        if now - self._sent_at >= MIN_INTERVAL_S:
            self._sent_at = now
            self._send(StoreProbeRequested(now))

    def handle_event(self, event: StoreProbeEvent) -> None:
        """Process that agents were asked, or an agent's answer."""
        known = self._known_end()
        if isinstance(event, StoreProbeSent):
            self._probes[event.sent_at] = Probe(event)
            while len(self._probes) > MAX_PROBES:
                del self._probes[next(iter(self._probes))]
        elif event.sent_at in self._probes and known is not None:
            probe = store_probes.on_answer(self._probes[event.sent_at], event)
            self._probes[event.sent_at] = probe
            self._judge(probe, event, known)

    def _judge(
        self, probe: Probe, event: StoreProbeAnswered, known: LogEnd
    ) -> None:
        if event.end is not None:
            self._newest_end = max(self._newest_end or event.end, event.end)
        outcome = store_probes.outcome(probe, known)
        if (
            outcome is Outcome.STORE_AWAY
            and self._newest_end is not None
            and self._newest_end > known
        ):
            outcome = Outcome.OUTDATED
        if outcome is not self._outcome:
            self._outcome = outcome
            logs.event(
                'store_probed',
                outcome=outcome.value,
                known=known.offset,
                agent=event.agent,
                end=event.end.offset if event.end else None,
                asked=len(probe.sent.asked),
                answers=len(probe.answers),
            )
        if outcome is Outcome.STORE_AWAY:
            self._on_store_away(store_probes.silent_since(probe))
        elif outcome is Outcome.CONFIRMED:
            at = store_probes.confirmed_at(probe, known)
            if at is not None:
                self._on_confirmed(at)
