"""Claims of two entries through the log."""

from __future__ import annotations

import time
from types import SimpleNamespace
import unittest
from unittest import mock

import gevent
from gevent import queue
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute import wire
from burdockchute.decisions import claims as protocol
from burdockchute.decisions import hosting
from burdockchute.model import claims
from burdockchute.model.changes import MembersChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import Unknown
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry import claim_collector
from burdockchute_entry import claims_task
from burdockchute_entry.claims_task import ClaimsTask
from burdockchute_testing.builders import requests
from burdockchute_testing.builders.messages import any_message
from burdockchute_testing.builders.messages import encoded
from burdockchute_testing.fakes.log import FakeLog

MESSAGES = st.sampled_from(
    [messages.ClaimRequest, messages.ClaimReply]
).flatmap(
    lambda kind: any_message(
        kind,
        st.sampled_from(
            ['', 'claim', 'finish', '1-k', 'r/claim', 'recorded', 'won', '{}']
        ),
    )
)
CLOCKS = claim_collector.Clocks(time.monotonic, time.time)
ANSWER = Answered(200, 'application/json', b'{"posted": 1}', '', '')
NAMES = ('one', 'two')


def member(name):
    return Member(name, 'entry', '127.0.0.1', 1, Place('', '', ''))


class ClaimsTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        for name, value in (
            ('CLAIM_TIMEOUT_S', 0.5),
            ('RESEND_S', 0.2),
            ('TICK_S', 0.02),
        ):
            patch = mock.patch.object(claims_task, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        patch = mock.patch.object(claim_collector, 'LOST_REPLY_WAIT_S', 0.1)
        patch.start()
        self.addCleanup(patch.stop)
        self.log = FakeLog()
        self.cut = False
        self.tasks = {name: self.start(name) for name in NAMES}
        self.key = f'{int(time.time())}-letter'

    def start(self, name):
        task = ClaimsTask(
            name,
            self.log,
            lambda to, message: self.carry(name, to, message),
            CLOCKS,
        )
        task.handle(MembersChanged(tuple(member(n) for n in NAMES)))
        greenlet = gevent.spawn(task.run)
        self.addCleanup(task.stop)
        self.addCleanup(greenlet.kill)
        return task

    def carry(self, sender, receiver, message):
        if not self.cut:
            link = SimpleNamespace(peer=SimpleNamespace(name=sender))
            self.tasks[receiver].inbox.put(links.Received(link, message))

    def request(self, **changes):
        return requests.request(
            idempotent=False, idempotency_key=self.key, **changes
        )

    def claim(self, name, ctx):
        replies: queue.Queue = queue.Queue()
        self.tasks[name].inbox.put(
            claims.ClaimRequested(ctx, ctx.request_id, replies)
        )
        return replies

    @settings(max_examples=200, deadline=None)
    @given(MESSAGES)
    def test_no_message_of_an_entry_ends_the_task(self, message):
        """An outcome that is no text ended the task that holds claims."""
        name = NAMES[0]
        task = self.tasks[name]
        pending = self.claim(name, self.request(request_id='r'))
        gevent.sleep(0)
        link = SimpleNamespace(peer=SimpleNamespace(name=NAMES[1]))
        task.handle(links.Received(link, wire.decode(encoded(message))))
        while not pending.empty():
            pending.get()

    def check_won(self, name):
        ctx = self.request()
        verdict = self.verdict(name, ctx)
        self.assertEqual(claims.Won(ctx.request_id), verdict)
        return ctx

    def verdict(self, name, ctx):
        return self.claim(name, ctx).get(timeout=10).verdict

    def settle(self):
        with gevent.Timeout(10):
            while not all(task.settled() for task in self.tasks.values()):
                gevent.sleep(0.01)

    def test_one_of_two_entries_wins(self):
        # A client resends a request while the first entry still handles it,
        # and the load balancer picks the other entry.
        pending = [self.claim(name, self.request()) for name in NAMES]
        verdicts = [replies.get(timeout=10).verdict for replies in pending]
        kinds = sorted(type(verdict).__name__ for verdict in verdicts)
        self.assertEqual(['Held', 'Won'], kinds)

    def test_resend_to_the_other_entry_gets_the_recorded_answer(self):
        first = self.check_won('one')
        self.tasks['one'].handle(
            claims.ClaimFinished(first, first.request_id, ANSWER)
        )
        self.settle()
        self.assertEqual(
            claims.Recorded(ANSWER), self.verdict('two', self.request())
        )
        other = self.request(fingerprint='other')
        self.assertEqual(claims.OtherBody(), self.verdict('two', other))

    def test_entry_that_does_not_answer_is_excluded(self):
        # An entry dies and the instance list still shows it. The other entry
        # sent it the claims of half of all keys, and refused these requests
        # until the list was up to date.
        keys = [f'{int(time.time())}-{n}' for n in range(20)]
        for key in keys:
            stream = protocol.stream_of(protocol.ClaimKey('lindwurm', key))
            if hosting.ranked(stream, sorted(NAMES))[0] == 'two':
                self.key = key
                break
        self.cut = True
        first = self.verdict('one', self.request())
        self.assertIsInstance(first, claims.Unavailable)
        self.check_won('one')

    def test_released_key_can_be_used_again(self):
        first = self.check_won('one')
        self.tasks['one'].handle(claims.ClaimReleased(first, first.request_id))
        self.settle()
        self.check_won('two')

    def test_log_that_is_down_refuses_at_once(self):
        self.log.down = True
        verdict = self.verdict('one', self.request())
        self.assertIsInstance(verdict, claims.Unavailable)
        self.assertGreater(verdict.retry_after_s, 0)
        # The release is appended once the log is available again, so that
        # the caller can use the key again.
        self.log.down = False
        self.settle()
        self.check_won('two')

    def test_append_that_took_effect_without_reply_is_found(self):
        self.log.lose_replies = 1
        self.check_won('one')

    def test_append_without_effect_and_reply_is_refused(self):
        self.log.lose_appends = 1
        verdict = self.verdict('one', self.request())
        self.assertIsInstance(verdict, claims.Unavailable)
        self.settle()
        self.check_won('two')

    def test_collector_that_can_not_be_reached(self):
        # The entry that collects this key's stream is unreachable. The
        # request is refused as not run, and the key is free again later.
        ranked = protocol.stream_of(protocol.ClaimKey('lindwurm', self.key))
        collecting = claims_task.hosting.ranked(ranked, NAMES)[0]
        other = next(name for name in NAMES if name != collecting)
        self.cut = True
        verdict = self.verdict(other, self.request())
        self.assertIsInstance(verdict, claims.Unavailable)
        self.cut = False
        self.settle()
        self.check_won(other)

    def test_both_entries_collect_the_stream(self):
        # Each entry sees only itself in an outdated instance list.
        for name in NAMES:
            self.tasks[name].inbox.put(MembersChanged((member(name),)))
        pending = [
            self.claim(name, self.request()) for name in NAMES for _ in 'ab'
        ]
        verdicts = [replies.get(timeout=10).verdict for replies in pending]
        won = [v for v in verdicts if isinstance(v, claims.Won)]
        self.assertEqual(1, len(won))

    def test_successor_reads_what_its_predecessor_has_written(self):
        first = self.check_won('one')
        self.tasks['one'].handle(
            claims.ClaimFinished(
                first, first.request_id, Unknown('upstream lost', 502)
            )
        )
        self.settle()
        fresh = self.start('three')
        fresh.inbox.put(MembersChanged((member('three'),)))
        self.tasks['three'] = fresh
        self.assertEqual(
            claims.Recorded(Unknown('upstream lost', 409)),
            self.verdict('three', self.request()),
        )

    def test_key_outside_its_window_is_refused(self):
        for issued in (time.time() - 1000, time.time() + 100):
            self.key = f'{int(issued)}-letter'
            verdict = self.verdict('one', self.request())
            self.assertIsInstance(verdict, claims.OutsideWindow)
        self.assertEqual(0, self.log.appends)

    def test_many_claims_share_an_append(self):
        pending = []
        for number in range(300):
            self.key = f'{int(time.time())}-{number}'
            pending.append(self.claim('one', self.request()))
        for replies in pending:
            verdict = replies.get(timeout=10).verdict
            self.assertIsInstance(verdict, claims.Won)
        self.assertLess(self.log.appends, 100)
