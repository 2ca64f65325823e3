"""What an entry tells the agents that it is linked to."""

from __future__ import annotations

import random
import types
import unittest

from burdockchute.decisions import versions
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute_entry.straight.agents_task import AgentsTask

OWN = Member('front-1', 'entry', '127.0.0.1', 0, Place('z', 'r', ''))


class FakeLink:
    """An open link that keeps what is sent on it."""

    def __init__(self, name) -> None:
        self.peer = types.SimpleNamespace(
            name=name, zone='z', region='r', incarnation='1'
        )
        self.sent = []

    def send(self, message):
        self.sent.append(
            [(i.model, i.version, i.age_ms >= 0) for i in message.named]
        )


class AgentsTaskTest(unittest.TestCase):
    """An agent reads the wishes seldom, and has to know of versions soon."""

    def setUp(self):
        self.task = AgentsTask(
            OWN,
            lambda: None,
            1,
            lambda address, report: None,
            random.Random(1),
        )

    def believe(self, *named):
        history = versions.History()
        for version, at in named:
            history = versions.name(history, version, at)
        histories = {'story': history} if named else {}
        self.task._take(Beliefs(histories=histories))

    def opened(self, name):
        link = FakeLink(name)
        self.task._take(links.Opened(link))
        return link

    def test_a_new_link_is_told_what_is_known(self):
        self.believe((2, None), (3, 1.0))
        link = self.opened('10.0.0.1:1')
        self.assertEqual(
            [[('story', 3, True), ('story', 2, False)]], link.sent
        )

    def test_a_naming_is_told_once_to_each_link(self):
        first, second = self.opened('10.0.0.1:1'), self.opened('10.0.0.2:1')
        self.believe((2, 5.0))
        self.believe((2, 5.0))
        for link in (first, second):
            self.assertEqual([[], [('story', 2, True)]], link.sent)


if __name__ == '__main__':
    unittest.main()
