"""Transcripts of callers' sessions, compared with the files in golden/.

`BURDOCKCHUTE_WRITE_GOLDEN=1` regenerates the files; review the difference.
"""

from __future__ import annotations

import os
import pathlib
import time
import unittest

from burdockchute_testing import calls
from burdockchute_testing.sessions import Session
from burdockchute_testing.site import Site

GOLDEN = pathlib.Path(__file__).parent / 'golden'
WRITE_VARIABLE = 'BURDOCKCHUTE_WRITE_GOLDEN'
KEY = {'Authorization': 'Bearer key-of-lindwurm'}
COMPLETIONS = '/v1/completions'
PROOFS = '/v1/services/proofs/print'


class GoldenTest(unittest.TestCase):
    maxDiff = None
    site: Site

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = Site(engines=1, services=1)
        cls.addClassCleanup(cls.site.close)
        system = cls.site.system
        digest = system.publish('rhymes', 50_000, 65_536, 9)
        system.set_row(
            'adapter', 'rhymes', version='v1', digest=digest, base='story'
        )
        cls.names = {cls.site.digests['story']: 'story', digest: 'rhymes'}
        warm = calls.completion('warm', 'story', adapter='rhymes')
        cls.site.send_until_run('e1', warm)
        proof = calls.service(
            'warm',
            'proofs',
            idempotent=False,
            key=calls.new_key('warm', time.time()),
        )
        cls.site.send_until_run('e1', proof)

    def session(self, names: dict[str, str] | None = None) -> Session:
        url = self.site.system.url('e1', 'http_port')
        return Session(url, {**self.names, **(names or {})})

    def check(self, session: Session, name: str) -> None:
        path = GOLDEN / f'{name}.txt'
        if os.environ.get(WRITE_VARIABLE):
            path.write_text(session.text())
        self.assertMultiLineEqual(path.read_text(), session.text())

    def test_completions(self):
        session = self.session()
        body = {'model': 'story', 'prompt': 'A hare met a fox'}
        session.note('plain')
        session.exchange(COMPLETIONS, {**body, 'max_tokens': 3}, KEY)
        session.note('streamed')
        streamed = {**body, 'max_tokens': 2, 'stream': True}
        session.exchange(COMPLETIONS, streamed, KEY)
        session.note('streamed, with an adapter')
        session.exchange(COMPLETIONS, {**streamed, 'adapter': 'rhymes'}, KEY)
        self.check(session, 'completions')

    def test_refusals(self):
        session = self.session()
        body = {'model': 'story', 'prompt': 'A hare met a fox'}
        session.note('a key that nobody has')
        wrong = {'Authorization': 'Bearer nobody'}
        session.exchange(COMPLETIONS, body, wrong)
        session.note('a model that the table does not have')
        session.exchange(COMPLETIONS, {**body, 'model': 'stroy'}, KEY)
        session.note('two findings in one body')
        findings = {**body, 'prompt': 7, 'max_tokens': 0}
        session.exchange(COMPLETIONS, findings, KEY)
        session.note('a non-idempotent call without a key')
        session.exchange(PROOFS, 'page 7', KEY)
        session.note('a key in another form')
        headers = {**KEY, 'Idempotency-Key': 'page-7'}
        session.exchange(PROOFS, 'page 7', headers)
        self.check(session, 'refusals')

    def test_proof_sent_twice(self):
        issued = int(time.time())
        session = self.session({str(issued): 'issued'})
        headers = {**KEY, 'Idempotency-Key': f'{issued}-page-7'}
        session.note('a print proof')
        session.exchange(PROOFS, 'page 7', headers)
        session.note('the same again: the recorded answer, no second run')
        session.exchange(PROOFS, 'page 7', headers)
        session.note('another body under the same key')
        session.exchange(PROOFS, 'page 8', headers)
        session.note('a key that was issued long ago')
        old = {**KEY, 'Idempotency-Key': '1700000000-page-7'}
        session.exchange(PROOFS, 'page 7', old)
        self.check(session, 'proof-sent-twice')
