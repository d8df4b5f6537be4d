"""Callers and an operator of a soak, and what they were told."""

import random
import threading
import time

HOST, PREFIX = 'q.example', '/jobs/'
RETRY_S = 0.2
STATES = ['queued', 'running', 'complete']


class Callers:
    """Submits jobs and asks for their states through any gateway, replaces the
    configuration at any scheduler and reads it back."""

    def __init__(self, site, gateways, schedulers, seed):
        self.site, self.gateways, self.schedulers = site, gateways, schedulers
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.accepted, self.refused, self.cancelled = {}, set(), set()
        self.best_state = {}
        self.acknowledged = 0
        self.broken = []
        self.stopping = threading.Event()
        self.threads = []

    def start(self, count):
        for index in range(count):
            self.threads.append(threading.Thread(target=self.submit, args=(index,)))
        for duty in (self.watch, self.operate, self.read):
            self.threads.append(threading.Thread(target=duty))
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def front(self, method, path, body=None):
        return self.site.front(self.random.choice(self.gateways), method, path, body)

    def submit(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            job = '%08x%08x' % (caller + 1, number)
            steps = [{'count': self.random.randint(1, 4), 'cpu': 500, 'estimateMs': 300}]
            if self.random.random() < 0.4:
                steps.append({'count': 2, 'cpu': 500, 'estimateMs': 300, 'dependsOn': [0]})
            self.hand_in(job, {'spec': 'x', 'phases': steps})
            time.sleep(self.random.uniform(0.05, 0.3))

    def hand_in(self, job, body):
        """Sends again after no clear answer. Only when every try was refused,
        the job must never run."""
        all_refused = True
        for _ in range(30):
            status, _ = self.front('POST', PREFIX + job, body)
            if status == 200:
                with self.lock:
                    self.accepted[job] = (time.monotonic(), body['phases'])
                if self.random.random() < 0.1 and self.front('DELETE', PREFIX + job)[0] == 200:
                    with self.lock:
                        self.cancelled.add(job)
                return
            if status in (429, 503):
                if all_refused:
                    with self.lock:
                        self.refused.add(job)
                    return
            else:
                all_refused = False
            time.sleep(RETRY_S)

    def watch(self):
        while not self.stopping.is_set():
            time.sleep(0.05)
            with self.lock:
                jobs = [job for job, (at, _) in self.accepted.items()
                        if self.best_state.get(job) != 'complete' and job not in self.cancelled]
            if jobs:
                self.check_state(self.random.choice(jobs))

    def check_state(self, job):
        """Returns whether the job is known to be complete."""
        status, document = self.front('GET', PREFIX + job)
        if status == 410:
            self.broken.append('%s was accepted and is not known' % job)
        if status != 200:
            return False
        state = document['state']
        if state not in STATES:
            if job not in self.cancelled and state != 'cancelled':
                self.broken.append('%s is shown as %s' % (job, state))
            return False
        before = self.best_state.get(job, 'queued')
        if STATES.index(state) < STATES.index(before) and before == 'complete':
            self.broken.append('%s went from %s to %s' % (job, before, state))
        self.best_state[job] = state
        return state == 'complete'

    def operate(self):
        version = self.acknowledged
        while not self.stopping.is_set():
            time.sleep(self.random.uniform(0.5, 1.5))
            version += self.random.randint(1, 3)
            for _ in range(20):
                if self.stopping.is_set():
                    return
                if self.site.replace(version, self.random.choice(self.schedulers)) == 200:
                    self.acknowledged = version
                    break

    def read(self):
        while not self.stopping.is_set():
            time.sleep(0.2)
            floor = self.acknowledged
            version = self.site.read_version(self.random.choice(self.schedulers))
            if version is not None and version < floor:
                self.broken.append('version %d was read after %d was acknowledged'
                                   % (version, floor))
