"""The main workflow; see run.sh."""

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
from processes import Failed, ProcessGroup, free_ports, http_json, http_status, wait_until  # noqa: E402

DRAINED_HOST = 'w01'
SERVICE_MS = 20
# Stand-ins end by themselves after this time, even when the demo is killed.
MAX_SECONDS = 300


class Demo:
    def __init__(self, arguments, group, controls=CONTROLS, entries=ENTRIES):
        self.programs = arguments.programs.resolve()
        self.seconds = arguments.seconds
        self.folder = group.folder
        self.group = group
        self.deployment = Deployment(self.folder, free_ports, controls, entries)
        self.files = self.deployment.write()
        self.summary = []
        self.platform_flags = []

    def program(self, name):
        return self.programs / name

    def say(self, text):
        print('demo: ' + text, flush=True)

    def note(self, name, value):
        self.summary.append((name, value))

    def start_daemon(self, name, *flags):
        self.group.start(name, [self.program('lycheetrestled'),
                                '--settings', self.files[name], *flags])

    def ctl(self, *arguments):
        """Runs the operators' tool and returns its standard output."""
        result = subprocess.run(
            [self.program('lycheetrestlectl'), '--control', self.deployment.control_option(),
             '--actor', 'demo', *arguments], text=True, capture_output=True)
        if result.returncode != 0:
            raise Failed('lycheetrestlectl %s gave %d: %s'
                         % (' '.join(map(str, arguments)), result.returncode, result.stderr.strip()))
        return result.stdout

    def ctl_json(self, *arguments):
        return json.loads(self.ctl(*arguments, '--output=json'))

    def start_platform(self):
        self.group.start('platform', [
            self.program('platform_standin'), '--port', self.deployment.platform,
            '--declaration', self.files['declaration'], '--max_seconds', MAX_SECONDS,
            *self.platform_flags])

    def start_controls(self):
        for name in self.deployment.controls:
            self.start_daemon(name, '--init')
        self.wait_leader()
        # A founded replica starts from its data folder, without --init.
        self.end(['control-3'])
        self.start_daemon('control-3')
        self.wait_ready(self.deployment.controls)

    def wait_leader(self):
        def leads():
            self.group.check_alive()
            return any((http_json(self.deployment.http[name], '/v1/status') or {}).get('leader')
                       for name in self.deployment.controls)
        wait_until(leads, 'a leader')

    def wait_ready(self, names):
        def ready():
            self.group.check_alive()
            return all(http_status(self.deployment.http[name], '/readyz') == 200
                       for name in names)
        wait_until(ready, 'readiness of ' + ', '.join(names))

    def start_endpoint(self, host):
        pool = HOSTS[host]
        service = next(name for name in SERVICES if SERVICES[name] == pool)
        self.group.start('endpoint-' + host, [
            self.program('endpoint_standin'), '--name', 'endpoint-' + host,
            '--service', service, '--pool', pool, '--host', host,
            '--port', self.deployment.endpoint[host],
            '--entries', self.deployment.entry_list(),
            '--service_ms', SERVICE_MS, '--max_seconds', MAX_SECONDS,
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
        begun = time.monotonic()
        self.ctl('submit', path, '--wait')
        self.note(name, '%.2f s' % (time.monotonic() - begun))

    def load(self, name, addresses, *flags):
        """Starts the load client; finish_load() takes its report."""
        return self.group.start(name, [
            self.program('load_client'), '--entries', addresses, '--seconds', self.seconds,
            '--requests', 1000000, '--concurrency', 8,
            # A request that is cut must be seen here, not sent again.
            '--resends', 0, *flags])

    def finish_load(self, process):
        code = process.wait(self.seconds + 120)
        del self.group.processes[process.name]
        report = json.loads(process.log.read_text())
        if code != 0:
            raise Failed('%s ended with %s' % (process.name, code))
        # Every request must have run, been whole and been its own.
        for kind in ('not_run', 'may_have_run', 'timeout', 'lost', 'wrong'):
            if report[kind] != 0:
                raise Failed('%s: %d requests ended as %s: %s'
                             % (process.name, report[kind], kind, report['refusals']))
        if report['ran'] == 0:
            raise Failed('%s: no request ran' % process.name)
        return report

    def note_latency(self, name, report):
        latency = report['latency_ms']
        self.note(name, 'median %.1f ms, p99 %.1f ms, %d requests, %.0f/s'
                  % (latency['median'], latency['p99'], report['ran'], report['ran_per_second']))

    def compare(self):
        # The first request of a service waits until its endpoints are announced.
        wait_until(lambda: self.serves('plots'), 'the first request')
        self.note_latency('plots through the entries', self.finish_load(
            self.load('load-entries', self.deployment.entry_list())))
        self.note_latency('plots direct', self.finish_load(
            self.load('load-direct', self.deployment.endpoint_list('gate'), '--direct')))

    def serves(self, service):
        return all(http_status(self.deployment.http[name], '/services/%s/first' % service) == 200
                   for name in self.deployment.entries)

    def executions(self, host):
        path = self.folder / ('executions-%s.txt' % host)
        return len(path.read_text().splitlines()) if path.exists() else 0

    def check_keys(self):
        """Every key must have run exactly once over all endpoints."""
        lines = [line for path in self.folder.glob('executions-*.txt')
                 for line in path.read_text().splitlines()]
        keys = [dict(part.split('=', 1) for part in line.split())['key'] for line in lines]
        counts = collections.Counter(key for key in keys if key)
        repeated = [key for key, count in counts.items() if count != 1]
        if repeated or not counts:
            raise Failed('%d of %d keys ran more than once' % (len(repeated), len(counts)))
        self.note('keyed requests', '%d, each ran once' % len(counts))

    def host_state(self, host):
        return next(record for record in self.ctl_json('hosts')['hosts']
                    if record['name'] == host)['state']

    def drain(self):
        load = self.load('load-drain', self.deployment.entry_list(), '--keyed_percent', 20)
        before = self.executions(DRAINED_HOST)
        wait_until(lambda: self.executions(DRAINED_HOST) > before, 'work on ' + DRAINED_HOST)
        self.ctl('drain', DRAINED_HOST)
        wait_until(lambda: self.host_state(DRAINED_HOST) == 'drained',
                   'draining of ' + DRAINED_HOST)
        at_drained = self.executions(DRAINED_HOST)
        still_loaded = load.alive()
        report = self.finish_load(load)
        after = self.executions(DRAINED_HOST) - at_drained
        if not still_loaded:
            raise Failed('the load ended before the host was drained; use more --seconds')
        if after != 0:
            raise Failed('%d requests ran on the drained host' % after)
        self.note('drain of %s under load' % DRAINED_HOST,
                  '%d requests ran, 0 cut, 0 refused, 0 on the drained host' % report['ran'])
        self.note_latency('plots during the drain', report)
        self.check_keys()

    def note_memory(self):
        roles = {'control': self.deployment.controls, 'entry': self.deployment.entries,
                 'endpoint stand-in': ['endpoint-' + host for host in HOSTS],
                 'platform stand-in': ['platform']}
        for role, names in roles.items():
            sizes = [self.group.processes[name].resident_kb() / 1024 for name in names]
            self.note('resident memory, ' + role, ', '.join('%.1f MB' % size for size in sizes))

    def end(self, names):
        for name, code in self.group.end(names).items():
            if code != 0:
                raise Failed('%s ended with %s after SIGTERM' % (name, code))

    def run(self):
        controls, entries = self.deployment.controls, self.deployment.entries
        self.say('starting the platform stand-in and %d control replicas' % len(controls))
        self.start_platform()
        self.start_controls()
        self.say('starting %d entries and %d endpoints' % (len(entries), len(HOSTS)))
        for name in entries:
            self.start_daemon(name)
        self.start_endpoints()
        self.wait_ready(self.deployment.entries)
        self.say('submitting the declaration')
        self.submit(1, 'submit to in force')
        self.say('sending requests through the entries and directly')
        self.compare()
        self.say('submitting a change')
        self.submit(2, 'change to in force')
        self.say('draining %s under load' % DRAINED_HOST)
        self.drain()
        self.group.check_alive()
        self.note_memory()
        self.say('ending all processes')
        self.end(['endpoint-' + host for host in HOSTS])
        self.end(entries)
        self.end(controls)
        self.end(['platform'])
        self.note('exit codes after SIGTERM',
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
    with ProcessGroup(folder, MAX_SECONDS) as group:
        demo = Demo(arguments, group)
        try:
            demo.run()
        except Failed as failure:
            print('demo: FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(), file=sys.stderr)
            return 1
        demo.print_summary()
    return 0


if __name__ == '__main__':
    sys.exit(main())
