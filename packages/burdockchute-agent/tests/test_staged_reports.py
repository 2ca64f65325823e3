"""What an agent tells entries of its engine and of versions."""

from __future__ import annotations

import unittest
from unittest import mock

from burdockchute.decisions import versions
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.needs import Needs
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
        # What is sent is looked at as the message that it was.
        frames = mock.patch.object(links, 'frame_of', lambda message: message)
        frames.start()
        self.addCleanup(frames.stop)
        self.histories = {}
        self.told = None
        self.staged = FakeStaged()
        self.task = reports_task.ReportsTask(
            self.staged,
            lambda: 4,
            lambda: Beliefs(histories=self.histories, told=self.told),
            '127.0.0.1:1',
        )

    def named(self, version, at):
        history = self.histories.get('story', versions.History())
        history = versions.add_version(history, version, at)
        self.histories = {'story': history}

    def test_a_new_entry_is_told_of_the_newest_configuration(self):
        """The store may show it an older one, with a key revoked since."""
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.assertEqual(0, first.frames[-1].configuration)
        self.told = Needs(7, ('story',), 4, '10.0.0.8:80')
        self.task.opened(second)
        self.assertEqual(7, second.frames[-1].configuration)

    def test_a_crash_is_handed_on_to_the_other_entries(self):
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.task.opened(second)
        news = messages.CrashNews('f-1', 'i-1', True, True)
        self.task.hand_on(first, news)
        self.assertNotIn(news, first.frames)
        self.assertEqual(news, second.frames[-1])

    def test_news_of_a_slow_link_is_handed_on(self):
        """Entries have no links to each other."""
        first, second = FakeLink(), FakeLink()
        self.task.opened(first)
        self.task.opened(second)
        news = messages.LinkNews('10.0.0.1:1', True)
        self.task.hand_on(first, news)
        self.assertNotIn(news, first.frames)
        self.assertEqual(news, second.frames[-1])

    def test_a_probe_is_returned_as_it_came(self):
        """The entry knows it by its time."""
        link = FakeLink()
        probe = messages.LinkProbe(12345678901)
        self.task.give_back(link, probe)
        self.assertEqual([probe], link.frames)

    def test_a_new_link_hears_how_long_versions_are_known(self):
        self.named(2, None)
        self.named(3, 97.5)
        link = FakeLink()
        self.task.opened(link)
        told = [
            (item.model, item.version, item.age_ms)
            for item in link.frames[0].named
        ]
        self.assertEqual([('story', 3, 2500), ('story', 2, -1)], told)

    def test_when_an_engine_opens_is_told_while_it_is_closed(self):
        """Callers wait for engines that copy; in quiet nobody asks.

        A report goes to every entry some times a second, so what says
        nothing is left out of it.
        """
        self.assertIsNone(self.task.current().opens_in_ms)
        self.staged.opens = 3.1
        self.assertEqual(3000, self.task.current().opens_in_ms)

    def test_a_naming_is_told_once(self):
        link = FakeLink()
        self.task.opened(link)
        self.task.tell(self.now)
        self.named(2, 100.0)
        self.now += 0.2
        for _time in range(4):
            self.task.tell(self.now)
        news = [frame for frame in link.frames if frame.named]
        self.assertEqual(1, len(news))
        self.assertEqual(200, news[0].named[0].age_ms)


if __name__ == '__main__':
    unittest.main()
