"""Tests of the claim protocol: a key runs at most once."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from burdockchute.decisions import claims
from burdockchute.decisions.claims import Act
from burdockchute.decisions.claims import ClaimKey
from burdockchute.decisions.claims import ClaimTable
from burdockchute.model.claims import Held
from burdockchute.model.claims import OtherBody
from burdockchute.model.claims import OutsideWindow
from burdockchute.model.claims import Recorded
from burdockchute.model.claims import Won
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import Unknown

KEY = ClaimKey('sahyog', '1000-letter')
ANSWER = Answered(200, 'application/json', b'{"posted": 1}', '', '')


def act(name, attempt_id, digest='f', outcome='', key=KEY):
    return Act(name, key, attempt_id, digest, outcome)


class ClaimTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ClaimTable()

    def claim(self, attempt_id, digest='f', now=1000.0):
        claimed = act(claims.CLAIM, attempt_id, digest)
        self.table.apply(claimed, now)
        return self.table.verdict(claimed, now)

    def test_first_in_the_log_wins(self):
        self.assertEqual(Won('a'), self.claim('a'))
        self.assertEqual(Held(), self.claim('b'))
        self.assertEqual(Won('a'), self.claim('a'))

    def test_resend_gets_the_recorded_outcome(self):
        self.claim('a')
        outcome = claims.encode_outcome(ANSWER)
        self.table.apply(act(claims.FINISH, 'a', outcome=outcome), 1000.0)
        self.assertEqual(Recorded(ANSWER), self.claim('b'))
        self.assertEqual(OtherBody(), self.claim('c', 'other'))

    def test_recorded_invalid_status_is_no_answer(self):
        """An entry of an earlier release recorded 600, which was replayed.

        The claims in the same record hold, or their requests would run twice.
        """
        for status in (-1, 0, 99, 199, 600, 999):
            text = claims.encode_outcome(ANSWER._replace(status=status))
            finish = act(claims.FINISH, 'a', outcome=text)
            batch = [act(claims.CLAIM, 'a'), finish]
            with self.subTest(status=status):
                decoded = claims.decode_batch(claims.encode_batch(batch))
                self.assertEqual(batch, decoded)
                self.assertEqual(
                    Unknown(f'was answered with status {status}', 409),
                    claims.decode_outcome(text),
                )

    def test_unknown_outcome_is_recorded_and_never_run_again(self):
        self.claim('a')
        outcome = claims.encode_outcome(Unknown('upstream lost', 502))
        self.table.apply(act(claims.FINISH, 'a', outcome=outcome), 1000.0)
        self.table.apply(act(claims.RELEASE, 'a'), 1000.0)
        verdict = self.claim('b')
        self.assertEqual(Recorded(Unknown('upstream lost', 409)), verdict)

    def test_released_key_goes_to_the_next_claim(self):
        self.claim('a')
        self.table.apply(act(claims.RELEASE, 'a'), 1000.0)
        self.assertEqual(Won('b'), self.claim('b'))
        self.assertEqual(Held(), self.claim('a'))

    def test_claim_appended_after_its_release_has_no_effect(self):
        # The append of a claim seems to be lost, the caller is answered
        # "not run" and the claim is released; then the append completes. The
        # claim must not hold the key, as no attempt is left to run.
        self.table.apply(act(claims.RELEASE, 'a'), 1000.0)
        self.assertEqual(Held(), self.claim('a'))
        self.assertEqual(Won('b'), self.claim('b'))

    def test_release_of_a_loser_frees_nothing(self):
        self.claim('a')
        self.table.apply(act(claims.RELEASE, 'b'), 1000.0)
        self.assertEqual(Held(), self.claim('c'))

    def test_old_key_is_refused_before_it_is_forgotten(self):
        self.claim('a')
        late = 1000.0 + claims.WINDOW_S + claims.SKEW_S + 1
        self.assertIsInstance(self.claim('b', now=late), OutsideWindow)
        self.table.forget(late)
        self.assertEqual(1, len(self.table))
        self.table.forget(1000.0 + claims.KEEP_S + 1)
        self.assertEqual(0, len(self.table))

    def test_window_at_the_entry(self):
        for age, refused in ((0, 0), (900, 0), (901, 1), (-60, 0), (-61, 1)):
            found = claims.outside_window('k', 5000.0 - age, 5000.0)
            self.assertEqual(bool(refused), found is not None, age)

    def test_unreadable_records_are_skipped(self):
        acts = [act(claims.CLAIM, 'a')]
        self.assertEqual(acts, claims.decode_batch(claims.encode_batch(acts)))
        for data in (
            '',
            '[',
            '[]',
            '{"v": 2, "acts": []}',
            '{"v": 1, "acts": [["claim", "c", "x", "a", "f", ""]]}',
            '{"v": 1, "acts": [["steal", "c", "1-x", "a", "f", ""]]}',
            '{"v": 1, "acts": [["finish", "c", "1-x", "a", "f", "{"]]}',
        ):
            self.assertEqual([], claims.decode_batch(data), data)

    def test_answer_too_long_to_keep(self):
        body = b'x' * (claims.MAX_RECORDED_BYTES + 1)
        text = claims.encode_outcome(ANSWER._replace(body=body))
        self.assertIsInstance(claims.decode_outcome(text), Unknown)


class Attempt:
    def __init__(self, key) -> None:
        self.key = key
        self.abandoned = False
        self.ran = False
        self.decided = False


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Entries, two claim collectors and a log that loses any message.

    An attempt runs only after the verdict that it has won, and never after
    it was abandoned. In every sequence of events each key runs at most once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[list[Act]] = []
        self.attempts: dict[str, Attempt] = {}
        self.tables = [ClaimTable(), ClaimTable()]
        self.offsets = [0, 0]
        self.now = 1000.0
        self.verdicts: list[tuple[str, object]] = []

    def names(self):
        return st.sampled_from(sorted(self.attempts))

    @stateful.rule(
        data=st.data(),
        is_new=st.sampled_from([False, False, False, True]),
        is_appended=st.sampled_from([True, True, True, False]),
    )
    def arrive(self, data, is_new, is_appended):
        known = sorted({a.key for a in self.attempts.values()})
        if is_new or not known:
            key = f'{int(self.now)}-x'
        else:
            key = data.draw(st.sampled_from(known))
        issued_at = float(key.partition('-')[0])
        if claims.outside_window(key, issued_at, self.now) is not None:
            return
        name = f'a{len(self.attempts)}'
        self.attempts[name] = Attempt(key)
        if is_appended:
            self.log.append([self.make_act(claims.CLAIM, name)])

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def claim_is_appended_late_or_again(self, data):
        names = data.draw(st.lists(self.names(), min_size=1, max_size=3))
        self.log.append([self.make_act(claims.CLAIM, name) for name in names])

    @stateful.rule(
        which=st.integers(0, 1),
        count=st.sampled_from([1, 3, 99]),
        replies_arrive=st.sampled_from([True, True, False]),
        certainly_not_run=st.sampled_from([False, False, True]),
    )
    def collector_reads(self, which, count, replies_arrive, certainly_not_run):
        start = self.offsets[which]
        table = self.tables[which]
        for act in itertools.chain(*self.log[start : start + count]):
            table.apply(act, self.now)
            if act.act != claims.CLAIM:
                continue
            verdict = table.verdict(act, self.now)
            if replies_arrive:
                self.on_verdict(act.attempt_id, verdict, certainly_not_run)
            else:
                self.verdicts.append((act.attempt_id, verdict))
        self.offsets[which] = min(len(self.log), start + count)

    @stateful.rule(which=st.integers(0, 1))
    def collector_restarts(self, which):
        self.tables[which] = ClaimTable()
        self.offsets[which] = 0

    @stateful.rule(which=st.integers(0, 1))
    def collector_forgets(self, which):
        self.tables[which].forget(self.now)

    @stateful.precondition(lambda self: self.verdicts)
    @stateful.rule(data=st.data())
    def verdict_arrives_late(self, data):
        at = data.draw(st.integers(0, len(self.verdicts) - 1))
        self.on_verdict(*self.verdicts[at], certainly_not_run=False)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def entry_abandons(self, data):
        attempt = self.attempts[data.draw(self.names())]
        if not attempt.ran:
            attempt.abandoned = True

    @stateful.precondition(
        lambda self: any(a.abandoned for a in self.attempts.values())
    )
    @stateful.rule(data=st.data())
    def release_is_appended(self, data):
        abandoned = [n for n, a in self.attempts.items() if a.abandoned]
        name = data.draw(st.sampled_from(abandoned))
        self.log.append([self.make_act(claims.RELEASE, name)])

    @stateful.precondition(
        lambda self: any(a.ran for a in self.attempts.values())
    )
    @stateful.rule(data=st.data())
    def finish_is_appended(self, data):
        ran = [n for n, a in self.attempts.items() if a.ran]
        act = self.make_act(claims.FINISH, data.draw(st.sampled_from(ran)))
        outcome = claims.encode_outcome(ANSWER)
        self.log.append([act._replace(outcome=outcome)])

    @stateful.rule(seconds=st.sampled_from([1.0, 1.0, 400.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def each_key_ran_at_most_once(self):
        ran = [a.key for a in self.attempts.values() if a.ran]
        assert len(ran) == len(set(ran))

    def on_verdict(self, name, verdict, certainly_not_run):
        attempt = self.attempts[name]
        if attempt.decided or attempt.abandoned:
            return
        attempt.decided = True
        if isinstance(verdict, Won):
            attempt.abandoned = certainly_not_run
            attempt.ran = not certainly_not_run

    def make_act(self, name, attempt_id):
        key = ClaimKey('c', self.attempts[attempt_id].key)
        return Act(name, key, attempt_id, 'f')


ClaimMachine.TestCase.settings = settings(
    derandomize=True, max_examples=500, stateful_step_count=40, deadline=None
)
ClaimMachineTest = ClaimMachine.TestCase
