"""A real agent process with a stand-in upstream and a fake entry."""

from __future__ import annotations

import json
import os
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

import gevent

from burdockchute import tasks
from burdockchute.model import rows
from burdockchute.wire import messages
from burdockchute_testing import answers
from burdockchute_testing import harness
from burdockchute_testing.fakes.entry import FakeEntry

PROMPT = 'a hare met a fox'

# Many times the network delay between two regions.
IN_TRANSIT_S = 0.2

# A task fails once the file exists that the variable names.
FAILING_TASK = """
import os
import sys
from burdockchute_agent import main
import gevent
from burdockchute_agent import app

def fail():
    while not os.path.exists(os.environ['FAIL']):
        gevent.sleep(0.02)
    raise ValueError('no such record')

loops = app.App._loops
app.App._loops = lambda self: [*loops(self), fail]
sys.exit(main.main())
"""


class AgentCase(unittest.TestCase):
    def setUp(self) -> None:
        self.system = harness.System()
        self.addCleanup(self.system.close)
        self.system.add_platform()

    def start_engine(self, **options: object) -> None:
        self.system.add_engine('m1', **options)
        self.system.add_agent('a1', 'm1', drain_s=20)
        self.entry = self.dial('e1')

    def dial(self, name: str) -> FakeEntry:
        port = self.system['a1'].ports['link_port']
        entry = FakeEntry(harness.ADDRESS, port, name)
        self.addCleanup(entry.close)
        return entry

    def open_model(self, seed: int = 1) -> str:
        digest = self.system.publish('story', 200_000, 65_536, seed)
        self.entry.send_rows(rows.ModelRow('story', f'v{seed}', digest))
        self.entry.send_members([])
        harness.wait_until(
            lambda: digest in self.system.open_digests('a1'), 'gate opens'
        )
        return digest

    def send(self, request_id: str, digest: str, tokens: int = 5) -> None:
        document = {
            'model': 'story',
            'prompt': PROMPT,
            'max_tokens': tokens,
            'stream': True,
        }
        self.entry.dispatch(request_id, digest=digest, document=document)

    def text_and_end(self, request_id: str) -> tuple[str, object]:
        *parts, end = self.entry.messages_of(request_id)
        documents = [json.loads(part.data) for part in parts]
        return ''.join(d.get('text', '') for d in documents), end


class AgentProcessTest(AgentCase):
    def test_stream_is_complete(self):
        # Engines report fractional rates. An integer field of the load report
        # once rejected them, and the reports stopped for good.
        self.start_engine(prefill_tokens_per_s=1234.5)
        digest = self.open_model()
        self.send('r1', digest)
        text, end = self.text_and_end('r1')
        self.assertEqual(answers.expected_text(digest, '', PROMPT, 5), text)
        self.assertEqual(('', digest, 6), (end.error, end.digest, end.parts))

    def test_graceful_end_finishes_a_stream(self):
        # An instance is replaced while it streams an answer, which must not
        # be cut off.
        self.start_engine(token_interval_s=0.02)
        digest = self.open_model()
        self.send('r1', digest, tokens=50)
        stream = self.entry.messages_of('r1')
        first = next(stream)
        self.system['a1'].terminate()
        *parts, end = [first, *stream]
        self.assertEqual(('', 51), (end.error, len(parts)))
        self.assertEqual(0, self.system['a1'].wait())

    def test_a_failed_task_does_not_cut_a_stream_off(self):
        """A task of an agent fails while it streams an answer.

        It exited at once, and the entry could not know how the request ended.
        """
        folder = tempfile.TemporaryDirectory(prefix='burdockchute-')
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, 'fail')
        program = pathlib.Path(folder.name, 'agent')
        program.write_text(f'#!{sys.executable}\n' + FAILING_TASK)
        program.chmod(0o700)
        os.environ['FAIL'] = str(path)
        self.addCleanup(os.environ.pop, 'FAIL')
        with mock.patch.object(harness, '_binary', lambda _name: str(program)):
            self.start_engine(token_interval_s=0.02)
        digest = self.open_model()
        self.send('r1', digest, tokens=50)
        stream = self.entry.messages_of('r1')
        first = next(stream)
        path.touch()
        *parts, end = [first, *stream]
        self.assertEqual(('', 51), (end.error, len(parts)))
        agent = self.system['a1']
        agent.expected_status = tasks.EXIT_TASK_FAILED
        self.assertEqual(tasks.EXIT_TASK_FAILED, agent.wait())

    def test_dispatch_during_the_shutdown_report_is_refused(self):
        # An entry dispatches a request just as the agent starts to shut down.
        # If the agent closed its links at once, it would not be known whether
        # the request ran, and a print proof would get the outcome unknown.
        self.start_engine()
        digest = self.open_model()
        self.system['a1'].terminate()
        self.entry.wait_shutdown_report()
        gevent.sleep(IN_TRANSIT_S)
        self.send('r1', digest)
        (refusal,) = self.entry.messages_of('r1')
        self.assertEqual(
            (messages.NotRun, 'leaving'), (type(refusal), refusal.reason)
        )
        self.assertEqual(0, self.system['a1'].wait())

    def test_cancel_right_after_dispatch_leaves_nothing_behind(self):
        # A caller cancels just as its request is dispatched. An agent that
        # still counted the request would wait for it on shutdown.
        self.start_engine()
        digest = self.open_model()
        self.send('r1', digest)
        self.entry.link.send(messages.Cancel('r1'))
        self.send('r2', digest)
        self.text_and_end('r2')
        self.assertEqual(0, self.system.status('a1')['running'])

    def test_cancelled_request_leaves_the_engine(self):
        # A caller closes its page in the middle of a long answer. Otherwise
        # the engine would go on while other requests wait for the slot.
        self.start_engine(slots=1, token_interval_s=0.02)
        digest = self.open_model()
        self.send('r1', digest, tokens=1000)
        next(self.entry.messages_of('r1'))
        self.entry.link.send(messages.Cancel('r1'))
        harness.wait_until(
            lambda: (
                [run['how'] for run in self.system.runs()] == ['cancelled']
            ),
            'the engine cancels',
            timeout_s=4.0,
        )

    def test_engine_crash_is_reported_as_such(self):
        # A prompt crashes the engine. Unless the agent reports the crash, the
        # request is sent to the next engine, and so on to all of them.
        self.start_engine()
        digest = self.open_model()
        self.system.set_faults('m1', crash_word='hare')
        self.send('r1', digest)
        _text, end = self.text_and_end('r1')
        self.assertTrue(end.crashed, end)
        self.assertNotEqual('', end.error)

    def test_answer_of_other_weights_is_not_passed_on(self):
        # The engine answers from other weights than it reported, as after a
        # late order of an agent that was believed dead.
        self.start_engine()
        digest = self.open_model()
        self.system.set_faults('m1', wrong_digest=1.0)
        self.send('r1', digest)
        text, end = self.text_and_end('r1')
        self.assertEqual('', text)
        self.assertIn('answer is from weights', end.error)

    def test_stalled_stream_ends(self):
        # The engine stalls in the middle of a request. Otherwise the caller
        # would wait, and the slot be in use, until the deadline.
        self.system.add_engine('m1')
        self.system.add_agent('a1', 'm1', stall_s=1)
        self.entry = self.dial('e1')
        digest = self.open_model()
        self.system.set_faults('m1', stall_after=2)
        self.send('r1', digest)
        _text, end = self.text_and_end('r1')
        self.assertNotEqual('', end.error)
        self.assertFalse(end.crashed)
