"""The platform's list of instances, which shows changes late."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

from burdockchute.model import findings
from burdockchute_testing.standins import serving

STATES = ('live', 'leaving')
FIELDS = ('name', 'role', 'address', 'port', 'zone', 'region', 'pool')

FAULTS: dict[str, Any] = {'outage': False, 'lag_s': None}


class Change(NamedTuple):
    """An instance as it is from a time on; None when it is gone."""

    at: float
    name: str
    instance: dict[str, Any] | None


class InstanceList:
    """Every change, and which of them are old enough to be seen."""

    def __init__(
        self, lag_s: float = 0.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._shown: dict[str, dict[str, Any]] = {}
        self._coming: list[Change] = []
        self._faults = dict(FAULTS)

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            self._faults = serving.merge_faults(FAULTS, request)
            return serving.json_reply(200, {})
        where, _, name = request.path.strip('/').partition('/')
        if where != 'instances':
            return serving.json_reply(404, {'error': 'no such path'})
        if request.method == 'POST':
            instance = _checked(serving.parse_document(request))
            self._change(instance['name'], instance)
            return serving.json_reply(200, {})
        if request.method == 'DELETE':
            self._change(name, None)
            return serving.json_reply(200, {})
        if self._faults['outage']:
            return serving.json_reply(503, {'error': 'outage'})
        return serving.json_reply(200, {'instances': self._present()})

    def _change(self, name: str, instance: dict[str, Any] | None) -> None:
        self._coming.append(Change(self._clock(), name, instance))

    def _present(self) -> list[dict[str, Any]]:
        lag_s = self._faults['lag_s']
        lag_s = self._lag_s if lag_s is None else lag_s
        seen_before = self._clock() - lag_s
        while self._coming and self._coming[0].at <= seen_before:
            change = self._coming.pop(0)
            self._shown.pop(change.name, None)
            if change.instance is not None:
                self._shown[change.name] = change.instance
        return list(self._shown.values())


def main() -> None:
    """Serve as a process."""
    parser = serving.make_parser(__doc__)
    parser.add_argument('--lag-s', type=float, default=0.0)
    args = parser.parse_args()
    serving.run(InstanceList(args.lag_s).handle, args)


def _checked(document: dict[str, Any]) -> dict[str, Any]:
    missing = [field for field in FIELDS if field not in document]
    if missing:
        raise serving.BadRequest(f'body: {missing!r} must be given')
    state = document.setdefault('state', 'live')
    if state not in STATES:
        raise serving.BadRequest(
            f'state: {findings.not_one_of(state, STATES)}'
        )
    return document


if __name__ == '__main__':
    main()
