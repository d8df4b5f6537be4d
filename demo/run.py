"""Runs the main workflow of a deployment on loopback; see run.sh."""

import argparse
import collections
import json
import pathlib
import shutil
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tests' / 'process'))
from deployment import CONTROLS, ENTRIES, HOSTS, SERVICES, Deployment  # noqa: E402
from processes import (  # noqa: E402
    ProcessGroup, StepError, allocate_ports, http_json, http_status, wait_until)

DRAINED_HOST = 'w01'
SERVICE_TIME_MS = 20
# The stand-ins exit after this time, so that none is left behind if the demo is
# killed.
MAX_RUNTIME_S = 300


class Demo:
    """One run of the workflow: starts the processes and collects the summary."""

    def __init__(self, arguments, group, controls=CONTROLS, entries=ENTRIES):
        self.programs = arguments.programs.resolve()
        self.seconds = arguments.seconds
        self.folder = group.folder
        self.group = group
        self.deployment = Deployment(self.folder, allocate_ports, controls, entries)
        self.files = self.deployment.write()
        self.summary = []
        self.platform_flags = []

    def program(self, name):
        return self.programs / name

    def print_progress(self, text):
        print('demo: ' + text, flush=True)

    def add_result(self, name, value):
        self.summary.append((name, value))

    def start_daemon(self, name, *flags):
        self.group.start(name, [self.program('lycheetrestled'),
                                '--settings', self.files[name], *flags])

    def ctl(self, *arguments):
        """Runs lycheetrestlectl and returns its standard output."""
        result = subprocess.run(
            [self.program('lycheetrestlectl'), '--control', self.deployment.control_addresses(),
             '--actor', 'demo', *arguments], text=True, capture_output=True)
        if result.returncode != 0:
            raise StepError('lycheetrestlectl %s exited with code %d: %s'
                            % (' '.join(map(str, arguments)), result.returncode,
                               result.stderr.strip()))
        return result.stdout

    def ctl_json(self, *arguments):
        return json.loads(self.ctl(*arguments, '--output=json'))

    def start_platform(self):
        self.group.start('platform', [
            self.program('platform_standin'), '--port', self.deployment.platform_port,
            '--declaration', self.files['declaration'], '--max_seconds', MAX_RUNTIME_S,
            *self.platform_flags])

    def start_controls(self):
        for name in self.deployment.controls:
            self.start_daemon(name, '--init')
        self.wait_leader()
        # A replica that has joined the cluster restarts from its data folder,
        # without --init.
        self.stop_processes(['control-3'])
        self.start_daemon('control-3')
        self.wait_ready(self.deployment.controls)

    def wait_leader(self):
        def has_leader():
            self.group.check_all_running()
            return any((http_json(self.deployment.http_ports[name], '/v1/status') or {})
                       .get('leader') for name in self.deployment.controls)
        wait_until(has_leader, 'election of a leader')

    def wait_ready(self, names):
        def all_ready():
            self.group.check_all_running()
            return all(http_status(self.deployment.http_ports[name], '/readyz') == 200
                       for name in names)
        wait_until(all_ready, 'readiness of ' + ', '.join(names))

    def start_endpoint(self, host):
        pool = HOSTS[host]
        service = next(name for name in SERVICES if SERVICES[name] == pool)
        self.group.start('endpoint-' + host, [
            self.program('endpoint_standin'), '--name', 'endpoint-' + host,
            '--service', service, '--pool', pool, '--host', host,
            '--port', self.deployment.endpoint_ports[host],
            '--entries', self.deployment.entry_addresses(),
            '--service_ms', SERVICE_TIME_MS, '--max_seconds', MAX_RUNTIME_S,
            '--execution_file', self.folder / ('executions-%s.txt' % host)])

    def start_endpoints(self):
        for host in HOSTS:
            self.start_endpoint(host)

    def write_declaration(self, number):
        path = self.folder / ('declaration-%d.jsonc' % number)
        path.write_text(json.dumps(self.deployment.declaration(number), indent=2))
        return path

    def submit(self, number, name):
        path = self.write_declaration(number)
        started = time.monotonic()
        self.ctl('submit', path, '--wait')
        self.add_result(name, '%.2f s' % (time.monotonic() - started))

    def start_timed_load(self, name, addresses, *flags):
        """Starts the load client for the length of one load; finish_load() collects
        its report."""
        return self.group.start(name, [
            self.program('load_client'), '--entries', addresses, '--seconds', self.seconds,
            '--requests', 1000000, '--concurrency', 8,
            # An interrupted request must show in the report instead of being resent.
            '--resends', 0, *flags])

    def finish_load(self, process):
        """Waits until the load client exits and returns its report. Fails if any
        request was not executed or got an incomplete or foreign response."""
        code = process.wait(self.seconds + 120)
        del self.group.processes[process.name]
        report = json.loads(process.log.read_text())
        if code != 0:
            raise StepError('%s exited with code %s' % (process.name, code))
        for kind in ('not_run', 'may_have_run', 'timeout', 'lost', 'wrong'):
            if report[kind] != 0:
                raise StepError('%s: %d requests ended as %s: %s'
                                % (process.name, report[kind], kind, report['refusals']))
        if report['ran'] == 0:
            raise StepError('%s: no request ran' % process.name)
        return report

    def add_latency_result(self, name, report):
        latency = report['latency_ms']
        self.add_result(name, 'median %.1f ms, p99 %.1f ms, %d requests, %.0f/s'
                        % (latency['median'], latency['p99'], report['ran'],
                           report['ran_per_second']))

    def compare_latency(self):
        # Requests of a service wait until its endpoints have sent a heartbeat.
        wait_until(lambda: self.all_entries_serve('plots'), 'a response to the first request')
        self.add_latency_result('plots through the entries', self.finish_load(
            self.start_timed_load('load-entries', self.deployment.entry_addresses())))
        self.add_latency_result('plots direct', self.finish_load(
            self.start_timed_load('load-direct', self.deployment.endpoint_addresses('gate'),
                                  '--direct')))

    def all_entries_serve(self, service):
        """Returns whether every entry forwards a request of the service."""
        return all(http_status(self.deployment.http_ports[name],
                               '/services/%s/first' % service) == 200
                   for name in self.deployment.entries)

    def execution_count(self, host):
        """Returns how many requests the endpoint on the host has executed."""
        path = self.folder / ('executions-%s.txt' % host)
        return len(path.read_text().splitlines()) if path.exists() else 0

    def check_keys(self):
        """Fails unless each key was executed exactly once over all endpoints."""
        lines = [line for path in self.folder.glob('executions-*.txt')
                 for line in path.read_text().splitlines()]
        keys = [dict(part.split('=', 1) for part in line.split())['key'] for line in lines]
        counts = collections.Counter(key for key in keys if key)
        repeated = [key for key, count in counts.items() if count != 1]
        if repeated or not counts:
            raise StepError('%d of %d keys were not executed exactly once'
                            % (len(repeated), len(counts)))
        self.add_result('keyed requests', '%d, each executed once' % len(counts))

    def host_state(self, host):
        return next(record for record in self.ctl_json('hosts')['hosts']
                    if record['name'] == host)['state']

    def drain_host(self):
        load = self.start_timed_load('load-drain', self.deployment.entry_addresses(),
                                     '--keyed_percent', 20)
        before = self.execution_count(DRAINED_HOST)
        wait_until(lambda: self.execution_count(DRAINED_HOST) > before,
                   'a request on ' + DRAINED_HOST)
        self.ctl('drain', DRAINED_HOST)
        wait_until(lambda: self.host_state(DRAINED_HOST) == 'drained',
                   'draining of ' + DRAINED_HOST)
        at_drained = self.execution_count(DRAINED_HOST)
        still_loaded = load.is_running()
        report = self.finish_load(load)
        after = self.execution_count(DRAINED_HOST) - at_drained
        if not still_loaded:
            raise StepError('the load ended before the host was drained; increase --seconds')
        if after != 0:
            raise StepError('expected no request on the drained host, got %d' % after)
        self.add_result('drain of %s under load' % DRAINED_HOST,
                        '%d requests executed, 0 interrupted, 0 refused, 0 on the drained host'
                        % report['ran'])
        self.add_latency_result('plots during the drain', report)
        self.check_keys()

    def add_memory_results(self):
        roles = {'control': self.deployment.controls, 'entry': self.deployment.entries,
                 'endpoint stand-in': ['endpoint-' + host for host in HOSTS],
                 'platform stand-in': ['platform']}
        for role, names in roles.items():
            sizes = [self.group.processes[name].resident_kb() / 1024 for name in names]
            self.add_result('resident memory, ' + role,
                            ', '.join('%.1f MB' % size for size in sizes))

    def stop_processes(self, names):
        for name, code in self.group.terminate(names).items():
            if code != 0:
                raise StepError('%s exited with code %s after SIGTERM' % (name, code))

    def run(self):
        controls, entries = self.deployment.controls, self.deployment.entries
        self.print_progress('starting the platform stand-in and %d control replicas'
                            % len(controls))
        self.start_platform()
        self.start_controls()
        self.print_progress('starting %d entries and %d endpoints' % (len(entries), len(HOSTS)))
        for name in entries:
            self.start_daemon(name)
        self.start_endpoints()
        self.wait_ready(self.deployment.entries)
        self.print_progress('submitting the declaration')
        self.submit(1, 'submit to in force')
        self.print_progress('sending requests through the entries and directly')
        self.compare_latency()
        self.print_progress('submitting a change')
        self.submit(2, 'change to in force')
        self.print_progress('draining %s under load' % DRAINED_HOST)
        self.drain_host()
        self.group.check_all_running()
        self.add_memory_results()
        self.print_progress('stopping all processes')
        self.stop_processes(['endpoint-' + host for host in HOSTS])
        self.stop_processes(entries)
        self.stop_processes(controls)
        self.stop_processes(['platform'])
        self.add_result('exit codes after SIGTERM',
                        'all 0 (%d processes)' % (len(HOSTS) + len(entries) + len(controls) + 2))

    def print_summary(self):
        width = max(len(name) for name, _ in self.summary)
        print('\nSummary')
        for name, value in self.summary:
            print('  %s  %s' % (name.ljust(width), value))


def main():
    parser = argparse.ArgumentParser(description='Runs the main workflow on loopback.')
    parser.add_argument('--programs', type=pathlib.Path, required=True)
    parser.add_argument('--folder', type=pathlib.Path, required=True)
    parser.add_argument('--seconds', type=int, default=8, help='length of each load')
    arguments = parser.parse_args()
    folder = arguments.folder.resolve()
    shutil.rmtree(folder, ignore_errors=True)
    (folder / 'data').mkdir(parents=True)
    with ProcessGroup(folder, MAX_RUNTIME_S) as group:
        demo = Demo(arguments, group)
        try:
            demo.run()
        except StepError as failure:
            print('demo: FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(), file=sys.stderr)
            return 1
        demo.print_summary()
    return 0


if __name__ == '__main__':
    sys.exit(main())
