"""A version is served only if its load is known to have been right."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute_testing.builders.staged_loads import AgentKilled
from burdockchute_testing.builders.staged_loads import chunk
from burdockchute_testing.builders.staged_loads import CHUNKS
from burdockchute_testing.builders.staged_loads import MODEL
from burdockchute_testing.builders.staged_loads import SimulatedAgent
from burdockchute_testing.builders.staged_loads import SimulatedEngine

CALLS = 30
# What happens at one call of the agent to its engine.
EVENTS = st.lists(
    st.sampled_from(
        ['suspend', 'wait', 'corrupt', 'late', 'act late', 'lost', 'crash']
        + ['power', 'kill', 'finish']
    ),
    min_size=1,
    max_size=2,
)
STEPS = st.sampled_from(
    ['work', 'work', 'work', 'work', 'name', 'poll', 'step', 'jobs']
    + ['corrupt', 'finish', 'act late', 'wait', 'kill']
)


def at_call(name, count, act):
    """Return what happens at calls: `act` at one of that name, once."""
    seen = [0]

    def on_call(called):
        seen[0] += called == name
        if called == name and seen[0] == count:
            return act() or ''
        return ''

    return on_call


class VerifiedLoadsTest(unittest.TestCase):
    def setUp(self):
        self.engine = SimulatedEngine()
        self.agent = SimulatedAgent(self.engine, 2)

    def suspend(self):
        self.engine.corrupt(1)
        self.engine.now += 3.6

    def lose_power(self):
        self.engine.restart(with_power_loss=True)

    def test_complete_copies_are_served_one_after_the_other(self):
        for version in (2, 3, 4):
            self.agent.name(version)
            self.agent.copies.newest_complete = version
            self.agent.work()
            self.assertEqual({MODEL: version}, self.agent.task.loaded())
        self.engine.restart()
        self.agent.work()
        self.assertEqual({MODEL: 4}, self.agent.task.loaded())

    def test_load_of_chunks_that_changed_after_the_check_is_not_served(self):
        """A chunk changes between the check and the acceptance of the order.

        Answers of an engine that loaded it look valid but are worthless.
        """
        cases = (
            ('agent suspended before the order', 'load', 1, self.suspend),
            ('engine suspended with the order', 'load', 1, self.suspend_late),
            ('engine lost power', 'load', 1, self.lose_power),
            ('late write of another version', 'load', 1, self.write_late),
        )
        for title, name, count, act in cases:
            with self.subTest(title):
                self.setUp()
                self.engine.on_call = at_call(name, count, act)
                self.agent.work()
                self.engine.execute_late()
                self.agent.work(2)
                self.assertFalse(self.agent.serves_wrong_load())
                # The next version is loaded and served again.
                self.engine.on_call = lambda name: ''
                self.engine.now += 20.0
                self.agent.name(3)
                self.agent.copies.newest_complete = 3
                self.agent.work(10)
                self.assertEqual({MODEL: 3}, self.agent.task.loaded())

    def suspend_late(self):
        self.suspend()
        return 'late'

    def write_late(self):
        self.engine.stage(MODEL, 2, b'003002')

    def test_order_without_an_answer_that_was_accepted_is_served(self):
        """All chunks are valid after it, and none was written since."""
        self.engine.on_call = at_call('load', 1, lambda: 'late')
        self.agent.work(2)
        self.engine.execute_late()
        self.agent.work()
        self.assertEqual({MODEL: 2}, self.agent.task.loaded())

    def test_nothing_is_staged_while_an_order_may_be_executed(self):
        """A newer version would be mixed into what the order loads."""
        self.engine.on_call = at_call('load', 1, lambda: 'late')
        self.agent.work(2)
        self.agent.name(3)
        self.agent.copies.newest_complete = 3
        self.agent.work(2)
        self.assertEqual(b'002000', self.engine.staged_chunks[0])
        self.engine.execute_late()
        self.agent.work()
        self.assertEqual(set(), self.engine.wrong_loads)
        self.assertEqual({MODEL: 3}, self.agent.task.loaded())

    def test_order_of_an_earlier_agent_is_verified_or_not_served(self):
        """It was accepted after that agent had been killed."""
        for corrupted, served in (((), {MODEL: 2}), ((1,), {})):
            with self.subTest(corrupted=corrupted):
                self.setUp()
                self.engine.on_call = at_call('load', 1, lambda: 'late')
                self.agent.work(2)
                for index in corrupted:
                    self.engine.corrupt(index)
                    self.engine.now += 3.1
                self.engine.execute_late()
                self.agent = SimulatedAgent(self.engine, 2)
                self.agent.work()
                self.assertEqual(served, self.agent.task.loaded())

    def test_order_that_came_after_another_one_verifies_nothing(self):
        """The engine had accepted an earlier order of another version.

        The chunks of the version that was ordered then are valid, but they
        weren't loaded: a later load of that version has to be read again.
        """
        for answer in ('refused', 'lost'):
            with self.subTest(answer):
                self.setUp()
                self.engine.on_call = at_call('load', 1, lambda: 'late')
                self.agent.work(2)
                self.agent = SimulatedAgent(self.engine, 3)

                def accept_earlier(answer=answer):
                    self.engine.execute_late()
                    return answer

                self.engine.on_call = at_call('load', 1, accept_earlier)
                self.run_rounds(2)
                self.assertEqual(2, self.engine.loading)
                self.run_rounds(1)
                self.engine.finish_load()
                self.engine.now += 6.0
                # The agent is suspended before the next order, and reads no
                # report while the engine loads.
                self.engine.on_call = at_call('load', 1, self.suspend)
                while self.engine.sequence < 2:
                    self.run_rounds(1)
                self.engine.finish_load()
                self.agent.poll()
                self.assertEqual({MODEL: 3}, self.engine.versions)
                self.assertEqual({}, self.agent.task.loaded())

    def run_rounds(self, rounds):
        """Poll, step and run jobs; the engine's load goes on."""
        for _round in range(rounds):
            self.agent.poll()
            self.agent.step()
            self.agent.run_jobs()
            self.engine.now += 0.1

    def test_order_waits_for_delayed_writes_of_another_version(self):
        """Writes without an answer are executed around the acceptance.

        The first makes the load wrong, and the second hides that from the
        read after it.
        """
        stage = self.agent.task._engine.stage
        self.engine.on_call = lambda name: 'late'
        for version in (2, 3):
            stage(MODEL, 0, chunk(version, 0))
        writes, self.engine.late = self.engine.late, []

        def execute_next_write(name):
            if name == 'load' or len(writes) == 1:
                self.engine.late = writes[:1]
                del writes[:1]
                self.engine.execute_late()
            return ''

        self.engine.on_call = execute_next_write
        self.agent.name(3)
        self.agent.copies.newest_complete = 3
        for number in range(60):
            self.agent.work(1)
            self.assertFalse(self.agent.serves_wrong_load(), number)
        self.assertEqual({MODEL: 3}, self.agent.task.loaded())

    def test_order_does_not_wait_for_delayed_writes_of_its_version(self):
        """They write what is staged already."""
        self.engine.on_call = lambda name: 'late'
        self.agent.task._engine.stage(MODEL, 0, chunk(2, 0))
        self.engine.on_call = lambda name: ''
        self.agent.work(3)
        self.engine.execute_late()
        self.agent.work(1)
        self.assertEqual({MODEL: 2}, self.agent.task.loaded())

    def test_sound_load_is_served_though_a_chunk_is_corrupt_since(self):
        """The chunk became corrupt between the acceptance and the next read.

        The engine would be out of use until the next version is named.
        """
        cases = (
            ('in time', 20.0, 1, {MODEL: 2}),
            ('an earlier agent may have written', 0.0, 1, {}),
            ('a power loss may have gone unnoticed', 20.0, None, {}),
        )
        for title, wait_s, started_ms, served in cases:
            with self.subTest(title):
                self.setUp()
                self.engine.started_ms = started_ms
                self.agent.poll()
                self.engine.now += wait_s
                self.run_rounds(2)
                self.assertEqual(2, self.engine.loading)
                self.engine.corrupt(1)
                self.engine.now += 3.6
                self.agent.work()
                self.assertEqual(served, self.agent.task.loaded())

    def test_unverified_load_is_not_expected_to_open(self):
        """Its copy is complete, but no order can load it again.

        Callers would wait for an engine that opens with the next version.
        """
        self.engine.on_call = at_call('load', 1, self.suspend)
        self.agent.work(10)
        self.assertEqual({MODEL: 2}, self.agent.task.unverified())
        self.assertIsNone(self.agent.opens_in_s())
        self.agent.name(3)
        self.agent.copies.newest_complete = 3
        self.agent.step()
        self.assertIsNotNone(self.agent.opens_in_s())

    def test_agent_that_starts_writes_nothing_an_earlier_order_may_load(self):
        """It would repair a chunk that was corrupt at the acceptance.

        The next agent would find valid chunks, and know of no write.
        """
        self.engine.on_call = at_call('load', 1, lambda: 'late')
        self.agent.work(2)
        self.engine.corrupt(1)
        self.engine.now += 3.2
        self.engine.on_call = at_call('stage', 1, self.engine.execute_late)
        for rounds in (40, 6):
            self.agent = SimulatedAgent(self.engine, 2, is_first=False)
            for number in range(rounds):
                self.agent.work(1)
                self.assertFalse(self.agent.serves_wrong_load(), number)
        self.assertEqual({MODEL: 2}, self.agent.task.loaded())

    def test_load_beneath_the_next_version_is_reported_as_unverified(self):
        """An agent starts when the staging area has another version already.

        Entries that knew the load as verified would lose the engine.
        """
        self.agent.work()
        self.engine.staged_chunks[0] = b'003000'
        self.agent = SimulatedAgent(self.engine, 2)
        self.agent.work(1)
        self.assertEqual({MODEL: 2}, self.agent.task.unverified())
        self.agent.work()
        self.assertEqual({MODEL: 2}, self.agent.task.unverified())
        self.assertEqual({}, self.agent.task.loaded())

    @settings(max_examples=400)
    @given(
        st.lists(STEPS, max_size=25),
        st.dictionaries(st.integers(1, CALLS), EVENTS, max_size=6),
    )
    def test_no_wrong_load_is_served(self, steps, events):
        """Suspended, killed or restarted at any call, with late calls."""
        self.setUp()
        calls = itertools.count(1)

        def on_call(name):
            outcome = ''
            for event in events.get(next(calls), ()):
                self.happen(event)
                if event in ('late', 'lost'):
                    outcome = event
            return outcome

        self.engine.on_call = on_call
        for number, step in enumerate(steps):
            try:
                self.take(step)
            except AgentKilled:
                # Writes of a killed agent are not executed in this model.
                self.engine.late = []
                self.replace_agent()
            self.assertFalse(self.agent.serves_wrong_load(), number)

    def take(self, step):
        agent = self.agent
        actions = {
            'work': lambda: agent.work(1),
            'poll': agent.poll,
            'step': agent.step,
            'jobs': agent.run_jobs,
            'name': self.name_next,
        }
        if step in actions:
            actions[step]()
        else:
            self.happen(step)

    def name_next(self):
        version = self.agent.copies.newest_complete + 1
        self.agent.name(version)
        self.agent.copies.newest_complete = version

    def replace_agent(self):
        newest = self.agent.copies.newest_complete
        self.agent = SimulatedAgent(self.engine, newest, is_first=False)

    def happen(self, event):
        engine = self.engine
        if event == 'kill':
            raise AgentKilled
        if event == 'wait':
            engine.now += 3.6
        elif event == 'suspend':
            self.suspend()
        elif event == 'corrupt':
            engine.corrupt(int(engine.now * 100) % CHUNKS)
        elif event == 'crash':
            engine.restart()
        elif event == 'power':
            engine.restart(with_power_loss=True)
        elif event == 'act late':
            engine.execute_late()
        elif event == 'finish':
            engine.finish_load()


if __name__ == '__main__':
    unittest.main()
