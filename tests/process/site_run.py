"""A deployment of schedulers, gateways and endpoint stand-ins as real processes, each
on its own loopback address."""

import http.client
import json
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import Process, StepError, wait_until  # noqa: E402

CONTROL_PORT, LINK_PORT, GATEWAY_PORT, READY_PORT, ENDPOINT_PORT = 7801, 7802, 7804, 7805, 7807
HOST, PREFIX, SERVICE = 'q.example', '/jobs/', 'svc'

# Loopback nets of tests; the soaks use 100 and above, by seed.
NETS = range(64, 100)
NET_LOCK_PORT = 7800
net_locks = []


def reserve_net():
    """Returns a loopback net that no concurrent test uses. A bound socket, which is open
    until this process ends, is the lock of the net."""
    for net in random.sample(NETS, len(NETS)):
        lock = socket.socket()
        try:
            lock.bind(('127.%d.0.254' % net, NET_LOCK_PORT))
        except OSError:
            lock.close()
            continue
        net_locks.append(lock)
        return net
    raise StepError('every loopback net is reserved')


class SiteDeployment:
    """Starts the processes of one deployment and sends requests to them. Addresses are
    127.NET.0.INDEX: concurrent tests use different nets and the same ports, see
    reserve_net()."""

    def __init__(self, programs, folder, net, group):
        self.programs, self.net, self.group = pathlib.Path(programs), net, group
        self.folder = pathlib.Path(folder)
        self.jobs = 0
        self.daemon_type = Process
        self.tolerated_losses = 1
        self.storage = {}  # Settings of the storage of schedulers.

    def ip(self, index):
        return '127.%d.0.%d' % (self.net, index)

    def control_address(self, index):
        return '%s:%d' % (self.ip(index), CONTROL_PORT)

    def start_daemon(self, name, settings):
        path = self.folder / (name + '.jsonc')
        path.write_text(json.dumps(settings))
        return self.group.start(name, [self.programs / 'lycheetrestled',
                                       '--settings=%s' % path], self.daemon_type)

    def start_scheduler(self, index, seeds, founding, own_endpoints=60, has_disk=True):
        """Without a disk, the scheduler has no data folder."""
        data = self.folder / ('data-%d' % index)
        data.mkdir(exist_ok=True)
        return self.start_daemon('scheduler-%d' % index, {
            'role': 'scheduler', 'name': 's%d' % index, 'address': self.ip(index),
            'listen': self.control_address(index), 'link_port': LINK_PORT,
            'seeds': [self.control_address(seed) for seed in seeds], 'founding': founding,
            'data_folder': str(data) if has_disk else '',
            'tolerated_losses': self.tolerated_losses, 'timing': {'beat_ms': 500},
            'sending': {'own_endpoints': own_endpoints}, 'storage': self.storage,
            'log': {'level': 'debug'}})

    def start_gateway(self, index, seeds):
        ip = self.ip(index)
        return self.start_daemon('gateway-%d' % index, {
            'role': 'gateway', 'name': 'g%d' % index, 'address': ip,
            'listen': '%s:%d' % (ip, GATEWAY_PORT), 'readiness': '%s:%d' % (ip, READY_PORT),
            'link_port': LINK_PORT + 1, 'scheduler_link_port': LINK_PORT,
            'seeds': [self.control_address(seed) for seed in seeds]})

    def start_endpoint(self, index, controls, announced=None):
        own = '%s:%d' % (self.ip(index), ENDPOINT_PORT)
        return self.group.start('endpoint-%d' % index, [
            sys.executable, '-B', ROOT / 'standin' / 'site_endpoint.py', own,
            '--announced=%s' % (announced or own), 'i-%d' % index, SERVICE]
            + [self.control_address(control) for control in controls])

    def kill(self, name, number=signal.SIGKILL):
        process = self.group.processes.pop(name)
        process.send_signal(number)
        process.wait(20)

    def wipe(self, index):
        """Deletes the data folder of a scheduler, as after the loss of its disk."""
        shutil.rmtree(self.folder / ('data-%d' % index))

    def request(self, address, method, path, body=None, host=None, redirects=2):
        """Returns (status, document), or (0, None) without a response."""
        connection = http.client.HTTPConnection(address, timeout=3)
        try:
            data = json.dumps(body) if body is not None else None
            connection.request(method, path, data, {'Host': host} if host else {})
            reply = connection.getresponse()
            text = reply.read()
            if reply.status == 307 and redirects > 0:
                target = reply.getheader('Location').split('/')[2]
                return self.request(target, method, path, body, host, redirects - 1)
            return reply.status, json.loads(text) if text else None
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def replace_configuration(self, version, index):
        """Replaces the configuration at a scheduler and returns the HTTP status."""
        return self.request(self.control_address(index), 'POST', '/-/config/replace',
                            self.configuration(version))[0]

    def configuration(self, version):
        return {'version': version, 'routes': [{
            'name': 'r', 'host': HOST, 'pathPrefix': PREFIX, 'timeoutMs': 3000,
            'targetLatencyMs': 600, 'priority': 0, 'service': SERVICE, 'maxAttempts': 2,
            'slackFactor': 2}], 'services': [{'name': SERVICE, 'enforceLimits': True}]}

    def configure(self, version, indices):
        """Replaces the configuration at any of the schedulers, with retries."""
        wait_until(lambda: any(self.replace_configuration(version, index) == 200
                               for index in indices),
                   'acknowledgement of configuration %d' % version)

    def read_version(self, index):
        """Returns the configuration version read at a scheduler, or None."""
        status, document = self.request(self.control_address(index), 'GET', '/-/config/read')
        return document['version'] if status == 200 else None

    def gateway_request(self, gateway, method, path, body=None):
        return self.request('%s:%d' % (self.ip(gateway), GATEWAY_PORT), method, path, body, HOST)

    def run_job(self, gateway, tasks=3):
        """Submits a job until it is accepted and waits until it is complete."""
        self.jobs += 1
        path = '%s%016x' % (PREFIX, self.jobs)
        body = {'spec': 'x', 'phases': [{'count': tasks, 'cpu': 100, 'estimateMs': 200}]}
        wait_until(lambda: self.gateway_request(gateway, 'POST', path, body)[0] == 200,
                   'acceptance of job %d' % self.jobs)
        wait_until(lambda: self.gateway_request(gateway, 'GET', path)[1] == {'state': 'complete'},
                   'completion of job %d' % self.jobs)
        return path

    def run_ctl(self, index, *arguments):
        """Runs lycheetrestlectl against a scheduler and returns its JSON output."""
        result = subprocess.run(
            [self.programs / 'lycheetrestlectl', '--control=' + self.control_address(index),
             '--output=json', *arguments], text=True, capture_output=True, timeout=30)
        if result.returncode != 0:
            raise StepError('%s: exit code %d: %s' % (arguments, result.returncode, result.stderr))
        return json.loads(result.stdout)

    def started_runs(self):
        """Returns every run that an endpoint started, as (task, attempt)."""
        result = []
        for name, process in self.group.processes.items():
            if name.startswith('endpoint'):
                result += [tuple(line.split()[1:3]) for line in
                           process.log.read_text().splitlines() if line.startswith('start')]
        return result

    def check_started_once(self):
        started_runs = self.started_runs()
        tasks = [task for task, _ in started_runs]
        if len(tasks) != len(set(tasks)):
            raise StepError('expected one start of each task, got %s' % started_runs)
