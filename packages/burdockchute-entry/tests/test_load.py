"""The router's answers under patterns of load.

Each test simulates one pattern with its own clock, so that the figures are
the same in every run.
"""

from __future__ import annotations

import unittest

from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute_testing.builders import load_simulation
from burdockchute_testing.builders import requests

UNIT_S = 0.01

# A prompt of 16 tokens and 16 generated tokens cost 17.8 units.
SERVICE_S = 0.178

OPEN_LIMITS = {'requests_per_s': 1e6, 'tokens_per_s': 1e9}
LINDWURM = requests.LINDWURM._replace(**OPEN_LIMITS)
SAHYOG = requests.SAHYOG._replace(**OPEN_LIMITS)
TABLE = requests.table_of(requests.STORY, LINDWURM, SAHYOG)


def steady(run, per_s, seconds, **changes):
    for number in range(int(per_s * seconds)):
        run.schedule_request(number / per_s, requests.request(**changes))


def goodput(times_capacity: float) -> float:
    run = load_simulation.LoadSimulation(TABLE)
    for name in 'ab':
        run.add_upstream(name, 4, UNIT_S)
    per_s = times_capacity * 8 / SERVICE_S
    steady(run, per_s, 20, deadline=2.0)
    run.run(30)
    return load_simulation.summarize(run.bench.finished).answered / 20


class LoadTest(unittest.TestCase):
    def test_saturation_keeps_goodput(self):
        # Three times the capacity arrives. If all requests were admitted, each
        # would wait until its deadline, and nearly all work would be for
        # answers that are too late.
        peak = max(goodput(share) for share in (0.5, 0.9, 1.0, 1.5))
        self.assertGreater(goodput(3.0), 0.9 * peak)
        self.assertGreater(peak, 0.9 * 8 / SERVICE_S)

    def test_refusals_are_immediate(self):
        run = load_simulation.LoadSimulation(TABLE)
        run.add_upstream('a', 4, UNIT_S)
        steady(run, 100, 10, deadline=2.0)
        run.run(20)
        refused = [
            one
            for one in run.bench.finished
            if isinstance(one.outcome, NotRun)
        ]
        self.assertGreater(len(refused), 100)
        self.assertTrue(all(one.outcome.retry_after_s for one in refused))
        waits = sorted(one.total_s for one in refused)
        self.assertLess(load_simulation.quantile(waits, 0.5), 0.01)

    def test_burst_is_worked_off(self):
        # 40 callers send a request at once. There is enough time for all, so
        # none is refused.
        run = load_simulation.LoadSimulation(TABLE)
        for name in 'ab':
            run.add_upstream(name, 4, UNIT_S)
        for _ in range(40):
            run.schedule_request(1.0, requests.request(deadline=5.0))
        run.run(10)
        got = load_simulation.summarize(run.bench.finished)
        self.assertEqual((40, 40), (got.sent, got.answered))
        self.assertLess(got.p95_s, 40 / 8 * SERVICE_S * 1.5)

    def test_flood_of_one_customer_leaves_the_others_alone(self):
        # One customer sends ten times what the instances can do; the requests
        # of another customer must be answered as before.
        def other_customer(flood_per_s):
            run = load_simulation.LoadSimulation(TABLE)
            for name in 'ab':
                run.add_upstream(name, 4, UNIT_S)
            steady(run, 5, 20, customer='sahyog', deadline=5.0)
            steady(run, flood_per_s, 20, customer='lindwurm', deadline=5.0)
            run.run(30)
            return load_simulation.summarize(
                run.bench.finished, lambda ctx: ctx.customer == 'sahyog'
            )

        quiet, beside = other_customer(0), other_customer(450)
        self.assertEqual(quiet.answered, beside.answered)
        # One request has to end before a slot is free.
        self.assertLess(beside.p95_s, quiet.p95_s + SERVICE_S)

    def test_limit_of_the_row_holds(self):
        row = LINDWURM._replace(requests_per_s=10, burst_s=2)
        run = load_simulation.LoadSimulation(
            requests.table_of(requests.STORY, row, SAHYOG)
        )
        run.add_upstream('a', 8, UNIT_S / 4)
        steady(run, 50, 10)
        run.run(20)
        got = load_simulation.summarize(run.bench.finished)
        self.assertLessEqual(got.answered, 10 * 10 + 20)
        self.assertGreaterEqual(got.answered, 10 * 10)

    def test_slow_upstream_gets_few_requests(self):
        # One instance is ten times slower than the others. With an equal
        # share of the requests, every fourth answer would be late.
        run = load_simulation.LoadSimulation(TABLE)
        for name in 'abc':
            run.add_upstream(name, 4, UNIT_S)
        slow = run.add_upstream('slow', 4, 10 * UNIT_S)
        steady(run, 30, 30, deadline=5.0)
        run.run(40)
        got = load_simulation.summarize(run.bench.finished)
        self.assertEqual(got.sent, got.answered)
        self.assertLess(slow.finished_count, 0.05 * got.sent)
        self.assertLess(got.p95_s, 2 * SERVICE_S)

    def test_upstream_that_turns_slow_is_avoided_and_used_again(self):
        run = load_simulation.LoadSimulation(TABLE)
        turning = run.add_upstream('turning', 4, UNIT_S)
        run.add_upstream('steady', 4, UNIT_S)
        steady(run, 15, 90, deadline=5.0)
        run.run(20)
        before = turning.finished_count
        turning.unit_s = 20 * UNIT_S
        run.run(20)
        meanwhile = turning.finished_count - before
        turning.unit_s = UNIT_S
        run.run(50)
        after = turning.finished_count - before - meanwhile
        self.assertLess(meanwhile, 0.25 * 15 * 20)
        self.assertGreater(after, 0.25 * 15 * 50)

    def test_new_upstream_takes_its_share(self):
        run = load_simulation.LoadSimulation(TABLE)
        run.add_upstream('a', 4, UNIT_S)
        steady(run, 30, 30, deadline=2.0)
        run.run(10)
        late = run.add_upstream('b', 4, UNIT_S)
        run.run(30)
        got = load_simulation.summarize(
            one
            for one in run.bench.finished
            if one.ctx.arrived > run.bench.now - 26
        )
        self.assertEqual(got.sent, got.answered)
        self.assertGreater(late.finished_count, 200)

    def test_long_work_leaves_slots_for_short(self):
        # A batch of requests for 1000 tokens each arrives. Without a limit it
        # takes every slot, and a short request waits ten seconds for one.
        def short_requests(long_share):
            row = requests.STORY._replace(long_share=long_share)
            run = load_simulation.LoadSimulation(
                requests.table_of(row, LINDWURM, SAHYOG)
            )
            for name in 'ab':
                run.add_upstream(name, 4, UNIT_S)
            steady(run, 4, 20, customer='sahyog', deadline=20.0)
            steady(
                run,
                2,
                20,
                max_tokens=1000,
                deadline=60.0,
                customer='lindwurm',
            )
            run.run(90)
            return load_simulation.summarize(
                run.bench.finished, lambda ctx: ctx.max_tokens < 1000
            )

        self.assertLess(short_requests(0.5).p95_s, 2 * SERVICE_S)
        self.assertGreater(short_requests(1.0).p95_s, 2.0)

    def test_higher_priority_goes_first_and_starves_no_customer(self):
        run = load_simulation.LoadSimulation(TABLE)
        run.add_upstream('a', 4, UNIT_S)
        steady(run, 24, 30, priority=0, deadline=20.0)
        steady(run, 4, 30, priority=-2, deadline=20.0)
        run.run(60)
        low = load_simulation.summarize(
            run.bench.finished, lambda ctx: ctx.priority == -2
        )
        high = load_simulation.summarize(
            run.bench.finished, lambda ctx: not ctx.priority
        )
        self.assertGreater(low.answered, 0.5 * low.sent)
        self.assertLess(high.p50_s, low.p50_s)

    def test_outage_does_not_multiply_the_load(self):
        # Every 0.3 s the instance drops its requests and restarts. Without a
        # retry budget each request would be retried until its deadline.
        run = load_simulation.LoadSimulation(TABLE)
        current = [run.add_upstream('a', 8, UNIT_S)]

        def restart():
            current[0].stop()
            current[0] = run.add_upstream('a', 8, UNIT_S)
            run.schedule(0.3, restart)

        run.schedule(0.3, restart)
        steady(run, 40, 60, deadline=5.0)
        run.run(70)
        first = [one for one in run.bench.finished if one.attempts]
        again = sum(one.attempts - 1 for one in first)
        self.assertGreater(again, 10)
        self.assertLessEqual(again, 0.1 * len(first))

    def test_popular_prefixes_stay_cached_without_a_hot_spot(self):
        # All prompts start with the same long text. If all went to the one
        # instance that has it cached, the others would be idle.
        run = load_simulation.LoadSimulation(TABLE)
        hosts = [run.add_upstream(name, 4, UNIT_S) for name in 'abcd']
        prefixes = tuple(f'p{n}' for n in range(30))
        steady(
            run, 11, 20, prefixes=prefixes, prompt_tokens=1930, deadline=20.0
        )
        run.run(45)
        got = load_simulation.summarize(run.bench.finished)
        self.assertEqual(got.sent, got.answered)
        self.assertLess(max(h.finished_count for h in hosts), 0.4 * got.sent)

    def test_every_request_gets_exactly_one_outcome(self):
        run = load_simulation.LoadSimulation(TABLE)
        victim = run.add_upstream('a', 2, UNIT_S)
        run.add_upstream('b', 2, UNIT_S)
        steady(run, 40, 10, deadline=1.0)
        run.schedule(5.0, victim.stop)
        run.run(20)
        ids = [one.ctx.request_id for one in run.bench.finished]
        self.assertEqual(400, len(ids))
        self.assertEqual(400, len(set(ids)))
        late = [
            one
            for one in run.bench.finished
            if isinstance(one.outcome, Answered) and one.total_s > 1.11
        ]
        self.assertEqual([], late)
        self.assertEqual(0, run.bench.router.open_requests())
