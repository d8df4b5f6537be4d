"""Sends keyed requests, which are resent through other entries, while entries,
endpoints and control leaders are killed and frozen. Guards against a key that is
executed twice, a request that is executed although it was refused as not run, and a
response that belongs to another request.

Usage: test_keyed_faults.py FOLDER_OF_PROGRAMS FOLDER [--requests N]
"""

import sys
import time

from fleet_run import run_test
from processes import StepError, wait_until

# Longer than the freshness bound and an election, so that the others replace the
# frozen process before it resumes.
FREEZE_S = 5


def check_still_running(load):
    if not load.is_running():
        raise StepError('the load ended before the last fault; increase --requests')


def wait_executions(fleet, count):
    """Waits until the endpoints have executed `count` more requests."""
    target = sum(fleet.execution_counts_by('id').values()) + count
    wait_until(lambda: sum(fleet.execution_counts_by('id').values()) >= target,
               'progress of the load', 120)


def freeze_for(fleet, name):
    fleet.freeze(name)
    time.sleep(FREEZE_S)
    fleet.resume(name)


def test(fleet, arguments):
    load = fleet.start_load('load-keyed', arguments.requests, '--keyed_percent', 100,
                            '--concurrency', 24, '--rate', max(40, arguments.requests // 40),
                            '--resend_not_run', '--resends', 20,
                            '--resend_wait_ms', 500, '--deadline_ms', 3000)
    wait_executions(fleet, 50)
    fleet.kill('entry-1')
    wait_executions(fleet, 50)
    fleet.start_daemon('entry-1')
    leader = fleet.wait_any_leader()
    fleet.kill(leader)
    wait_executions(fleet, 50)
    fleet.start_daemon(leader)
    fleet.kill('endpoint-w01')
    wait_executions(fleet, 50)
    fleet.start_endpoint('w01')
    freeze_for(fleet, 'entry-2')
    freeze_for(fleet, fleet.wait_any_leader())
    freeze_for(fleet, 'endpoint-w02')
    check_still_running(load)
    report = fleet.collect_report(load)
    verdict_counts = fleet.check_requests('load-keyed')
    print('keyed requests %d, attempts %d, final verdicts %s'
          % (report['requests'], report['attempts'], dict(verdict_counts)))
    if verdict_counts['ran'] < report['requests'] * 0.5:
        raise StepError('expected at least half of the requests to run, got verdicts %s'
                        % dict(verdict_counts))


if __name__ == '__main__':
    sys.exit(run_test(test))
