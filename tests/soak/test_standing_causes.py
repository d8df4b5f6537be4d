"""Guards against violations of the soak of standing jobs that pass under a known fault
which had no part in them."""

import sys
import threading
import types
import unittest

sys.dont_write_bytecode = True

from standing_jobs import REFUSED_MOVE_S, Standing, StandingCheck, cause_of  # noqa: E402


def cause(refused, pool='svc-a', since=20, until=23, text='j.0.0.1 stands still for 3.1 s'):
    return cause_of(Standing(text, pool, since, until), set(), 0, refused, 0)


class RefusedMoves(unittest.TestCase):
    def test_move_that_held_a_host_of_the_pool(self):
        self.assertEqual(cause([(21, 'svc-a')]), 'refused_move')
        self.assertEqual(cause([(20 - REFUSED_MOVE_S + 0.1, 'svc-a')]), 'refused_move')

    def test_move_that_ended_before(self):
        self.assertEqual(cause([(20 - REFUSED_MOVE_S - 0.1, 'svc-a')]), 'other')

    def test_move_after_the_violation(self):
        self.assertEqual(cause([(23.1, 'svc-a')]), 'other')

    def test_move_of_a_host_of_another_pool(self):
        self.assertEqual(cause([(21, 'svc-b')]), 'other')

    def test_no_move(self):
        self.assertEqual(cause([]), 'other')

    def test_other_violation(self):
        self.assertEqual(cause_of('j is not complete', set(), 0, [(21, 'svc-a')], 0), 'other')


class Endpoint:
    up, silent, service = True, False, 'svc-a'
    capacity = {'cpu': 4, 'memMb': 4}
    running = {}


class Periods(unittest.TestCase):
    def test_violation_has_the_pool_and_the_period_of_its_task(self):
        size = {'count': 1, 'cpu': 1, 'memMb': 1, 'longRunning': True}
        endpoint = Endpoint()
        deployment = types.SimpleNamespace(
            lock=threading.Lock(), executors=[endpoint], sizes={'j': [size]}, done={}, last_run={},
            violations=[], size_of=lambda task: size, record=lambda *words: None)
        traffic = types.SimpleNamespace(open_jobs=lambda: ['j'],
                                        accepted={'j': (0, '/lasting/', None)})
        check = StandingCheck(deployment, traffic, None)
        for tenth in range(100, 150):
            # It runs for a while, so that the time before does not count.
            endpoint.running = {'j.0.0.0': 1} if tenth == 110 else {}
            check.sample(tenth / 10, 0.1)
        self.assertEqual(len(deployment.violations), 1)
        violation = deployment.violations[0]
        self.assertEqual(violation.pool, 'svc-a')
        self.assertAlmostEqual(violation.since, 11.0)
        self.assertAlmostEqual(violation.until, 14.1, delta=0.15)
        self.assertIn('1 of 1 tasks wait, pool svc-a', violation)


if __name__ == '__main__':
    unittest.main()
