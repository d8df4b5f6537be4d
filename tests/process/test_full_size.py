"""Runs a complete maintenance wave, a planned move and jobs under load on the
deployment of examples/kelang at full size (5 control replicas, 12 entries, 52 hosts),
and kills the leader during the wave. Guards against a pool below its budget, an
interrupted request, a host maintained twice or not at all, and a job that never ends.

Usage: test_full_size.py FOLDER_OF_PROGRAMS FOLDER
"""

import json
import sys
import threading
import time

from fleet_run import ROOT, run_test
from processes import StepError, allocate_ports, http_json, wait_until

SERVICE, POOL = 'plots', 'gate'
JOBS = 6


def strip_comments(text):
    return '\n'.join(line for line in text.splitlines() if not line.lstrip().startswith('//'))


class BudgetMonitor(threading.Thread):
    """Polls the pools and records the lowest margin of each above its budget, and each
    pool that fell below its budget."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.violations, self.lowest_margins, self.polls = fleet, set(), {}, 0
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.1):
            for name in self.fleet.deployment.controls:
                status = http_json(self.fleet.deployment.http_ports[name], '/v1/status')
                if status and 'pools' in status:
                    self.check(status['pools'])
                    break

    def check(self, pools):
        self.polls += 1
        for pool in pools:
            margin = pool['available'] - pool['budget']
            self.lowest_margins[pool['name']] = min(
                margin, self.lowest_margins.get(pool['name'], margin))
            if margin < 0:
                self.violations.add(pool['name'])


def prepare(fleet):
    """Replaces the declaration of the demo by that of the example."""
    example = json.loads(strip_comments((ROOT / 'examples/kelang/declaration.jsonc').read_text()))
    fleet.example = example
    fleet.deployment.declaration = lambda number: {**example, 'number': number}
    fleet.files['declaration'].write_text(json.dumps(example))
    fleet.start_endpoints = lambda: start_endpoints(fleet)
    fleet.platform_flags = ['--reboot_ms', 1000, '--drain_ms', 200, '--move_ms', 500]


def start_endpoints(fleet):
    hosts = [host['name'] for host in fleet.example['hosts'] if host['pool'] == POOL]
    for host, port in zip(hosts, allocate_ports(len(hosts))):
        fleet.group.start('endpoint-' + host, [
            fleet.program('endpoint_standin'), '--name', 'endpoint-' + host,
            '--service', SERVICE, '--pool', POOL, '--host', host, '--port', port,
            '--entries', fleet.deployment.entry_addresses(), '--max_seconds', 300,
            '--execution_file', fleet.folder / ('executions-%s.txt' % host)])


def find_host(fleet, name):
    return next(record for record in fleet.ctl_json('hosts')['hosts'] if record['name'] == name)


def change_home_pool(fleet):
    """Assigns one host of the spare pool to another home pool and waits until it has
    moved."""
    moved = next(h for h in fleet.example['hosts'] if h['pool'] == 'records')
    moved['pool'] = 'planning'
    plan = fleet.ctl_json('plan', fleet.write_declaration(2))
    if moved['name'] not in json.dumps(plan):
        raise StepError('expected the move in the plan, got %s' % plan)
    fleet.submit(2, 'second declaration')
    wait_until(lambda: find_host(fleet, moved['name'])['pool'] == 'planning'
               and find_host(fleet, moved['name'])['state'] == 'in_service', 'the move')


def run_jobs(fleet):
    job = fleet.folder / 'job.json'
    job.write_text(json.dumps({'team': 'planning', 'pool': 'planning', 'class': 'batch', 'cores': 4,
                               'memory_mb': 1024, 'accelerators': 0, 'run_seconds': 1}))
    for _ in range(JOBS):
        fleet.ctl('jobs', 'submit', job)
    wait_until(lambda: [j['state'] for j in fleet.ctl_json('jobs', 'list')['jobs']]
               .count('succeeded') == JOBS, 'completion of all jobs', 120)


def latest_wave(fleet):
    return fleet.ctl_json('waves')['waves'][-1]


def run_wave(fleet):
    started = time.monotonic()
    fleet.ctl('maintenance', 'start')
    wait_until(lambda: latest_wave(fleet)['done'] >= 5,
               'maintenance of the first hosts of the wave', 120)
    fleet.ctl('maintenance', 'pause')
    fleet.ctl('maintenance', 'resume')
    leader = fleet.wait_any_leader()
    fleet.kill(leader)
    fleet.wait_any_leader()
    fleet.start_daemon(leader)
    wait_until(lambda: latest_wave(fleet)['state'] == 'finished',
               'completion of the wave', 200, 0.5)
    result = latest_wave(fleet)
    hosts = fleet.ctl_json('hosts')['hosts']
    missed = [h['name'] for h in hosts if h['last_wave'] != result['id']]
    if result['done'] != len(hosts) or result['failures'] or missed:
        raise StepError('expected a wave over all hosts without failures, got %s; '
                        'hosts not maintained: %s' % (result, missed))
    print('wave over %d hosts: %.0f s' % (len(hosts), time.monotonic() - started))


def check_reboots(fleet):
    orders = http_json(fleet.deployment.platform_port, '/orders')
    reboots = {}
    for order in orders['orders']:
        if order['kind'] == 'reboot':
            reboots.setdefault(order['host'], set()).add(order['epoch'])
    twice = [name for name, epochs in reboots.items() if len(epochs) != 1]
    if twice or len(reboots) != len(fleet.example['hosts']):
        raise StepError('expected one reboot of each host; %d hosts rebooted, more than once: %s'
                        % (len(reboots), twice))


def test(fleet, arguments):
    monitor = BudgetMonitor(fleet)
    monitor.start()
    load = fleet.start_load('load-full', 1000000, '--concurrency', 16, '--rate', 100,
                            '--keyed_percent', 20, '--resend_not_run', '--resends', 30)
    change_home_pool(fleet)
    run_jobs(fleet)
    run_wave(fleet)
    fleet.stop_load(load)
    monitor.stopping.set()
    monitor.join()
    verdict_counts = fleet.check_requests('load-full')
    check_reboots(fleet)
    print('lowest margin above the budget %s in %d polls; requests by verdict %s'
          % (monitor.lowest_margins, monitor.polls, dict(verdict_counts)))
    if len(monitor.lowest_margins) != len(fleet.example['pools']):
        raise StepError('expected polls of every pool, got %s' % monitor.lowest_margins)
    if monitor.violations:
        raise StepError('pools below their budget: %s' % sorted(monitor.violations))
    if set(verdict_counts) != {'ran'}:
        raise StepError('expected every request to run, got verdicts %s' % dict(verdict_counts))


if __name__ == '__main__':
    sys.exit(run_test(test, prepare=prepare))
