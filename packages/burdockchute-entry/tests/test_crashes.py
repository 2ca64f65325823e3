"""A request that crashes upstreams, and the requests in flight beside it."""

from __future__ import annotations

import unittest

import gevent
from gevent import queue

from burdockchute.model.changes import MembersChanged
from burdockchute.model.crash_reports import CrashReport
from burdockchute.model.crash_reports import PeerCrashReport
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute_entry import crashes_task
from burdockchute_entry.crashes_task import CrashesTask
from burdockchute_testing.builders import requests
from burdockchute_testing.builders import routing
from burdockchute_testing.fakes.log import FakeLog

POISON = 'poison'


class Site:
    """Agents whose upstreams crash on the poison request and restart."""

    def __init__(self, names) -> None:
        self.bench = routing.RouterTestBench(requests.table_of())
        self.links = {n: self.bench.agent(n, slots=16) for n in names}
        self.crashes = 0
        self.taken: dict[str, int] = dict.fromkeys(names, 0)

    def step(self) -> None:
        """Let each agent run the requests sent to it since the last step."""
        for name, link in list(self.links.items()):
            sent = link.dispatched()[self.taken[name] :]
            self.taken[name] += len(sent)
            crashes = any(d.body == b'poison' for d in sent)
            self.crashes += crashes
            for dispatch in sent:
                if crashes:
                    self.bench.fail_request(link, dispatch.request_id, True)
                else:
                    self.bench.answer(link, dispatch.request_id)
        self.bench.now += 2.0
        for link in self.links.values():
            self.bench.report(link, slots=16)
        self.bench.router.tick()


def poison(**changes):
    return requests.request(
        body=b'poison', fingerprint=POISON, deadline=60.0, **changes
    )


def good(number):
    return requests.request(fingerprint=f'good{number}', deadline=60.0)


class CrashTest(unittest.TestCase):
    def test_bystanders_are_answered_and_the_poison_refused(self):
        # One prompt crashes each upstream that runs it. Requests in flight
        # beside it must still be answered; when sent again, the prompt must
        # not reach a third upstream.
        site = Site('abc')
        bystanders = [site.bench.submit(good(n)) for n in range(6)]
        bad = site.bench.submit(poison())
        bystanders += [site.bench.submit(good(n)) for n in range(6, 12)]
        for _ in range(20):
            site.step()
        for rid in bystanders:
            self.assertIsInstance(site.bench.outcome(rid), Answered)
        self.assertIsInstance(site.bench.outcome(bad), Unknown)
        self.assertEqual(2, site.crashes)
        again = site.bench.submit(poison())
        refused = site.bench.outcome(again)
        self.assertIsInstance(refused, NotRun)
        self.assertGreater(refused.retry_after_s, 60)
        self.assertTrue(site.bench.crashes[-1].convicted)

    def test_suspects_run_alone(self):
        # While a suspect runs, its instance gets no other requests, which a
        # crash would interrupt.
        site = Site('ab')
        site.bench.submit(poison())
        site.step()
        hosts = [
            link
            for link in site.links.values()
            for dispatch in link.dispatched()
            if dispatch.body == b'poison'
        ]
        self.assertEqual(2, len(hosts))
        before = len(hosts[1].dispatched())
        for number in range(4):
            site.bench.submit(good(number))
        self.assertEqual(before, len(hosts[1].dispatched()))

    def test_entries_reserve_different_instances_for_suspects(self):
        # Both entries had requests in flight in one crash. If they ran them
        # on one instance, a second crash would also convict an innocent
        # request.
        entries = tuple(
            Member(name, 'entry', '127.0.0.1', 1, Place('', '', ''))
            for name in ('e1', 'e2')
        )
        kept = []
        for entry in ('e1', 'e2'):
            bench = routing.RouterTestBench(requests.table_of(), name=entry)
            bench.router.handle(MembersChanged(entries))
            links = [bench.agent(name, slots=8) for name in 'abcdef']
            rid = bench.submit(good(1))
            first = next(link for link in links if link.dispatched())
            bench.fail_request(first, rid, crashed=True)
            kept.append(
                {link.peer.name for link in links if link.dispatched()}
                - {first.peer.name}
            )
        self.assertTrue(all(kept), kept)
        self.assertEqual(set(), kept[0] & kept[1])

    def test_other_entries_refuse_it_too(self):
        # The caller sends the request again, and the load balancer picks
        # another entry.
        bench = routing.RouterTestBench(requests.table_of())
        link = bench.agent('a')
        seen = CrashReport(POISON, 'x', True, True)
        bench.router.handle(PeerCrashReport(seen, 5.0))
        rid = bench.submit(poison())
        self.assertIsInstance(bench.outcome(rid), NotRun)
        self.assertEqual([], link.dispatched())

    def test_crashes_at_two_entries_add_up(self):
        # Each entry sees one crash. Non-idempotent requests are not run
        # again, so neither entry would ever see a second one.
        bench = routing.RouterTestBench(requests.table_of())
        link = bench.agent('a')
        bench.router.handle(
            PeerCrashReport(CrashReport(POISON, 'x', False, False), 5.0)
        )
        rid = bench.submit(poison())
        bench.fail_request(link, rid, crashed=True)
        self.assertEqual(1, len(link.dispatched()))
        bench.advance(2.0)
        bench.report(link)
        bench.fail_request(link, rid, crashed=True)
        self.assertIsInstance(bench.outcome(rid), Unknown)
        later = bench.submit(poison())
        self.assertIsInstance(bench.outcome(later), NotRun)


class CrashesTaskTest(unittest.TestCase):
    def start(self, log):
        learned: queue.Queue = queue.Queue()
        task = CrashesTask(log, learned.put, lambda: 0.0, lambda: 1000.0)
        for loop in (task.run, task.read_forever):
            self.addCleanup(gevent.spawn(loop).kill)
        return task, learned

    def test_other_entry_receives_a_crash_report(self):
        log = FakeLog()
        one, own = self.start(log)
        _two, learned = self.start(log)
        seen = CrashReport(POISON, 'a', False, False)
        one.inbox.put(seen)
        self.assertEqual(PeerCrashReport(seen, 0.0), learned.get(timeout=10))
        self.assertEqual(0, own.qsize())

    def test_own_and_unreadable_records_are_skipped(self):
        seen = CrashReport(POISON, 'a', False, False)
        text = crashes_task.encode(seen, 'me', 900.0)
        self.assertIsNone(crashes_task.decode(text, 'me', 1000.0))
        learned = crashes_task.decode(text, 'you', 1000.0)
        self.assertEqual(PeerCrashReport(seen, 100.0), learned)
        for data in ('', '[]', '{"v": 9}', '{"v": 1, "writer": "x"}'):
            self.assertIsNone(crashes_task.decode(data, 'you', 1000.0))
