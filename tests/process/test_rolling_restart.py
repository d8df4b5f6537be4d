"""Restarts every endpoint, entry and control replica in turn by SIGTERM under load.
Guards against a planned stop that interrupts a request, returns a wrong verdict or
exits with an error.

Usage: test_rolling_restart.py FOLDER_OF_PROGRAMS FOLDER
"""

import sys

from fleet_run import HOSTS, run_test
from processes import StepError


def restart(fleet, name, start):
    code = fleet.group.terminate([name])[name]
    if code != 0:
        raise StepError('%s exited with code %s after SIGTERM' % (name, code))
    start()


def restart_all(fleet):
    for host in HOSTS:
        restart(fleet, 'endpoint-' + host, lambda: fleet.start_endpoint(host))
    for name in fleet.deployment.entries:
        restart(fleet, name, lambda: fleet.start_daemon(name))
        fleet.wait_ready([name])
    for name in fleet.deployment.controls:
        restart(fleet, name, lambda: fleet.start_daemon(name))
        fleet.wait_ready([name])
        fleet.wait_any_leader()


def test(fleet, arguments):
    # The client acts as the load balancer: it resends through the next entry only
    # requests that were refused as not run or never sent.
    load = fleet.start_load('load-rolling', 1000000, '--concurrency', 8, '--rate', 100,
                            '--keyed_percent', 30, '--resend_not_run', '--resends', 30,
                            '--resend_wait_ms', 200, '--deadline_ms', 5000)
    restart_all(fleet)
    fleet.stop_load(load)
    verdict_counts = fleet.check_requests('load-rolling')
    failed = {kind: count for kind, count in verdict_counts.items() if kind != 'ran'}
    attempts = fleet.attempt_verdict_counts('load-rolling')
    print('requests by final verdict %s, attempts %s' % (dict(verdict_counts), dict(attempts)))
    if failed or attempts['lost'] or attempts['timeout'] or attempts['may-have-run']:
        raise StepError('expected every request to run, got verdicts %s, attempts %s'
                        % (failed, dict(attempts)))


if __name__ == '__main__':
    sys.exit(run_test(test, controls=3, entries=3))
