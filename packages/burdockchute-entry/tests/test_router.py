"""The router's replies to callers and its messages to agents."""

from __future__ import annotations

import unittest

from burdockchute.model import claims
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import AnswerStarted
from burdockchute.model.replies import CallerGone
from burdockchute.model.replies import Done
from burdockchute.model.replies import Part
from burdockchute.wire import messages
from burdockchute_testing.builders import requests
from burdockchute_testing.builders import routing

WHOLE = Answered(200, 'text/event-stream', b'', 'd1', '')


class RouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = routing.RouterTestBench(requests.table_of())

    def only_dispatch(self, link):
        (dispatch,) = link.dispatched()
        return dispatch

    def test_streamed_answer_is_forwarded_in_order(self):
        link = self.bench.agent('a')
        rid = self.bench.submit(requests.request())
        dispatch = self.only_dispatch(link)
        self.assertEqual(
            ('story', 'd1', 10000),
            (dispatch.target, dispatch.digest, dispatch.budget_ms),
        )
        self.bench.answer(link, rid, parts=2)
        self.assertEqual(
            [
                AnswerStarted('d1', ''),
                Part(b'%s-0' % rid.encode()),
                Part(b'%s-1' % rid.encode()),
                Done(WHOLE),
            ],
            self.bench.replies_to(rid),
        )
        self.assertEqual(0, self.bench.router.open_requests())

    def test_answers_of_two_requests_do_not_cross(self):
        # Two answers arrive interleaved over one link, one of them out of
        # order and with a part sent twice. No caller may get parts of
        # another caller's answer.
        link = self.bench.agent('a')
        one = self.bench.submit(requests.request())
        two = self.bench.submit(requests.request())
        for rid, sequence in (
            (one, 1),
            (two, 0),
            (one, 0),
            (one, 0),
            (two, 1),
            (one, 2),
        ):
            data = f'{rid}-{sequence}'.encode()
            self.bench.receive(link, messages.AnswerPart(rid, sequence, data))
        for rid, parts in ((one, 3), (two, 2)):
            end = messages.AnswerEnd(rid, parts, 200, 'x', 'd1', '', '', False)
            self.bench.receive(link, end)
            expected = [f'{rid}-{n}'.encode() for n in range(parts)]
            self.assertEqual(expected, self.bench.parts(rid))
            self.assertIsInstance(self.bench.outcome(rid), Answered)

    def test_short_answer_is_not_reported_as_complete(self):
        # The last part of a stream is missing when its end is received.
        link = self.bench.agent('a')
        rid = self.bench.submit(requests.request())
        self.bench.answer(link, rid, parts=2, **{'status': 200})
        truncated = self.bench.submit(requests.request())
        self.bench.receive(link, messages.AnswerPart(truncated, 0, b'x'))
        end = messages.AnswerEnd(truncated, 2, 200, 'x', 'd1', '', '', False)
        self.bench.receive(link, end)
        self.assertIsInstance(self.bench.outcome(truncated), Unknown)

    def test_answer_with_an_invalid_status_is_not_forwarded(self):
        """An agent of an earlier release relays 600 of its upstream.

        It runs again if its caller has no part of it, and is lost otherwise.
        """
        for status in (-1, 0, 99, 100, 199, 600, 999):
            for stream in (False, True):
                with self.subTest(status=status, stream=stream):
                    bench = routing.RouterTestBench(requests.table_of())
                    links_ = [bench.agent(name) for name in 'ab']
                    rid = bench.submit(requests.request(stream=stream))
                    link = next(a for a in links_ if a.dispatched())
                    other = next(a for a in links_ if a is not link)
                    bench.answer(link, rid, status=status)
                    expected = Unknown(f'answer has status {status}', 502)
                    if not stream:
                        # Its caller has received no part of it.
                        self.assertIsNone(bench.outcome(rid))
                        bench.answer(other, rid)
                        expected = WHOLE
                    self.assertEqual(expected, bench.outcome(rid))
                    self.assertEqual(1, len(bench.parts(rid)))
                    self.assertEqual(0, len(bench.crashes))

    def test_answer_from_other_weights_is_refused(self):
        # An agent that was paused switched its upstream's weights while the
        # request was running. A request without streaming is run again, which
        # its caller does not notice; no answer mixes two models.
        first = self.bench.agent('a')
        second = self.bench.agent('b')
        rid = self.bench.submit(requests.request(stream=False))
        link = first if first.dispatched() else second
        other = second if link is first else first
        self.bench.answer(link, rid, digest='d2')
        self.assertIsNone(self.bench.outcome(rid))
        self.bench.answer(other, rid)
        self.assertEqual(WHOLE, self.bench.outcome(rid))
        self.assertEqual(1, len(self.bench.parts(rid)))

    def test_certain_not_run_goes_to_another_instance(self):
        # An instance starts to shut down while a request is in transit to it.
        links_ = [self.bench.agent(name) for name in 'ab']
        key = f'{int(self.bench.now)}-k'
        rid = self.bench.submit(requests.request())
        link = next(a for a in links_ if a.dispatched())
        other = next(a for a in links_ if a is not link)
        self.bench.receive(link, messages.NotRun(rid, 'leaving', 500))
        self.assertEqual(rid, self.only_dispatch(other).request_id)
        self.bench.answer(other, rid)
        self.assertEqual(WHOLE, self.bench.outcome(rid))
        self.assertEqual(1, self.bench.finished[0].attempts, key)

    def test_lost_idempotent_request_runs_again(self):
        # The link to an agent goes silent while it runs a request.
        links_ = [self.bench.agent(name) for name in 'ab']
        rid = self.bench.submit(requests.request())
        link = next(a for a in links_ if a.dispatched())
        other = next(a for a in links_ if a is not link)
        self.bench.close(link)
        self.bench.answer(other, rid)
        self.assertEqual(WHOLE, self.bench.outcome(rid))

    def test_late_parts_of_a_lost_attempt_are_ignored(self):
        # The first agent was only paused, and sends its answer after the
        # second one has started.
        links_ = [self.bench.agent(name) for name in 'ab']
        rid = self.bench.submit(requests.request())
        link = next(a for a in links_ if a.dispatched())
        other = next(a for a in links_ if a is not link)
        self.bench.close(link)
        self.bench.receive(link, messages.AnswerPart(rid, 0, b'late'))
        self.bench.answer(other, rid)
        self.assertEqual([f'{rid}-0'.encode()], self.bench.parts(rid))

    def test_started_stream_that_is_lost_is_unknown(self):
        # The upstream is lost after the first token; another attempt might
        # generate different text.
        link = self.bench.agent('a')
        other = self.bench.agent('b')
        rid = self.bench.submit(requests.request())
        if not link.dispatched():
            link, other = other, link
        self.bench.receive(link, messages.AnswerPart(rid, 0, b'x'))
        self.bench.close(link)
        self.assertEqual(502, self.bench.outcome(rid).status)
        self.assertIsInstance(self.bench.outcome(rid), Unknown)
        self.assertEqual([], other.dispatched())

    def test_deadline_ends_the_wait_for_a_silent_upstream(self):
        link = self.bench.agent('a')
        rid = self.bench.submit(requests.request(deadline=3.0))
        self.bench.advance(3.1)
        self.assertEqual(Unknown('deadline passed'), self.bench.outcome(rid))
        self.assertEqual(messages.Cancel(rid), link.sent[-1])

    def test_waiting_request_that_runs_out_of_time_was_not_run(self):
        link = self.bench.agent('a', slots=1)
        blockers = [self.bench.submit(requests.request()) for _ in range(2)]
        rid = self.bench.submit(requests.request(deadline=1.0))
        self.assertNotIn(rid, [d.request_id for d in link.dispatched()])
        self.bench.advance(1.1)
        self.assertIsInstance(self.bench.outcome(rid), NotRun)
        self.assertIsNone(self.bench.outcome(blockers[0]))

    def test_timed_out_request_with_an_attempt_is_not_called_not_run(self):
        # An attempt was lost, and the deadline passes while the request
        # waits for another one. The request may have run.
        link = self.bench.agent('a')
        rid = self.bench.submit(requests.request())
        self.bench.close(link)
        self.assertIsNone(self.bench.outcome(rid))
        self.bench.advance(2.5)
        self.assertIsInstance(self.bench.outcome(rid), Unknown)

    def test_request_that_may_have_run_is_not_evicted_for_new_ones(self):
        """An agent loses a request, which waits for another attempt.

        Requests of higher priority filled the queue, and its caller got an
        unknown outcome with most of the time to its deadline left.
        """
        row = requests.STORY._replace(max_waiting=1)
        table = requests.table_of(row, requests.LINDWURM, requests.SAHYOG)
        self.bench = routing.RouterTestBench(table)
        first = self.bench.agent('a')
        lost = self.bench.submit(requests.request())
        self.bench.close(first)
        urgent = self.bench.submit(
            requests.request(customer='sahyog', priority=3)
        )
        self.assertIsNone(self.bench.outcome(lost))
        self.assertIsInstance(self.bench.outcome(urgent), NotRun)
        second = self.bench.agent('b')
        self.assertEqual(lost, self.only_dispatch(second).request_id)

    def test_no_instance_is_answered_within_seconds(self):
        rid = self.bench.submit(requests.request())
        self.bench.advance(2.5)
        outcome = self.bench.outcome(rid)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_s, 0)

    def test_disconnected_caller_cancels_the_request(self):
        link = self.bench.agent('a')
        rid = self.bench.submit(requests.request())
        self.bench.router.handle(CallerGone(rid))
        self.assertEqual(messages.Cancel(rid), link.sent[-1])
        self.assertEqual(0, self.bench.router.open_requests())

    def test_leaving_instance_gets_no_new_work(self):
        link = self.bench.agent('a')
        self.bench.report(link, leaving=True)
        self.bench.submit(requests.request())
        self.assertEqual([], link.dispatched())

    def test_instance_that_the_platform_lists_as_leaving(self):
        link = self.bench.agent('a')
        leaving = Member('a', 'agent', '127.0.0.1', 1, Place('', '', ''), True)
        self.bench.router.handle(MembersChanged((leaving,)))
        self.bench.submit(requests.request())
        self.assertEqual([], link.dispatched())

    def test_new_link_is_used_before_the_old_one_is_closed(self):
        # The old link is silent, which has not been detected yet.
        old = self.bench.agent('a', slots=8)
        first = self.bench.submit(requests.request())
        new = self.bench.agent('a', slots=8)
        second = self.bench.submit(requests.request())
        self.assertEqual(second, self.only_dispatch(new).request_id)
        self.bench.close(old)
        self.bench.report(new)
        self.assertEqual(
            [second, first], [d.request_id for d in new.dispatched()]
        )


class VersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = routing.RouterTestBench(requests.table_of())
        self.old = self.bench.agent('a')

    def name_version(self, digest):
        row = requests.STORY._replace(version='v2', digest=digest)
        table = requests.table_of(row, requests.LINDWURM, offset=2)
        self.bench.router.handle(TableChanged(table))

    def test_previous_version_serves_until_the_named_one_is_open(self):
        self.name_version('d2')
        self.bench.submit(requests.request())
        self.assertEqual('d1', self.old.dispatched()[-1].digest)
        new = self.bench.agent('b', opened={'model/story': ['d2']})
        self.bench.submit(requests.request())
        self.assertEqual('d2', new.dispatched()[-1].digest)

    def test_first_new_replica_does_not_get_all_requests(self):
        # One of two replicas has switched. If all requests went there, it
        # would be overloaded while the other one is idle.
        self.name_version('d2')
        new = self.bench.agent('b', opened={'model/story': ['d2']}, slots=1)
        for _ in range(3):
            self.bench.submit(requests.request())
        self.assertGreater(len(new.dispatched()), 0)
        self.assertGreater(len(self.old.dispatched()), 0)

    def test_adapter_needs_both_weights_as_the_table_named_them(self):
        bench = routing.RouterTestBench(requests.table_of())
        plain = bench.agent('a')
        bench.submit(requests.request(kind='adapter', target='rhymes'))
        self.assertEqual([], plain.dispatched())
        both = bench.agent(
            'b', opened={'model/story': ['d1'], 'adapter/rhymes': ['a1']}
        )
        sent = both.dispatched()[-1]
        self.assertEqual(
            ('story', 'rhymes', 'd1', 'a1'),
            (sent.target, sent.adapter, sent.digest, sent.adapter_digest),
        )


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.claimed: list = []
        self.bench = routing.RouterTestBench(
            requests.table_of(), claim=self.claimed.append
        )
        self.link = self.bench.agent('a')

    def submit(self):
        return self.bench.submit(
            requests.request(
                kind='service',
                target='proofs',
                idempotent=False,
                idempotency_key='100-k',
                stream=False,
                method='POST',
                path='/print',
            )
        )

    def decide(self, rid, verdict):
        decided = claims.ClaimDecided(rid, rid, verdict)
        self.bench.router.handle(decided)

    def test_is_dispatched_only_after_its_claim_is_won(self):
        rid = self.submit()
        self.assertEqual([], self.link.dispatched())
        self.decide(rid, claims.Won(rid))
        self.bench.answer(self.link, rid, content_type='application/json')
        self.assertIsInstance(self.bench.outcome(rid), Answered)
        finish = self.claimed[-1]
        self.assertIsInstance(finish, claims.ClaimFinished)
        self.assertEqual(f'{rid}-0'.encode(), finish.outcome.body)

    def test_plain_service_runs_as_many_as_its_row_says(self):
        # A plain service reports no slots.
        self.bench.report(self.link, slots=0)
        for _ in range(8):
            self.decide(self.submit(), claims.Won('a'))
        sent = len(self.link.dispatched())
        self.assertGreaterEqual(sent, 2)
        for dispatch in self.link.dispatched():
            self.bench.answer(self.link, dispatch.request_id)
        self.assertGreater(len(self.link.dispatched()), sent + 2)

    def test_lost_attempt_is_unknown_and_never_runs_again(self):
        # The agent dies while it runs a non-idempotent request. Another
        # attempt might execute it twice.
        rid = self.submit()
        self.decide(rid, claims.Won(rid))
        other = self.bench.agent('b')
        self.bench.close(self.link)
        self.assertIsInstance(self.bench.outcome(rid), Unknown)
        self.assertEqual([], other.dispatched())
        self.assertIsInstance(self.claimed[-1], claims.ClaimFinished)

    def test_claim_is_released_if_the_deadline_passes_before_dispatch(self):
        # The log is slow, and the deadline passes before the claim is read
        # back. If the claim is won later, nothing may be dispatched.
        rid = self.submit()
        self.bench.advance(11)
        self.assertIsInstance(self.bench.outcome(rid), NotRun)
        self.assertIsInstance(self.claimed[-1], claims.ClaimReleased)
        self.decide(rid, claims.Won(rid))
        self.assertEqual([], self.link.dispatched())

    def test_certain_not_run_may_be_placed_again(self):
        rid = self.submit()
        self.decide(rid, claims.Won(rid))
        self.bench.receive(self.link, messages.NotRun(rid, 'leaving', 100))
        self.bench.report(self.link)
        self.assertEqual(2, len(self.link.dispatched()))
        ids = {d.attempt_id for d in self.link.dispatched()}
        self.assertEqual(2, len(ids))

    def test_resent_request_gets_the_known_outcome(self):
        answered = Answered(200, 'application/json', b'{}', '', '')
        for verdict, status, kind in (
            (claims.Recorded(answered), 200, Answered),
            (claims.Held(), 409, Unknown),
            (claims.OtherBody(), 422, NotRun),
            (claims.OutsideWindow('too old'), 422, Unknown),
            (claims.Unavailable('log is down', 1.0), 503, NotRun),
        ):
            rid = self.submit()
            self.decide(rid, verdict)
            outcome = self.bench.outcome(rid)
            self.assertEqual((status, kind), (outcome.status, type(outcome)))
        self.assertEqual([], self.link.dispatched())
        self.assertEqual(5, len(self.claimed))

    def test_disconnected_caller_does_not_cancel_a_claimed_request(self):
        # The caller's connection breaks during a non-idempotent request. If
        # it were cancelled, its outcome would remain unknown.
        rid = self.submit()
        self.decide(rid, claims.Won(rid))
        self.bench.router.handle(CallerGone(rid))
        self.bench.answer(self.link, rid)
        self.assertIsInstance(self.claimed[-1], claims.ClaimFinished)
        self.assertIsInstance(self.claimed[-1].outcome, Answered)
