"""A stand-in for a plain service, which runs each request once."""

from __future__ import annotations

import os
import random
from typing import Any

import gevent

from burdockchute_testing.standins import recording
from burdockchute_testing.standins import serving

CRASH_STATUS = 17

FAULTS: dict[str, Any] = {
    'slow_s': 0.0,
    'crash_word': '',  # a body that contains it ends the process
    'lose_replies': 0.0,
    'fail': 0.0,  # share answered with 500
    'seed': None,
}


class Service:
    """Runs each request for `seconds` and echoes its body."""

    def __init__(
        self,
        name: str = 'service',
        seconds: float = 0.0,
        seed: int = 1,
        history: str = '',
    ) -> None:
        self._name = name
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._recording = recording.Recording(history)
        self._faults = dict(FAULTS)

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            self._faults = serving.merge_faults(FAULTS, request)
            if self._faults['seed'] is not None:
                self._rng = random.Random(self._faults['seed'])
            return serving.json_reply(200, {})
        if request.path == '/history':
            return serving.json_reply(200, self._recording.runs())
        return self._run(request)

    def _run(self, request: serving.Request) -> serving.Reply:
        request_id = request.headers.get('burdockchute-request-id', '')
        text = request.body.decode(errors='replace')
        run = self._recording.start(
            request_id, digest='', service=self._name, body=text
        )
        word = self._faults['crash_word']
        if word and word in text:
            os._exit(CRASH_STATUS)
        gevent.sleep(self._seconds + self._faults['slow_s'])
        if self._rng.random() < self._faults['fail']:
            self._recording.end(run, recording.BROKEN)
            return serving.json_reply(500, {'error': 'failed'})
        self._recording.end(run, recording.FINISHED)
        if self._rng.random() < self._faults['lose_replies']:
            raise serving.LostReply
        return serving.json_reply(
            200,
            {
                'service': self._name,
                'request_id': request_id,
                'run': run['run'],
                'echo': text,
            },
        )


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.make_parser(__doc__)
    parser.add_argument('--service', default='service')
    parser.add_argument('--seconds', type=float, default=0.0)
    parser.add_argument('--history-file', default='')
    args = parser.parse_args()
    service = Service(args.service, args.seconds, args.seed, args.history_file)
    serving.run(service.handle, args)


if __name__ == '__main__':
    main()
