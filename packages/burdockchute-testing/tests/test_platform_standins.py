"""The stand-ins for the platform, over real sockets."""

from __future__ import annotations

import unittest

import blake3

from burdockchute_testing import client
from burdockchute_testing import fake_weights
from burdockchute_testing.standins import instance_list
from burdockchute_testing.standins import local
from burdockchute_testing.standins import log_service
from burdockchute_testing.standins import weight_store


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class LogServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.log = log_service.LogService(clock=self.clock)
        self.url = local.start(self, self.log.handle)

    def append(self, data: str) -> client.Response:
        url = f'{self.url}/streams/table'
        return client.call('POST', url, data.encode())

    def read(self, start: int, wait_ms: int = 0) -> client.Response:
        query = f'from={start}&wait_ms={wait_ms}'
        return client.get(f'{self.url}/streams/table?{query}')

    def set_faults(self, **faults: object) -> None:
        answer = client.post(f'{self.url}/faults', faults)
        self.assertEqual(200, answer.status, answer.body)

    def test_offsets_rise_with_gaps(self):
        offsets = [self.append(str(n)).json()['offset'] for n in range(30)]
        self.assertEqual(sorted(set(offsets)), offsets)
        self.assertGreater(offsets[-1], 29)
        records = self.read(0).json()['records']
        self.assertEqual(
            [str(n) for n in range(30)], [r['data'] for r in records]
        )
        self.assertEqual(offsets, [r['offset'] for r in records])

    def test_read_waits_for_an_append(self):
        import gevent

        reading = gevent.spawn(self.read, 0, 5000)
        gevent.sleep(0.05)
        self.append('late')
        records = reading.get(timeout=5).json()['records']
        self.assertEqual(['late'], [r['data'] for r in records])

    def test_expired_records_are_gone(self):
        first = self.append('old').json()['offset']
        self.set_faults(retention_s=10)
        self.clock.now += 11
        second = self.append('new').json()['offset']
        self.assertEqual(410, self.read(first).status)
        earliest = self.read(first).json()['earliest']
        self.assertEqual({'earliest': first + 1}, {'earliest': earliest})
        records = self.read(earliest).json()['records']
        self.assertEqual([{'offset': second, 'data': 'new'}], records)

    def test_trim_moves_the_earliest_offset(self):
        offsets = [self.append(str(n)).json()['offset'] for n in range(5)]
        self.set_faults(trim={'stream': 'table', 'before': offsets[3]})
        where = client.get(f'{self.url}/streams/table/earliest').json()
        self.assertEqual(
            {'earliest': offsets[3], 'next': offsets[4] + 1}, where
        )

    def test_lost_reply_comes_after_the_effect(self):
        self.set_faults(lose_replies=1.0)
        with self.assertRaises(client.NoResponse):
            self.append('kept')
        self.set_faults()
        records = self.read(0).json()['records']
        self.assertEqual(['kept'], [r['data'] for r in records])

    def test_append_rate_is_limited(self):
        self.set_faults(appends_per_s=2)
        statuses = [self.append('x').status for _ in range(3)]
        self.assertEqual([200, 200, 429], statuses)

    def test_outage_refuses(self):
        self.set_faults(outage=True)
        self.assertEqual(503, self.append('x').status)
        self.assertEqual(503, self.read(0).status)


class WeightStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        store = weight_store.WeightStore()
        self.url = local.start(self, store.handle)
        document = {
            'name': 'story',
            'size': 100_000,
            'chunk_size': 30_000,
            'seed': 7,
        }
        answer = client.post(f'{self.url}/models', document)
        self.digest = answer.json()['digest']

    def chunk(self, start: int, stop: int) -> client.Response:
        return client.call(
            'GET',
            f'{self.url}/blobs/{self.digest}',
            headers={'Range': f'bytes={start}-{stop - 1}'},
        )

    def test_ranges_match_the_manifest(self):
        answer = client.get(f'{self.url}/manifests/{self.digest}')
        manifest = answer.json()
        self.assertEqual(self.digest, fake_weights.root_digest(manifest))
        size = manifest['size']
        step = manifest['chunk_size']
        got = [
            blake3.blake3(self.chunk(at, min(at + step, size)).body)
            for at in range(0, size, step)
        ]
        self.assertEqual(manifest['chunks'], [d.hexdigest() for d in got])
        stats = client.get(f'{self.url}/stats').json()
        self.assertEqual((size, 4), (stats['bytes_read'], stats['reads']))

    def test_corrupt_chunk_differs_in_one_byte(self):
        whole = self.chunk(0, 1000).body
        client.post(f'{self.url}/faults', {'corrupt': 1.0})
        corrupt = self.chunk(0, 1000).body
        pairs = zip(whole, corrupt, strict=True)
        self.assertEqual(1, sum(1 for a, b in pairs if a != b))

    def test_unknown_digest_is_not_found(self):
        answer = client.get(f'{self.url}/manifests/nothing')
        self.assertEqual(404, answer.status)


class InstanceListTest(unittest.TestCase):
    def test_changes_show_late(self):
        clock = Clock()
        listed = instance_list.InstanceList(lag_s=5, clock=clock)
        url = local.start(self, listed.handle) + '/instances'
        instance = {
            'name': 'a1',
            'role': 'agent',
            'address': '127.0.0.1',
            'port': 1,
            'zone': 'z',
            'region': 'r',
            'pool': 'p',
            'state': 'live',
        }
        client.post(url, instance)
        self.assertEqual({'instances': []}, client.get(url).json())
        clock.now += 5
        self.assertEqual({'instances': [instance]}, client.get(url).json())
        client.call('DELETE', f'{url}/a1')
        self.assertEqual({'instances': [instance]}, client.get(url).json())
        clock.now += 5
        self.assertEqual({'instances': []}, client.get(url).json())
