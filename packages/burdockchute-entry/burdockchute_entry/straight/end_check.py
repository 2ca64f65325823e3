"""Checks whether the start of an upstream that ran a request has ended.

An upstream that has crashed refuses connections, and accepts them again once
it is back. That is another start, with another id, which refuses what is
meant for the one before. So the check holds however late it is made: this
process may have been suspended, or the end of the connection delayed.
"""

from __future__ import annotations

from collections.abc import Callable

from burdockchute.adapters import Adapter
from burdockchute.model.exchanges import MISDIRECTED
from burdockchute.upstreams import connections
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.connections import NoDataYet
from burdockchute.upstreams.connections import NotConnected
from burdockchute_entry.straight.targets import Target

# Another start answers at once. A full upstream answers late, as its health
# check waits for a slot; callers must not wait for that.
ANSWER_TIMEOUT_S = 0.25


HasCrashed = Callable[[str, int | None, float], bool]


class EndCheck:
    """Asks upstreams whether they have ended.

    `health_path` returns the path of the health checks of a service, empty if
    it has none. `has_crashed` tells whether the end of an upstream has been
    reported, by its id, its time of start and when a request was sent to it;
    it decides where the upstream does not respond.
    """

    def __init__(
        self,
        adapter: Adapter,
        health_path: Callable[[str], str],
        now: Callable[[], float],
        has_crashed: HasCrashed = lambda upstream, started_ms, sent_at: False,
    ) -> None:
        self._adapter = adapter
        self._health_path = health_path
        self._now = now
        self._has_crashed = has_crashed

    def has_ended(self, target: Target, sent_at: float) -> bool:
        """Whether an upstream refuses connections, or has started again.

        One that does not respond is not taken as ended, unless others have
        seen it end after a request was sent to it at `sent_at`.
        """
        return bool(self.ask(target, sent_at))

    def ask(self, target: Target, sent_at: float) -> bool | None:
        """Return whether an upstream has ended, None if it is unknown."""
        if target.is_replaced:
            return True
        has_ended = self._ask_upstream(target)
        if has_ended is None:
            started_ms = target.upstream.started_ms
            if self._has_crashed(target.id, started_ms, sent_at):
                return True
        return has_ended

    def _ask_upstream(self, target: Target) -> bool | None:
        """Return whether an upstream has ended, None if it does not respond.

        Without a health path, only the address can be asked.
        """
        try:
            conn = connections.connect(target.upstream.endpoint)
        except NotConnected as exc:
            return True if exc.refused else None
        path = self._health_path(target.upstream.service)
        if not path:
            target.keep_new(conn, self._now())
            return False
        data = self._adapter.encode_health_check(path, target.id)
        conn.set_poll_interval(ANSWER_TIMEOUT_S)
        try:
            conn.send(data, 'GET', lambda status, headers: True)
            head = self._adapter.decode_answer(*conn.read_head())
            conn.discard_body(ANSWER_TIMEOUT_S)
        except (AnswerFailed, NoDataYet) as exc:
            conn.close()
            if isinstance(exc, AnswerFailed) and not exc.closed_by_upstream:
                target.record_failure(self._now())
            return None
        is_other = head.instance not in ('', target.id)
        has_ended = is_other or head.status == MISDIRECTED
        if has_ended or head.idle_s is None:
            conn.close()
        else:
            target.keep(conn, head.idle_s, self._now())
        return has_ended
