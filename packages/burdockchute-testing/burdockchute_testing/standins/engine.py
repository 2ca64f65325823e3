"""A stand-in for a model engine with continuous batching."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import json
import os
import random
import time
from typing import Any

import gevent

from burdockchute_testing.standins import batch
from burdockchute_testing.standins import loading
from burdockchute_testing.standins import prefix_cache
from burdockchute_testing.standins import recording
from burdockchute_testing.standins import serving

CRASH_STATUS = 17
MAX_KEPT_STREAMS = 2000
# Generation continues for this long without a reader, so that the stream can
# be resumed.
RESUME_TIMEOUT_S = 5.0

FAULTS: dict[str, Any] = {
    'crash_word': '',  # a prompt that contains it ends the process
    'hang': False,  # requests of all kinds get no answer
    'stall_after': -1,  # token index at which streams stall
    'break_after': -1,  # token index at which streams are cut off
    'slow': 1.0,  # factor on every interval
    'wrong_digest': 0.0,  # share answered from other weights
    'fail_orders': False,
    'slow_orders_s': 0.0,
    'lose_replies': 0.0,  # share of non-streamed answers
    'seed': None,
}


class BrokenStream(serving.ConnectionCut):
    """The run ended before its last token, so the connection is closed."""


class Engine:
    """Serves requests, orders, load reports and cache events."""

    def __init__(
        self,
        profile: batch.EngineProfile = batch.EngineProfile(),  # noqa: B008
        checks_fencing: bool = True,
        memory_models: int = 2,
        load_s: float = 0.0,
        load_lag_s: float = 0.0,
        cache_blocks: int = 1024,
        cache_lag_s: float = 0.0,
        cache_gap_share: float = 0.0,
        seed: int = 1,
        history: str = '',
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self._faults = dict(FAULTS)
        self._load_lag_s = load_lag_s
        self._load_reports: list[tuple[float, dict[str, Any]]] = []
        self._recording = recording.Recording(history)
        self._cache = prefix_cache.PrefixCache(
            cache_blocks, random.Random(seed + 1), cache_lag_s, cache_gap_share
        )
        self._batch = batch.Batch(
            profile, self._cache, self._recording, clock, lambda: self._faults
        )
        self._executor = loading.OrderExecutor(
            checks_fencing,
            memory_models,
            load_s,
            self._forget,
            lambda: self._faults,
        )
        self._streams: collections.OrderedDict[str, batch.Run] = (
            collections.OrderedDict()
        )
        self._orders = 0

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            return self._set_faults(request)
        if request.path == '/history':
            return serving.json_reply(200, self._recording.runs())
        while self._faults['hang']:
            gevent.sleep(0.05)
        return self._answer(request)

    def _answer(self, request: serving.Request) -> serving.Reply:
        prefix, _, name = request.path.strip('/').rpartition('/')
        if request.path == '/v1/completions':
            return self._complete(request)
        if prefix == 'v1/streams':
            return self._resume(name, request)
        if prefix == 'v1/cancel':
            return self._cancel(name)
        if request.path == '/orders':
            return self._accept_order(request)
        if request.path == '/state':
            return serving.json_reply(200, self._executor.state())
        if request.path == '/load':
            return serving.json_reply(200, self._load())
        if request.path == '/cache/events':
            return self._cache_events(request)
        return serving.json_reply(404, {'error': 'no such path'})

    def _complete(self, request: serving.Request) -> serving.Reply:
        document = serving.parse_document(request)
        work = self._parse_work(document)
        if isinstance(work, serving.Reply):
            return work
        self._crash_if_poisoned(work)
        run = self._batch.submit(work)
        if run is None:
            return serving.json_reply(
                503, {'error': 'queue is full'}, Retry_After='1'
            )
        self._remember(run)
        if document.get('stream'):
            return self._stream(run, 0)
        return self._plain_reply(run)

    def _parse_work(
        self, document: dict[str, Any]
    ) -> batch.Work | serving.Reply:
        model = document.get('model', '')
        adapter = document.get('adapter') or ''
        if not self._executor.has_weights('model', model):
            return serving.json_reply(404, {'error': f'no model {model!r}'})
        if adapter and not self._executor.has_weights('adapter', adapter):
            return serving.json_reply(
                404, {'error': f'no adapter {adapter!r}'}
            )
        digest = self._executor.resolve_digest(
            'model', model, document.get('digest') or ''
        )
        adapter_digest: str | None = ''
        if adapter:
            adapter_digest = self._executor.resolve_digest(
                'adapter', adapter, document.get('adapter_digest') or ''
            )
        if digest is None or adapter_digest is None:
            return serving.json_reply(409, {'error': 'digest is not loaded'})
        if self._rng.random() < self._faults['wrong_digest']:
            digest = self._executor.other_digest(digest)
        try:
            return batch.Work(
                request_id=str(document.get('request_id') or ''),
                model=model,
                digest=digest,
                adapter_digest=adapter_digest,
                prompt=str(document['prompt']),
                max_tokens=int(document.get('max_tokens', 16)),
                priority=int(document.get('priority', 0)),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise serving.BadRequest(f'body: {exc!r}') from exc

    def _crash_if_poisoned(self, work: batch.Work) -> None:
        word = self._faults['crash_word']
        if word and word in work.prompt:
            self._batch.record(work)
            os._exit(CRASH_STATUS)

    def _remember(self, run: batch.Run) -> None:
        self._streams[run.work.request_id] = run
        while len(self._streams) > MAX_KEPT_STREAMS:
            self._streams.popitem(last=False)

    def _plain_reply(self, run: batch.Run) -> serving.Reply:
        texts = [text for _index, text in run.tokens(0)]
        if run.state != recording.FINISHED:
            return serving.json_reply(
                500, {'id': run.work.request_id, 'error': run.state}
            )
        if self._rng.random() < self._faults['lose_replies']:
            raise serving.LostReply
        summary = _summary_of(run)
        return serving.json_reply(200, {**summary, 'text': ''.join(texts)})

    def _stream(self, run: batch.Run, start: int) -> serving.Reply:
        return serving.Reply(
            200, self._events(run, start), serving.STREAM_TYPE
        )

    def _events(self, run: batch.Run, start: int) -> Iterator[bytes]:
        run.readers += 1
        try:
            for index, text in run.tokens(start):
                yield _sse({**_identity_of(run), 'index': index, 'text': text})
            if run.state != recording.FINISHED:
                raise BrokenStream(run.state)
            yield _sse({**_summary_of(run), 'finish': 'stop'})
            yield b'data: [DONE]\n\n'
        finally:
            run.readers -= 1
            if not run.ended and not run.readers:
                gevent.spawn_later(RESUME_TIMEOUT_S, self._abandon, run)

    def _abandon(self, run: batch.Run) -> None:
        if not run.readers:
            self._batch.end(run, recording.CANCELLED)

    def _resume(
        self, request_id: str, request: serving.Request
    ) -> serving.Reply:
        run = self._streams.get(request_id)
        if run is None:
            return serving.json_reply(
                404, {'error': f'no stream {request_id!r}'}
            )
        start = serving.query_integer(request, 'from', 0)
        return self._stream(run, start)

    def _cancel(self, request_id: str) -> serving.Reply:
        run = self._streams.get(request_id)
        if run is None:
            return serving.json_reply(
                404, {'error': f'no stream {request_id!r}'}
            )
        self._batch.end(run, recording.CANCELLED)
        return serving.json_reply(200, {'how': run.state})

    def _accept_order(self, request: serving.Request) -> serving.Reply:
        self._orders += 1
        order = _parse_order(
            serving.parse_document(request), f'order-{self._orders}'
        )
        if self._executor.is_outdated(order):
            return serving.json_reply(409, {'fence': self._executor.fence})
        if order.act == 'load' and not self._executor.has_memory_for(order):
            return serving.json_reply(
                507, {'error': 'no memory for the model'}
            )
        self._executor.accept(order)
        return serving.json_reply(202, {'order_id': order.order_id})

    def _load(self) -> dict[str, Any]:
        """Return the newest report that is at least as old as the lag."""
        now = self._clock()
        self._load_reports.append((now, self._load_now()))
        newest = self._load_reports[0]
        for report in self._load_reports:
            if report[0] <= now - self._load_lag_s:
                newest = report
        self._load_reports = [
            r for r in self._load_reports if r[0] >= newest[0]
        ]
        return newest[1]

    def _load_now(self) -> dict[str, Any]:
        profile = self._batch.profile
        interval_s = max(profile.token_interval_s, 1e-4) * self._faults['slow']
        rate = profile.prefill_tokens_per_s / self._faults['slow']
        return {
            'running': self._batch.running(),
            'waiting': self._batch.waiting(),
            'slots': profile.slots,
            'tokens_per_s': profile.slots / interval_s,
            'prefill_tokens_per_s': rate,
            'generated': self._batch.generated,
        }

    def _cache_events(self, request: serving.Request) -> serving.Reply:
        start = serving.query_integer(request, 'from', 0)
        found = self._cache.events(start, self._clock())
        return serving.json_reply(
            200,
            {
                'events': [
                    {'sequence': e.sequence, 'act': e.act, 'prefix': e.prefix}
                    for e in found
                ],
                'next': found[-1].sequence + 1 if found else start,
            },
        )

    def _forget(self, digest: str) -> None:
        self._batch.break_runs_using(digest)
        self._cache.forget(digest, self._clock())

    def _set_faults(self, request: serving.Request) -> serving.Reply:
        self._faults = serving.merge_faults(FAULTS, request)
        if self._faults['seed'] is not None:
            self._rng = random.Random(self._faults['seed'])
        return serving.json_reply(200, {})


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.make_parser(__doc__)
    profile = batch.EngineProfile()
    parser.add_argument('--slots', type=int, default=profile.slots)
    parser.add_argument('--max-waiting', type=int, default=profile.max_waiting)
    parser.add_argument(
        '--token-interval-s', type=float, default=profile.token_interval_s
    )
    parser.add_argument(
        '--prefill-tokens-per-s',
        type=float,
        default=profile.prefill_tokens_per_s,
    )
    parser.add_argument('--batch-cost', type=float, default=profile.batch_cost)
    parser.add_argument('--ignores-fencing', action='store_true')
    parser.add_argument('--memory-models', type=int, default=2)
    parser.add_argument('--load-s', type=float, default=0.0)
    parser.add_argument('--load-lag-s', type=float, default=0.5)
    parser.add_argument('--cache-blocks', type=int, default=1024)
    parser.add_argument('--cache-lag-s', type=float, default=0.5)
    parser.add_argument('--cache-gap-share', type=float, default=0.05)
    parser.add_argument('--history-file', default='')
    args = parser.parse_args()
    engine = Engine(
        batch.EngineProfile(
            args.slots,
            args.max_waiting,
            args.token_interval_s,
            args.prefill_tokens_per_s,
            args.batch_cost,
        ),
        not args.ignores_fencing,
        args.memory_models,
        args.load_s,
        args.load_lag_s,
        args.cache_blocks,
        args.cache_lag_s,
        args.cache_gap_share,
        args.seed,
        args.history_file,
    )
    serving.run(engine.handle, args)


def _parse_order(document: dict[str, Any], order_id: str) -> loading.Order:
    try:
        order = loading.Order(
            order_id=order_id,
            act=document['order'],
            kind=document['kind'],
            name=document['name'],
            version=document.get('version', ''),
            digest=document['digest'],
            base=document.get('base', ''),
            source=document.get('source', ''),
            fence=int(document['fence']),
            deadline_ms=int(document.get('deadline_ms', 5000)),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise serving.BadRequest(f'body: {exc!r}') from exc
    if order.act not in ('load', 'unload'):
        raise serving.BadRequest(f'order: {order.act!r} is no order')
    if order.kind not in ('model', 'adapter'):
        raise serving.BadRequest(f'kind: {order.kind!r} is no kind')
    return order


def _identity_of(run: batch.Run) -> dict[str, Any]:
    return {
        'id': run.work.request_id,
        'digest': run.work.digest,
        'adapter_digest': run.work.adapter_digest,
    }


def _summary_of(run: batch.Run) -> dict[str, Any]:
    return {
        **_identity_of(run),
        'tokens': len(run.texts),
        'cached_tokens': run.cached_tokens,
    }


def _sse(document: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(document)}\n\n'.encode()


if __name__ == '__main__':
    main()
