"""What an agent reports to entries of its engine and of versions."""

from __future__ import annotations

import unittest
from unittest import mock

from burdockchute.decisions import versions
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.engines import EngineReport
from burdockchute.model.known_state import KnownState
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_agent.staged import reports_task


class FakeLink:
    def __init__(self) -> None:
        self.frames = []

    def send_frame(self, frame):
        self.frames.append(frame)


class FakeStaged:
    report = None
    opens = None
    not_verified = {}

    def unverified(self):
        return self.not_verified

    def loaded(self):
        return {'story': 1}

    def closes_in_s(self):
        return None

    def opens_in_s(self):
        return self.opens


class ReportsTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        clock = mock.patch.object(
            reports_task.time, 'monotonic', lambda: self.now
        )
        clock.start()
        self.addCleanup(clock.stop)
        # Frames are the messages themselves, so that tests can inspect them.
        frames = mock.patch.object(
            links, 'encode_frame', lambda message: message
        )
        frames.start()
        self.addCleanup(frames.stop)
        self.histories = {}
        self.requirements = None
        self.staged = FakeStaged()
        self.task = reports_task.ReportsTask(
            self.staged,
            lambda: 4,
            lambda: KnownState(
                histories=self.histories,
                reported_requirements=self.requirements,
            ),
            '127.0.0.1:1',
        )

    def name_version(self, version, at):
        history = self.histories.get('story', versions.History())
        history = versions.add_version(history, version, at)
        self.histories = {'story': history}

    def test_new_entry_receives_the_newest_configuration(self):
        """The store may return an older one, with a key revoked since."""
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.assertEqual(0, first.frames[-1].configuration)
        self.requirements = AgentRequirements(7, ('story',), 4, '10.0.0.8:80')
        self.task.opened(second)
        self.assertEqual(7, second.frames[-1].configuration)

    def test_all_entries_hear_of_a_new_configuration_once(self):
        """One that the store doesn't answer would act on an outdated one."""
        link = FakeLink()
        self.task.opened(link)
        for version in (7, 8):
            self.requirements = AgentRequirements(version, (), 4, '')
            for _time in range(4):
                self.now += 0.2
                self.task.report_changes(self.now)
        heard = [frame.configuration for frame in link.frames]
        self.assertEqual([7, 8], [version for version in heard if version])

    def test_crash_is_forwarded_to_the_other_entries(self):
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.task.opened(second)
        news = messages.CrashNews('f-1', 'i-1', True, True)
        self.task.forward(first, news)
        self.assertNotIn(news, first.frames)
        self.assertEqual(news, second.frames[-1])

    def test_report_of_a_slow_link_is_forwarded(self):
        """Entries have no links to each other."""
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.task.opened(second)
        news = messages.LinkNews('10.0.0.1:1', True)
        self.task.forward(first, news)
        self.assertNotIn(news, first.frames)
        self.assertEqual(news, second.frames[-1])

    def test_probe_is_returned_unchanged(self):
        """The entry identifies the probe by its time."""
        link = FakeLink()
        probe = messages.LinkProbe(12345678901)
        self.task.return_probe(link, probe)
        self.assertEqual([probe], link.frames)

    def test_new_link_receives_the_ages_of_versions(self):
        self.name_version(2, None)
        self.name_version(3, 97.5)
        link = FakeLink()
        self.task.opened(link)
        reported = [
            (item.model, item.version, item.age_ms)
            for item in link.frames[0].named
        ]
        self.assertEqual([('story', 3, 2500), ('story', 2, -1)], reported)

    def test_opening_time_is_reported_while_the_engine_is_closed(self):
        """Callers wait for an engine that copies; otherwise it isn't needed.

        A report goes to every entry several times a second, so fields without
        information are omitted.
        """
        self.assertIsNone(self.task.current_report().opens_in_ms)
        self.staged.opens = 3.1
        self.assertEqual(3000, self.task.current_report().opens_in_ms)

    def test_unverified_loads_are_reported_beside_verified_ones(self):
        """Entries that know a load as verified go on using it."""
        self.assertIsNone(self.task.current_report().unverified)
        self.staged.not_verified = {'poem': 7}
        report = self.task.current_report()
        self.assertEqual(['poem@7'], report.unverified)
        self.assertEqual(['story@1'], [s.digest for s in report.weights])

    def test_speed_and_memory_of_the_engine_are_reported_in_steps(self):
        """Each changed report goes to every entry over a narrow link."""
        usual = EngineReport({'story': 1}, False, 1, 0, 3, 900.0, 2e4, 1.0)
        self.staged.report = usual
        report = self.task.current_report()
        self.assertEqual((None, None), (report.slowness, report.memory_free))
        slow = usual._replace(slowness=2.53, memory_used=17_300.0)
        self.staged.report = slow
        report = self.task.current_report()
        self.assertEqual((2.5, 2000), (report.slowness, report.memory_free))
        self.staged.report = slow._replace(slowness=2.45, memory_used=17_900.0)
        self.assertEqual(report, self.task.current_report())

    def test_new_version_is_reported_once(self):
        link = FakeLink()
        self.task.opened(link)
        self.task.report_changes(self.now)
        self.name_version(2, 100.0)
        self.now += 0.2
        for _time in range(4):
            self.task.report_changes(self.now)
        news = [frame for frame in link.frames if frame.named]
        self.assertEqual(1, len(news))
        self.assertEqual(200, news[0].named[0].age_ms)


if __name__ == '__main__':
    unittest.main()
