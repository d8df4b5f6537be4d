"""Load of the soak: callers and an operator, with the responses that they received."""

import random
import threading
import time

HOST, PREFIX = 'q.example', '/jobs/'
RETRY_INTERVAL_S = 0.2
STATES = ['queued', 'running', 'complete']


class Callers:
    """Submits jobs and polls their states through random gateways, replaces the
    configuration at random schedulers and reads it back. Records violations: an
    accepted job that is unknown or in an unexpected state, a complete job that becomes
    incomplete, and a configuration that reverts to an older version."""

    def __init__(self, deployment, gateways, schedulers, seed):
        self.deployment, self.gateways, self.schedulers = deployment, gateways, schedulers
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.accepted, self.refused, self.cancelled = {}, set(), set()
        # A cancellation without a response may have been executed.
        self.cancel_requested = set()
        self.last_state = {}
        self.acknowledged = 0
        self.violations = []
        self.stopping = threading.Event()
        self.threads = []

    def start(self, count):
        for index in range(count):
            self.threads.append(threading.Thread(target=self.submit_jobs, args=(index,)))
        for loop in (self.poll_states, self.replace_configurations, self.read_versions):
            self.threads.append(threading.Thread(target=loop))
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def request(self, method, path, body=None):
        return self.deployment.gateway_request(self.random.choice(self.gateways), method, path,
                                               body)

    def submit_jobs(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            job = '%08x%08x' % (caller + 1, number)
            steps = [{'count': self.random.randint(1, 4), 'cpu': 500, 'estimateMs': 300}]
            if self.random.random() < 0.4:
                steps.append({'count': 2, 'cpu': 500, 'estimateMs': 300, 'dependsOn': [0]})
            self.submit_job(job, {'spec': 'x', 'phases': steps})
            time.sleep(self.random.uniform(0.05, 0.3))

    def submit_job(self, job, body):
        """Submits a job, with resends while the outcome is unknown. A job counts as
        refused, and must never run, only if no attempt had an unknown outcome."""
        all_refused = True
        for _ in range(30):
            status, _ = self.request('POST', PREFIX + job, body)
            if status == 200:
                with self.lock:
                    self.accepted[job] = (time.monotonic(), body['phases'])
                if self.random.random() < 0.1:
                    self.cancel(job)
                return
            if status in (429, 503):
                if all_refused:
                    with self.lock:
                        self.refused.add(job)
                    return
            else:
                all_refused = False
            time.sleep(RETRY_INTERVAL_S)

    def cancel(self, job):
        with self.lock:
            self.cancel_requested.add(job)
        if self.request('DELETE', PREFIX + job)[0] == 200:
            with self.lock:
                self.cancelled.add(job)

    def poll_states(self):
        """Polls the states of accepted jobs that are not complete yet."""
        while not self.stopping.is_set():
            time.sleep(0.05)
            with self.lock:
                jobs = [job for job, (at, _) in self.accepted.items()
                        if self.last_state.get(job) != 'complete' and job not in self.cancelled]
            if jobs:
                self.check_state(self.random.choice(jobs))

    def check_state(self, job):
        """Requests the state of a job and returns whether it is complete, or cancelled
        by a request whose outcome was unknown."""
        status, document = self.request('GET', PREFIX + job)
        if status == 410:
            self.violations.append('%s was accepted, but its state is not found (410)' % job)
        if status != 200:
            return False
        state = document['state']
        if state not in STATES:
            if state != 'cancelled' or job not in self.cancel_requested:
                self.violations.append('%s: unexpected state %s' % (job, state))
                return False
            with self.lock:
                self.cancelled.add(job)
            return True
        before = self.last_state.get(job, 'queued')
        if STATES.index(state) < STATES.index(before) and before == 'complete':
            self.violations.append('%s: state changed from %s to %s' % (job, before, state))
        self.last_state[job] = state
        return state == 'complete'

    def replace_configurations(self):
        """Replaces the configuration repeatedly and records the acknowledged version."""
        version = self.acknowledged
        while not self.stopping.is_set():
            time.sleep(self.random.uniform(0.5, 1.5))
            version += self.random.randint(1, 3)
            for _ in range(20):
                if self.stopping.is_set():
                    return
                if self.deployment.replace_configuration(
                        version, self.random.choice(self.schedulers)) == 200:
                    self.acknowledged = version
                    break

    def read_versions(self):
        """Reads the configuration repeatedly. No read may return a version older than one
        that was acknowledged before the read."""
        while not self.stopping.is_set():
            time.sleep(0.2)
            minimum = self.acknowledged
            version = self.deployment.read_version(self.random.choice(self.schedulers))
            if version is not None and version < minimum:
                self.violations.append('version %d was read after %d was acknowledged'
                                       % (version, minimum))
