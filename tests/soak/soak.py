"""Random faults against schedulers, gateways and endpoint stand-ins as real
processes: they are paused, killed, stopped and started again, disks are lost,
and proxies hold up, reset, silence or cut one way the connections to endpoints.
Faults come in series and overlap. All the while callers submit jobs and an
operator replaces the configuration; afterwards everything is compared with what
callers were told and what endpoints ran.

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
from processes import Failed, ProcessGroup, wait_until  # noqa: E402
from run_check import RunCheck  # noqa: E402
from site_run import ENDPOINT_PORT, Site  # noqa: E402

SCHEDULERS, GATEWAYS, ENDPOINTS = [1, 2, 3], [8, 9], [10, 11, 12, 13]
CALLERS = 3
# Everything that was accepted must be complete so long after the last fault.
FINISH_S = 60


class Soak:
    def __init__(self, site, seed):
        self.site, self.random = site, random.Random(seed)
        self.healing = []  # (time, name, function), by fault
        self.down = set()  # Schedulers that are stopped, paused or without a disk
        self.own_endpoints = self.random.choice([0, 1, 60])
        self.proxies = {}

    def start(self):
        for index in self.random.sample(SCHEDULERS, len(SCHEDULERS)):
            self.start_scheduler(index, True)
        for index in GATEWAYS:
            self.site.start_gateway(index, SCHEDULERS)
        for index in ENDPOINTS:
            listen = (self.site.ip(index), ENDPOINT_PORT + 1)
            self.proxies[index] = FaultProxy(listen, (self.site.ip(index), ENDPOINT_PORT))
            self.start_endpoint(index)
        self.site.configure(1, SCHEDULERS)

    def start_scheduler(self, index, founding=False):
        self.site.start_scheduler(index, SCHEDULERS, founding, self.own_endpoints)

    def start_endpoint(self, index):
        announced = '%s:%d' % (self.site.ip(index), ENDPOINT_PORT + 1)
        controls = self.random.sample(SCHEDULERS, len(SCHEDULERS))
        self.site.start_endpoint(index, controls, announced)

    def play(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.random.uniform(0.2, 1.0))
            self.heal(time.monotonic())
            fault = self.random.choice([self.scheduler_fault, self.gateway_fault,
                                        self.endpoint_fault, self.link_fault, self.link_fault])
            fault()
        self.heal(float('inf'))

    def later(self, what, function):
        lasts = self.random.uniform(0.3, 4)
        print('%.3f %s for %.2f s' % (time.monotonic(), what, lasts), flush=True)
        self.healing.append((time.monotonic() + lasts, what, function))

    def heal(self, now):
        due = [item for item in self.healing if item[0] <= now]
        self.healing = [item for item in self.healing if item[0] > now]
        for _, what, function in due:
            print('%.3f end of %s' % (time.monotonic(), what), flush=True)
            function()

    def scheduler_fault(self):
        # One may be lost at once; a lost disk counts until it has caught up.
        index = self.random.choice(SCHEDULERS)
        name = 'scheduler-%d' % index
        if self.down:
            return
        self.down.add(index)
        kind = self.random.choice(['pause', 'kill', 'term', 'wipe'])
        if kind == 'pause':
            process = self.site.group.processes[name]
            process.signal(signal.SIGSTOP)
            self.later('pause ' + name, lambda: (process.signal(signal.SIGCONT),
                                                 self.down.discard(index)))
            return
        self.site.kill(name, signal.SIGTERM if kind == 'term' else signal.SIGKILL)
        if kind == 'wipe':
            self.site.wipe(index)

        def again():
            self.start_scheduler(index)
            if kind == 'wipe':
                self.healing.append((time.monotonic() + 4, 'catching up of ' + name,
                                     lambda: self.down.discard(index)))
            else:
                self.down.discard(index)
        self.later(kind + ' ' + name, again)

    def gateway_fault(self):
        index = self.random.choice(GATEWAYS)
        name = 'gateway-%d' % index
        if any(name in what for _, what, _ in self.healing):
            return
        number = self.random.choice([signal.SIGKILL, signal.SIGTERM])
        self.site.kill(name, number)
        self.later('end ' + name, lambda: self.site.start_gateway(index, SCHEDULERS))

    def endpoint_fault(self):
        index = self.random.choice(ENDPOINTS)
        name = 'endpoint-%d' % index
        if any(name in what for _, what, _ in self.healing):
            return
        process = self.site.group.processes[name]
        if self.random.random() < 0.5:
            process.signal(signal.SIGSTOP)
            self.later('pause ' + name, lambda: process.signal(signal.SIGCONT))
            return
        self.site.kill(name)
        with open(process.log, 'a') as log:
            log.write('killed %f\n' % time.monotonic())
        self.later('kill ' + name, lambda: self.start_endpoint(index))

    def link_fault(self):
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
        self.later('%s link %d' % (kind, index), proxy.heal)


def run(programs, folder, seed, seconds, net):
    """Returns what was broken."""
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, int(seconds) + 3 * FINISH_S) as group, \
            contextlib.ExitStack() as links:
        site = Site(programs, folder, net, group)
        soak = Soak(site, seed)
        soak.start()
        for proxy in soak.proxies.values():
            links.callback(proxy.close)
        callers = Callers(site, GATEWAYS, SCHEDULERS, seed)
        callers.acknowledged = 1
        callers.start(CALLERS)
        try:
            soak.play(seconds)
        finally:
            callers.stop()
        broken = callers.broken
        waiting = [job for job in callers.accepted if job not in callers.cancelled]

        def finish():
            waiting[:] = [job for job in waiting if not callers.check_state(job)]
            return not waiting
        try:
            wait_until(finish, 'completing all jobs', FINISH_S, 0.3)
        except Failed:
            broken += ['%s is not complete' % job for job in waiting]
        # The last acknowledgements of ends are on their way.
        time.sleep(2)
        check = RunCheck(sorted(pathlib.Path(folder).glob('endpoint-*.log')))
        broken += check.broken(callers)
        print('seed %d: %d jobs accepted, %d refused, %d cancelled, %d tasks, version %d, '
              'own endpoints %d, %d broken' % (
                  seed, len(callers.accepted), len(callers.refused), len(callers.cancelled),
                  len(check.intervals), callers.acknowledged, soak.own_endpoints, len(broken)),
              flush=True)
        if len(callers.accepted) < 3:
            broken.append('only %d jobs were accepted' % len(callers.accepted))
    return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--net', type=int, default=91, help='loopback net 127.N')
    options = parser.parse_args()
    failed = False
    for seed in options.seeds:
        folder = options.folder.absolute() / ('seed-%d' % seed)
        broken = run(options.programs.absolute(), folder, seed, options.seconds, options.net)
        for line in broken[:20]:
            print('BROKEN seed %d: %s' % (seed, line), flush=True)
        failed = failed or bool(broken)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
