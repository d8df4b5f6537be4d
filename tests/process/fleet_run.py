"""Fault injection on a deployment of real processes, and the checks that all fault
tests share. Extends the demo, so that both start processes in the same way."""

import argparse
import collections
import json
import pathlib
import shutil
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / 'demo'))
from run import Demo, HOSTS  # noqa: E402, F401
from processes import ProcessGroup, StepError, http_json, wait_until  # noqa: E402

LOAD_TIMEOUT_S = 240


def parse_fields(line):
    """Returns the `name=value` pairs of a line."""
    return dict(part.split('=', 1) for part in line.split())


class FleetRun(Demo):
    """Starts all processes, injects the faults of a test, and checks the outcome."""

    def __init__(self, arguments, group, controls=5, entries=12):
        super().__init__(arguments, group,
                         ['control-%d' % n for n in range(1, controls + 1)],
                         ['entry-%d' % n for n in range(1, entries + 1)])

    def start_all(self):
        self.start_platform()
        self.start_controls()
        for name in self.deployment.entries:
            self.start_daemon(name)
        self.start_endpoints()
        self.submit(1, 'submit to in force')
        self.wait_ready(self.deployment.entries)
        wait_until(lambda: self.all_entries_serve('plots'), 'a response to the first request')

    def start_load(self, name, requests, *flags):
        """Starts the load client for a number of requests; collect_report() or
        stop_load() returns its report, check_requests() checks it."""
        return self.group.start(name, [
            self.program('load_client'), '--entries', self.deployment.entry_addresses(),
            '--seconds', LOAD_TIMEOUT_S, '--requests', requests,
            '--report_file', self.folder / (name + '.txt'), *flags])

    def find_leader(self):
        """Returns the name of the leader, or None when no running replica leads."""
        for name in self.deployment.controls:
            if name not in self.group.processes:
                continue
            status = http_json(self.deployment.http_ports[name], '/v1/replicas')
            if status and status.get('role') == 'leader':
                return name
        return None

    def wait_any_leader(self):
        return wait_until(self.find_leader, 'election of a leader')

    def kill(self, name):
        self.group.processes[name].send_signal(signal.SIGKILL)
        self.group.processes.pop(name).wait(10)

    def freeze(self, name):
        self.group.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.group.processes[name].send_signal(signal.SIGCONT)

    def execution_counts_by(self, field):
        """Returns how often each value of `id` or `key` was executed, over all endpoints."""
        counts = collections.Counter()
        for path in self.folder.glob('executions-*.txt'):
            for line in path.read_text().splitlines():
                value = parse_fields(line)[field]
                if value:
                    counts[value] += 1
        return counts

    def collect_report(self, process):
        """Waits until the load client exits and returns its report."""
        code = process.wait(LOAD_TIMEOUT_S + 60)
        self.group.processes.pop(process.name)
        if code != 0:
            raise StepError('%s exited with code %s:\n%s' % (process.name, code, process.tail()))
        return json.loads(process.log.read_text())

    def stop_load(self, process):
        """Stops the load client by SIGTERM, after which it completes the requests in
        flight, and returns its report."""
        if not process.is_running():
            raise StepError('the load client exited before it was stopped:\n' + process.tail())
        process.send_signal(signal.SIGTERM)
        return self.collect_report(process)

    def request_records(self, name):
        lines = (self.folder / (name + '.txt')).read_text().splitlines()
        return [parse_fields(line) for line in lines]

    def attempt_verdict_counts(self, name):
        """Returns the number of attempts by verdict, over all requests of a load."""
        return collections.Counter(kind for request in self.request_records(name)
                                   for kind in request['verdicts'].split(','))

    def check_requests(self, name):
        """Compares the verdicts of a load with the executions of the endpoints: no key
        executed twice, nothing executed that was refused, and nothing reported as
        executed that was not. Returns the number of requests by final verdict."""
        keys, ids = self.execution_counts_by('key'), self.execution_counts_by('id')
        verdict_counts = collections.Counter()
        for request in self.request_records(name):
            attempts = request['verdicts'].split(',')
            verdict_counts[attempts[-1]] += 1
            run_count = keys[request['key']] if request['key'] else ids[request['id']]
            if request['key'] and run_count > 1:
                raise StepError('key %s: expected at most one execution, got %d'
                                % (request['key'], run_count))
            if set(attempts) == {'not-run'} and run_count != 0:
                raise StepError('%s was refused as not run and executed %d times'
                                % (request['id'], run_count))
            if attempts[-1] == 'ran' and run_count == 0:
                raise StepError('%s was reported as run and not executed' % request['id'])
        return verdict_counts


def run_test(test, controls=5, entries=12, prepare=None):
    """Runs a test with programs and folder from the command line: prepare(fleet), if
    any, then the start of all processes, then test(fleet, arguments). Returns the
    exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('--seconds', type=int, default=5)
    parser.add_argument('--requests', type=int, default=2000)
    arguments = parser.parse_args()
    folder = arguments.folder.resolve()
    shutil.rmtree(folder, ignore_errors=True)
    (folder / 'data').mkdir(parents=True)
    started = time.monotonic()
    with ProcessGroup(folder, 400) as group:
        fleet = FleetRun(arguments, group, controls, entries)
        try:
            if prepare:
                prepare(fleet)
            fleet.start_all()
            test(fleet, arguments)
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(5), file=sys.stderr)
            return 1
    print('passed in %.0f s' % (time.monotonic() - started))
    return 0
