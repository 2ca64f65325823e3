"""The stand-in engine and service, over real sockets."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import unittest
from unittest import mock

import gevent

from burdockchute_testing import answers
from burdockchute_testing import client
from burdockchute_testing.standins import batch
from burdockchute_testing.standins import engine
from burdockchute_testing.standins import local
from burdockchute_testing.standins import service
from burdockchute_testing.standins import serving

WAIT_S = 20.0


class EngineCase(unittest.TestCase):
    def setUp(self) -> None:
        self.source = local.WeightsSource()
        self.source_url = local.start(self, self.source.handle)
        self.fence = 1

    def start(self, **options: object) -> None:
        options.setdefault(
            'profile', batch.EngineProfile(token_interval_s=0.001)
        )
        stand_in = engine.Engine(**options)  # type: ignore[arg-type]
        self.url = local.start(self, stand_in.handle)

    def order(self, digest: str, **fields: object) -> client.Response:
        document = {
            'order': 'load',
            'kind': 'model',
            'name': 'story',
            'version': 'v1',
            'digest': digest,
            'base': '',
            'source': f'{self.source_url}/weights/{digest}',
            'fence': self.fence,
            'deadline_ms': 10_000,
        }
        return client.post(f'{self.url}/orders', {**document, **fields})

    def state(self) -> dict:
        return client.get(f'{self.url}/state').json()

    def wait_loaded(self) -> dict:
        with gevent.Timeout(WAIT_S):
            while self.state()['loading']:
                gevent.sleep(0.01)
        return self.state()

    def load(self, name: str, seed: int, **fields: object) -> str:
        digest = self.source.publish(name, seed=seed)
        answer = self.order(digest, name=name, **fields)
        self.assertEqual(202, answer.status, answer.body)
        self.wait_loaded()
        return digest

    def complete(self, **fields: object) -> client.Response:
        return client.post(f'{self.url}/v1/completions', _request(fields))

    def stream(self, **fields: object) -> client.Stream:
        document = _request({'stream': True, **fields})
        stream = client.Stream(f'{self.url}/v1/completions', document)
        self.addCleanup(stream.close)
        return stream

    def set_faults(self, **faults: object) -> None:
        answer = client.post(f'{self.url}/faults', faults)
        self.assertEqual(200, answer.status, answer.body)

    def history(self) -> list[dict]:
        return client.get(f'{self.url}/history').json()


class AnswersTest(EngineCase):
    def test_plain_answer_is_the_expected_text(self):
        self.start()
        digest = self.load('story', 1)
        answer = self.complete(prompt='good morning', max_tokens=5)
        expected = {
            'id': 'r1',
            'digest': digest,
            'adapter_digest': '',
            'tokens': 5,
            'cached_tokens': 0,
            'text': answers.expected_text(digest, '', 'good morning', 5),
        }
        self.assertEqual(expected, answer.json())
        (run,) = self.history()
        self.assertEqual(('r1', 'finished'), (run['request_id'], run['how']))

    def test_stream_of_an_adapter_names_both_digests(self):
        self.start()
        digest = self.load('story', 1)
        adapter = self.load('rhymes', 2, kind='adapter', base='story')
        events = list(self.stream(adapter='rhymes', max_tokens=3).events())
        parts = [json.loads(event.data) for event in events[:-1]]
        text = ''.join(part.get('text', '') for part in parts)
        self.assertEqual(
            answers.expected_text(digest, adapter, 'hello', 3), text
        )
        named = {(part['digest'], part['adapter_digest']) for part in parts}
        self.assertEqual({(digest, adapter)}, named)
        self.assertEqual('stop', parts[-1]['finish'])
        self.assertEqual(client.DONE, events[-1].data)

    def test_other_digest_is_refused(self):
        self.start()
        digest = self.load('story', 1)
        self.assertEqual(409, self.complete(digest='0' * 64).status)
        self.assertEqual(200, self.complete(digest=digest).status)
        self.assertEqual(404, self.complete(model='letters').status)

    def test_stream_resumes_where_it_was_left(self):
        self.start(profile=batch.EngineProfile(token_interval_s=0.01))
        digest = self.load('story', 1)
        interrupted = self.stream(max_tokens=20)
        first = json.loads(next(interrupted.events()).data)
        interrupted.close()
        resumed = client.get(f'{self.url}/v1/streams/r1?from=1')
        parts = [
            json.loads(line[len('data: ') :])
            for line in resumed.body.decode().split('\n\n')
            if '"text"' in line
        ]
        text = first['text'] + ''.join(part['text'] for part in parts)
        self.assertEqual(answers.expected_text(digest, '', 'hello', 20), text)

    def test_cancel_frees_the_slot(self):
        self.start(profile=batch.EngineProfile(slots=1, token_interval_s=0.01))
        self.load('story', 1)
        interrupted = self.stream(max_tokens=100_000)
        next(interrupted.events())
        client.post(f'{self.url}/v1/cancel/r1', {})
        self.assertEqual(200, self.complete(request_id='r2').status)
        ends = [(run['request_id'], run['how']) for run in self.history()]
        self.assertEqual([('r1', 'cancelled'), ('r2', 'finished')], ends)

    def test_full_queue_refuses(self):
        self.start(profile=batch.EngineProfile(slots=1, max_waiting=0))
        self.load('story', 1)
        next(self.stream(max_tokens=1000).events())
        self.assertEqual(503, self.complete(request_id='r2').status)
        client.post(f'{self.url}/v1/cancel/r1', {})

    def test_higher_priority_goes_first(self):
        self.start(
            profile=batch.EngineProfile(slots=1, token_interval_s=0.002)
        )
        self.load('story', 1)
        next(self.stream(max_tokens=50).events())
        pending = [
            gevent.spawn(self.complete, request_id=f'p{n}', priority=n)
            for n in range(3)
        ]
        gevent.joinall(pending, timeout=WAIT_S)
        ends = [(run['end'], run['request_id']) for run in self.history()]
        order = [request_id for _end, request_id in sorted(ends)]
        self.assertEqual(['r1', 'p2', 'p1', 'p0'], order)

    def test_cached_prefix_is_reported(self):
        self.start(cache_blocks=2)
        self.load('story', 1)
        long = ' '.join(f'w{n}' for n in range(200))
        cached = [self.complete(prompt=long).json()['cached_tokens']]
        cached.append(self.complete(prompt=long).json()['cached_tokens'])
        # Three full blocks exceed a cache of two, so the first is evicted.
        self.assertEqual([0, 0], cached)
        short = ' '.join(f'w{n}' for n in range(130))
        self.complete(prompt=short)
        self.assertEqual(
            128, self.complete(prompt=short).json()['cached_tokens']
        )
        events = client.get(f'{self.url}/cache/events').json()['events']
        self.assertEqual(
            ['stored', 'stored', 'stored', 'evicted'],
            [event['act'] for event in events[:4]],
        )
        self.assertEqual(
            answers.prefixes_of(long), [e['prefix'] for e in events[:3]]
        )


class OrdersTest(EngineCase):
    def test_corrupt_weights_are_not_loaded(self):
        self.start()
        digest = self.source.publish('story')
        self.source.replacement = b'x' * 10_000
        self.assertEqual(202, self.order(digest).status)
        state = self.wait_loaded()
        self.assertEqual([], state['loaded'])
        self.assertIn('chunk 0 is corrupt', state['failures'][0])

    def test_weights_other_than_ordered_are_not_loaded(self):
        self.start()
        digest = self.source.publish('story', seed=1)
        other = self.source.publish('story', seed=2)
        source = f'{self.source_url}/weights/{other}'
        self.assertEqual(202, self.order(digest, source=source).status)
        self.assertEqual([], self.wait_loaded()['loaded'])

    def test_old_fence_is_refused_where_it_counts(self):
        digest = self.source.publish('story')
        self.start()
        self.assertEqual(202, self.order(digest, fence=15).status)
        refused = self.order(digest, fence=12)
        self.assertEqual(
            (409, {'fence': 15}), (refused.status, refused.json())
        )
        self.start(checks_fencing=False)
        self.assertEqual(202, self.order(digest, fence=15).status)
        self.assertEqual(202, self.order(digest, fence=12).status)

    def test_two_versions_side_by_side_as_memory_allows(self):
        self.start(memory_models=2)
        digests = [self.load('story', seed) for seed in (1, 2)]
        held = [item['digest'] for item in self.state()['loaded']]
        self.assertEqual(digests, held)
        for digest in digests:
            answer = self.complete(digest=digest).json()
            self.assertEqual(digest, answer['digest'])
        third = self.source.publish('story', seed=3)
        self.assertEqual(507, self.order(third).status)
        self.order(digests[0], order='unload')
        self.assertEqual(202, self.order(third).status)

    def test_unload_breaks_what_runs(self):
        self.start()
        digest = self.load('story', 1)
        running = self.stream(max_tokens=100_000)
        events = running.events()
        next(events)
        self.order(digest, order='unload')
        with self.assertRaises(client.NoResponse):
            for _event in events:
                pass
        self.assertEqual(['broken'], [run['how'] for run in self.history()])


class FaultsTest(EngineCase):
    def test_stream_breaks_off(self):
        self.start()
        self.load('story', 1)
        self.set_faults(break_after=2)
        seen = []
        with self.assertRaises(client.NoResponse):
            for event in self.stream(max_tokens=5).events():
                seen.append(event)
        self.assertEqual(2, len(seen))

    def test_wrong_digest_is_reported_and_used(self):
        self.start()
        digest = self.load('story', 1)
        self.set_faults(wrong_digest=1.0)
        answer = self.complete(max_tokens=4).json()
        self.assertNotEqual(digest, answer['digest'])
        self.assertEqual(
            answers.expected_text(answer['digest'], '', 'hello', 4),
            answer['text'],
        )

    def test_crash_word_ends_the_process(self):
        self.start()
        self.load('story', 1)
        self.set_faults(crash_word='poison')
        with mock.patch.object(
            os, '_exit', autospec=True, side_effect=serving.LostReply
        ) as ends:
            with self.assertRaises(client.NoResponse):
                self.complete(prompt='some poison here')
        ends.assert_called_once_with(engine.CRASH_STATUS)

    def test_unknown_fault_is_named(self):
        self.start()
        answer = client.post(f'{self.url}/faults', {'sloww': 2})
        self.assertEqual(400, answer.status)
        self.assertIn("'sloww'", answer.json()['error'])


class ServiceTest(unittest.TestCase):
    def test_answer_names_run_and_request(self):
        url = local.start(self, service.Service('proofs').handle)
        headers = {'Burdockchute-Request-Id': 'r7'}
        got = client.call('PUT', f'{url}/any/path', b'page', headers)
        expected = {
            'service': 'proofs',
            'request_id': 'r7',
            'run': 1,
            'echo': 'page',
        }
        self.assertEqual(expected, got.json())
        (run,) = client.get(f'{url}/history').json()
        self.assertEqual(('r7', 'finished'), (run['request_id'], run['how']))


class ProcessTest(unittest.TestCase):
    def test_each_stand_in_starts_and_ends(self):
        names = (
            'log_service',
            'weight_store',
            'instance_list',
            'engine',
            'service',
        )
        for name in names:
            with self.subTest(name):
                module = f'burdockchute_testing.standins.{name}'
                with subprocess.Popen(
                    [sys.executable, '-m', module, '--port', '0'],
                    stdout=subprocess.PIPE,
                    text=True,
                ) as process:
                    self.addCleanup(process.kill)
                    line = process.stdout.readline()
                    self.assertRegex(line, r'^ready port=\d+$')
                    port = line.strip().partition('=')[2]
                    client.get(f'http://127.0.0.1:{port}/')
                    process.send_signal(signal.SIGTERM)
                    self.assertEqual(0, process.wait(WAIT_S))


def _request(fields: dict) -> dict:
    return {
        'model': 'story',
        'prompt': 'hello',
        'max_tokens': 4,
        'request_id': 'r1',
        **fields,
    }
