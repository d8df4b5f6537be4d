"""Randomized fault-injection test of schedulers, gateways and endpoint stand-ins as
real processes. Processes are paused, killed, terminated and restarted, schedulers lose
their disks, and proxies delay, reset or drop (in both directions or in one) the
connections to endpoints. Faults overlap. Meanwhile callers submit jobs and an operator
replaces the configuration.

Guards against jobs that are lost after they were accepted, tasks that run twice
concurrently, again after an acknowledged end or although they were refused, and a
configuration that reverts to an older version. Afterwards the responses to the callers
are compared with the runs that the endpoints executed.

Usage: soak.py FOLDER_OF_PROGRAMS FOLDER SEED... [--seconds N] [--net N]
"""

import argparse
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parent / 'process')]
from callers import Callers  # noqa: E402
from fault_proxy import FaultProxy  # noqa: E402
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from run_check import RunCheck  # noqa: E402
from site_run import ENDPOINT_PORT, SiteDeployment, reserve_net  # noqa: E402

SCHEDULERS, GATEWAYS, ENDPOINTS = [1, 2, 3], [8, 9], [10, 11, 12, 13]
CALLER_COUNT = 3
# Every accepted job must be complete within this time after the last fault.
COMPLETION_TIMEOUT_S = 60


class FaultInjector:
    """Starts a deployment and injects random faults, each with a scheduled recovery."""

    def __init__(self, deployment, seed):
        self.deployment, self.random = deployment, random.Random(seed)
        self.recoveries = []  # (time, description, function) of each fault
        self.unavailable = set()  # Schedulers that are stopped, paused or catching up
        self.own_endpoints = self.random.choice([0, 1, 60])
        self.proxies = {}

    def start(self):
        for index in self.random.sample(SCHEDULERS, len(SCHEDULERS)):
            self.start_scheduler(index, True)
        for index in GATEWAYS:
            self.deployment.start_gateway(index, SCHEDULERS)
        for index in ENDPOINTS:
            listen = (self.deployment.ip(index), ENDPOINT_PORT + 1)
            self.proxies[index] = FaultProxy(listen, (self.deployment.ip(index), ENDPOINT_PORT))
            self.start_endpoint(index)
        self.deployment.configure(1, SCHEDULERS)

    def start_scheduler(self, index, founding=False):
        self.deployment.start_scheduler(index, SCHEDULERS, founding, self.own_endpoints)

    def start_endpoint(self, index):
        announced = '%s:%d' % (self.deployment.ip(index), ENDPOINT_PORT + 1)
        controls = self.random.sample(SCHEDULERS, len(SCHEDULERS))
        self.deployment.start_endpoint(index, controls, announced)

    def inject_faults(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(self.random.uniform(0.2, 1.0))
            self.recover(time.monotonic())
            inject_fault = self.random.choice([
                self.inject_scheduler_fault, self.inject_gateway_fault,
                self.inject_endpoint_fault, self.inject_link_fault, self.inject_link_fault])
            inject_fault()
        self.recover(float('inf'))

    def schedule_recovery(self, description, function):
        """Schedules the end of a fault after a random duration."""
        duration_s = self.random.uniform(0.3, 4)
        print('%.3f %s for %.2f s' % (time.monotonic(), description, duration_s), flush=True)
        self.recoveries.append((time.monotonic() + duration_s, description, function))

    def recover(self, now):
        """Ends the faults that are due."""
        due = [item for item in self.recoveries if item[0] <= now]
        self.recoveries = [item for item in self.recoveries if item[0] > now]
        for _, description, function in due:
            print('%.3f end of %s' % (time.monotonic(), description), flush=True)
            function()

    def inject_scheduler_fault(self):
        # Only one scheduler may be unavailable at a time, or there is no majority. One
        # that lost its disk counts until it has caught up.
        index = self.random.choice(SCHEDULERS)
        name = 'scheduler-%d' % index
        if self.unavailable:
            return
        self.unavailable.add(index)
        kind = self.random.choice(['pause', 'kill', 'term', 'wipe'])
        if kind == 'pause':
            process = self.deployment.group.processes[name]
            process.send_signal(signal.SIGSTOP)
            self.schedule_recovery('pause ' + name, lambda: (process.send_signal(signal.SIGCONT),
                                                             self.unavailable.discard(index)))
            return
        self.deployment.kill(name, signal.SIGTERM if kind == 'term' else signal.SIGKILL)
        if kind == 'wipe':
            self.deployment.wipe(index)

        def restart():
            self.start_scheduler(index)
            if kind == 'wipe':
                self.recoveries.append((time.monotonic() + 4, 'catching up of ' + name,
                                        lambda: self.unavailable.discard(index)))
            else:
                self.unavailable.discard(index)
        self.schedule_recovery(kind + ' ' + name, restart)

    def inject_gateway_fault(self):
        index = self.random.choice(GATEWAYS)
        name = 'gateway-%d' % index
        if any(name in description for _, description, _ in self.recoveries):
            return
        number = self.random.choice([signal.SIGKILL, signal.SIGTERM])
        self.deployment.kill(name, number)
        self.schedule_recovery('stop ' + name,
                               lambda: self.deployment.start_gateway(index, SCHEDULERS))

    def inject_endpoint_fault(self):
        index = self.random.choice(ENDPOINTS)
        name = 'endpoint-%d' % index
        if any(name in description for _, description, _ in self.recoveries):
            return
        process = self.deployment.group.processes[name]
        if self.random.random() < 0.5:
            process.send_signal(signal.SIGSTOP)
            self.schedule_recovery('pause ' + name, lambda: process.send_signal(signal.SIGCONT))
            return
        self.deployment.kill(name)
        with open(process.log, 'a') as log:
            log.write('killed %f\n' % time.monotonic())
        self.schedule_recovery('kill ' + name, lambda: self.start_endpoint(index))

    def inject_link_fault(self):
        index = self.random.choice(ENDPOINTS)
        proxy = self.proxies[index]
        kind = self.random.choice(['delay', 'silent', 'one_way', 'reset'])
        if kind == 'reset':
            print('%.3f reset connections to endpoint %d' % (time.monotonic(), index), flush=True)
            proxy.reset_connections()
            return
        if kind == 'delay':
            proxy.delay_s = self.random.uniform(0.01, 0.4)
        else:
            setattr(proxy, kind, True)
        self.schedule_recovery('%s link %d' % (kind, index), proxy.heal)


def run(programs, folder, seed, seconds, net):
    """Runs the test with one seed and returns a text for each violation."""
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, int(seconds) + 3 * COMPLETION_TIMEOUT_S) as group, \
            contextlib.ExitStack() as proxy_cleanup:
        deployment = SiteDeployment(programs, folder, net, group)
        injector = FaultInjector(deployment, seed)
        injector.start()
        for proxy in injector.proxies.values():
            proxy_cleanup.callback(proxy.close)
        callers = Callers(deployment, GATEWAYS, SCHEDULERS, seed)
        callers.acknowledged = 1
        callers.start(CALLER_COUNT)
        try:
            injector.inject_faults(seconds)
        finally:
            callers.stop()
        violations = callers.violations
        incomplete = [job for job in callers.accepted if job not in callers.cancelled]

        def all_complete():
            incomplete[:] = [job for job in incomplete if not callers.check_state(job)]
            return not incomplete
        try:
            wait_until(all_complete, 'completion of all jobs', COMPLETION_TIMEOUT_S, 0.3)
        except StepError:
            violations += ['%s is not complete' % job for job in incomplete]
        # The last acknowledgements of ends may still be in flight.
        time.sleep(2)
        check = RunCheck(sorted(pathlib.Path(folder).glob('endpoint-*.log')))
        violations += check.violations(callers)
        print('seed %d: %d jobs accepted, %d refused, %d cancelled, %d tasks, version %d, '
              'own endpoints %d, %d violations' % (
                  seed, len(callers.accepted), len(callers.refused), len(callers.cancelled),
                  len(check.intervals), callers.acknowledged, injector.own_endpoints,
                  len(violations)),
              flush=True)
        if len(callers.accepted) < 3:
            violations.append('expected at least 3 accepted jobs, got %d' % len(callers.accepted))
    return violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--net', type=int, help='loopback net 127.N (default: a free one)')
    options = parser.parse_args()
    failed = False
    for seed in options.seeds:
        folder = options.folder.absolute() / ('seed-%d' % seed)
        violations = run(options.programs.absolute(), folder, seed, options.seconds,
                         options.net or reserve_net())
        for line in violations[:20]:
            print('VIOLATION seed %d: %s' % (seed, line), flush=True)
        failed = failed or bool(violations)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
