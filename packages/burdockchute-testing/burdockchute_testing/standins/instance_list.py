"""A stand-in for the platform's list of instances, which lags behind."""

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
    """The state of an instance from a time on; None if it was removed."""

    at: float
    name: str
    instance: dict[str, Any] | None


class InstanceList:
    """The visible instances and the changes younger than the lag."""

    def __init__(
        self, lag_s: float = 0.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._visible: dict[str, dict[str, Any]] = {}
        self._pending: list[Change] = []
        self._faults = dict(FAULTS)

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            self._faults = serving.merge_faults(FAULTS, request)
            return serving.json_reply(200, {})
        collection, _, name = request.path.strip('/').partition('/')
        if collection != 'instances':
            return serving.json_reply(404, {'error': 'no such path'})
        if request.method == 'POST':
            instance = _validated(serving.parse_document(request))
            self._change(instance['name'], instance)
            return serving.json_reply(200, {})
        if request.method == 'DELETE':
            self._change(name, None)
            return serving.json_reply(200, {})
        if self._faults['outage']:
            return serving.json_reply(503, {'error': 'outage'})
        return serving.json_reply(
            200, {'instances': self._visible_instances()}
        )

    def _change(self, name: str, instance: dict[str, Any] | None) -> None:
        self._pending.append(Change(self._clock(), name, instance))

    def _visible_instances(self) -> list[dict[str, Any]]:
        lag_s = self._faults['lag_s']
        lag_s = self._lag_s if lag_s is None else lag_s
        visible_until = self._clock() - lag_s
        while self._pending and self._pending[0].at <= visible_until:
            change = self._pending.pop(0)
            self._visible.pop(change.name, None)
            if change.instance is not None:
                self._visible[change.name] = change.instance
        return list(self._visible.values())


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.make_parser(__doc__)
    parser.add_argument('--lag-s', type=float, default=0.0)
    args = parser.parse_args()
    serving.run(InstanceList(args.lag_s).handle, args)


def _validated(document: dict[str, Any]) -> dict[str, Any]:
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
