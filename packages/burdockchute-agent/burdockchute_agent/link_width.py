"""How wide this instance's link is, as chunks of copies come over it."""

from __future__ import annotations

from burdockchute.decisions import narrowing
from burdockchute.logs import event
from burdockchute_agent.copier import PACED_ASKED_IN_ALL
from burdockchute_agent.copier import PACED_READS_AT_ONCE


class LinkWidth:
    """Keeps how many chunks may be under way; `link` is bytes/s."""

    def __init__(self, link: float) -> None:
        most = PACED_ASKED_IN_ALL + PACED_READS_AT_ONCE
        self._link = link
        self._window = narrowing.Window(most, most)

    def allows(self, under_way: int) -> bool:
        """Tell whether one more chunk may be asked for.

        On a link of its usual width each copy has its own bounds.
        """
        return not self.is_narrow or under_way < self._window.size

    @property
    def is_narrow(self) -> bool:
        """Whether the link carries less than it should."""
        return self._window.size < self._window.most

    def came(
        self, peer: str, size: int, took_s: float, under_way: int
    ) -> None:
        """Note a chunk that came while so many were under way, with it."""
        usual_s = max(1, under_way) * size / self._link
        before = self._window.size
        self._window = narrowing.arrived(
            self._window, narrowing.Arrival(peer, took_s / usual_s)
        )
        # Steps on the way back to the full size are no news.
        if self._window.size != before and 1 in (self._window.size, before):
            event(
                'copy_window_changed',
                window=self._window.size,
                before=before,
                took_ms=int(took_s * 1000),
                usual_ms=int(usual_s * 1000),
                peer=peer,
            )
