"""Soak of real processes with long-running jobs that are spread over endpoints, while
leaders, endpoints, gateways, the platform and the adviser fail at the start of the
traffic. Schedulers and gateways are processes; the stand-ins of endpoints, platform and
adviser are those of review/lib and run in this process.

Guards against accepted jobs that stand still beside free capacity, jobs that are shown
as failed without a failed run, tasks that run twice concurrently, beyond their limit per
endpoint, or after their job was cancelled, and accepted jobs that are never done. All
checks use only what callers and stand-ins observe. The logs of the schedulers only name
the known fault, if any, that a violation belongs to.

Usage: standing_jobs.py FOLDER_OF_PROGRAMS FOLDER SEED... [--seconds N] [--parallel N]
Prints a line for each seed and a summary. The folders of failed seeds are kept.
"""

import argparse
import collections
import concurrent.futures
import http.client
import http.server
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parent / 'process'), str(HERE.parent.parent / 'review/lib')]
from fleet import (BOUNDS, HEARTBEAT_MS, Executor, Platform, Record, Server,  # noqa: E402
                   free_port, send)
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import HOST, SiteDeployment  # noqa: E402

SCHEDULERS, GATEWAYS = [1, 2, 3], [5, 6]
FIRST_ENDPOINT, PLATFORM, ADVISER = 10, 50, 51
LASTING_JOBS = 28  # As many as stood still in the incident.
# Between the first configuration and the traffic. Idle hosts are moved after 2 s.
IDLE_TIMES_S = [0, 0, 8]
# Faults begin within this time after the first configuration.
FAULT_WINDOW_S = 6
# RULES.md: a job may stand still for 3 s beside free capacity, counted from 4 s after the
# last disturbance, and a long-running task from 6 s after its last run.
STANDING_LIMIT_S, CALM_S, LAST_RUN_S = 3, 4, 6
# cancel_ms and stopTimeoutMs of the sites, in seconds.
CANCEL_LIMIT_S = 3 + 0.4
COMPLETION_TIMEOUT_S = 60
SAMPLE_S = 0.1
# A starved sample counts only as this much time of standing still.
LONGEST_SAMPLE_S = 0.2
# As the known fault of review/3: so many steps without a place stop their pool.
STEPS_THAT_STOP_A_POOL = 24
# The lower bits of a fencing token count the lives of an endpoint (leader_orders.cpp).
ENDPOINT_FENCE_BITS = 28
ADVICE = {'decisionMs': 20, 'perWorkerMs': 2, 'validMs': 20000}
# How long a refused move may keep its host from work: until an unanswered order can
# take effect no more and a list has been awaited (host_order_limits.h).
REFUSED_MOVE_S = 4
# Responses to all moves of a seed: never accepted, or never carried out.
PLATFORM_REFUSALS = [(409, {'reason': 'busy'}), (503, {})]
STANDBY = 'svc-off'
QUEUES = {'/lasting/': ('svc-a', {}), '/jobs/': ('svc-a', {}), '/more/': ('svc-b', {}),
          '/advised/': ('svc-b', {'advice': ADVICE})}


class Endpoint(Executor):
    """An endpoint that can be silent: it receives calls, executes some of them late and
    answers none, and sends nothing."""

    def __init__(self, deployment, number, service):
        self.silent, self.is_moving, self.machine = False, False, 'm-%d' % number
        self.generation, self.lapsed_at = 0, 0
        super().__init__(deployment, 'i-%d-0' % number, deployment.ip(number), cpu=32000, mem=65536,
                         labels=('a', 'r1-%d' % (number % 4)), service=service,
                         duration=deployment.duration, outcome=deployment.outcome)

    def call(self, path, body, through=True):
        return not self.silent and any(
            200 <= self.fleet.request(address, 'POST', path, body)[0] < 300
            for address in self.fleet.controls())

    def order(self, path, body):
        life, arrived = self.life, time.monotonic()
        if self.wait_while_silent(life) and self.fleet.random.random() < 0.5:
            raise ConnectionError('lost')
        self.fleet.check_order(self, path, body, arrived)
        answer = super().order(path, body)
        if self.wait_while_silent(life):
            raise ConnectionError('the response is lost')
        return answer

    def wait_while_silent(self, life):
        """Returns whether the endpoint was silent."""
        was_silent = self.silent
        while self.silent and self.is_alive(life):
            time.sleep(0.02)
        if not self.is_alive(life):
            raise ConnectionError('down')
        return was_silent

    def run_start(self, body):
        queue = self.fleet.queues.get(body['task'].split('.')[0], '')
        ticket = body.get('ticket')
        if queue == '/advised/' and ticket != self.fleet.adviser.ticket(body['task'], self):
            return 409, {'reason': 'ticket'}
        return super().run_start(body)

    def prolong(self, deadline):
        if self.clock() >= self.lease:
            self.lapsed_at = self.zero + self.lease / 1000
        super().prolong(deadline)

    def hold(self, body):
        """An end counts as acknowledged if the lease did not expire between the two."""
        ends, cursor = list(self.ends), body.get('ackCursor', 0)
        if self.clock() >= self.lease:
            self.lapsed_at = self.zero + self.lease / 1000
        for number, task, attempt, how, _ in ends:
            if number <= cursor and how == 'done':
                self.fleet.acknowledged(self, task, attempt, self.lapsed_at)
        return super().hold(body)

    def rows(self):
        """The fifth entry of a task that serves is the tail of its response times."""
        rows = super().rows()
        for row in rows['running']:
            row[4] = self.fleet.size_of(row[0]).get('targetMs', 2 * row[4]) // 2
        return rows

    def end(self, why):
        if self.silent:
            self.sockets.clear()  # The resets of its connections are lost as well.
        with self.lock:
            lost = list(self.running) if self.up else []
        super().end(why)
        for task in lost:
            self.fleet.ended(self, task, 0, 'killed')

    def restart(self):
        """Starts again under the same id or as a new endpoint at the same address."""
        self.end('restart')
        self.start_again(self.fleet.random.random() < 0.5)

    def start_again(self, has_new_id):
        self.generation += has_new_id
        self.name = 'i-%s-%d' % (self.machine[2:], self.generation)
        wait_until(self.try_start, 'start of endpoint %s' % self.name, 10)

    def try_start(self):
        try:
            self.start()
        except OSError:
            return False  # The port is not free yet.
        return True


class MovingPlatform(Platform):
    """Lists the machines and moves them between pools. A silent platform holds its
    responses back; one with a `refusal` answers every move with it."""

    silent, refusal, moves = False, None, 0

    def __init__(self, fleet, ip):
        self.refused = []  # Time and pool of the host of each refused move.
        super().__init__(fleet, ip)

    def rows(self):
        self.wait_while_silent()
        return [{'machine': one.machine, 'pool': one.service,
                 'state': 'moving' if one.is_moving else
                 'up' if one.up or one.service == STANDBY else 'down',
                 'zone': 'z1', 'labels': one.labels, 'capacity': one.capacity,
                 'id': one.name if one.up else ''} for one in self.fleet.executors]

    def wait_while_silent(self):
        while self.silent:
            time.sleep(0.05)

    def move(self, path, body):
        self.wait_while_silent()
        one = next((one for one in self.fleet.executors if one.machine == body['machine']), None)
        if one is None or path != '/-/machine-move':
            return 400, {}
        if self.refusal:
            self.refused.append((time.monotonic(), one.service))
            return self.refusal
        with self.fleet.lock:
            if one.is_moving or not (one.up or one.service == STANDBY):
                return 409, {'reason': 'busy'}
            if one.service == body['pool']:
                return 200, {}
            one.is_moving = True
            self.moves += 1
        one.end('moved to ' + body['pool'])
        threading.Thread(target=self.finish_move, args=(one, body['pool']), daemon=True).start()
        return 200, {}

    def finish_move(self, one, pool):
        time.sleep(BOUNDS['migrateS'])
        one.service = pool
        if pool != STANDBY:
            one.start_again(True)
        one.is_moving = False


def moving_handler(platform, base):
    """Adds the moves to the handler of the review's platform."""
    class Handler(base):
        def do_POST(self):
            send(self, *platform.move(
                self.path, json.loads(self.rfile.read(int(self.headers['Content-Length'])))))
    return Handler


class Adviser:
    """Allows every endpoint but one in four for a step; a silent one does not answer."""

    def __init__(self, deployment, ip):
        adviser, self.silent, self.lock = self, False, threading.Lock()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers['Content-Length'])))
                with adviser.lock:  # One call at a time, in turn.
                    while adviser.silent:
                        time.sleep(0.05)
                    time.sleep((ADVICE['decisionMs'] +
                                ADVICE['perWorkerMs'] * len(body['workers'])) / 1000)
                known = {one.name: one for one in deployment.executors}
                send(self, 200, {'allowed': [
                    [name, adviser.ticket(body['step'] + '.0', known[name])]
                    for name in body['workers']
                    if name in known and adviser.allows(body['step'], known[name])]})

            def log_message(self, *_):
                pass

        port = free_port(ip)
        self.address = '%s:%d' % (ip, port)
        threading.Thread(target=Server((ip, port), Handler).serve_forever, daemon=True).start()

    def allows(self, step, endpoint):
        return (sum(step.encode()) + int(endpoint.machine[2:])) % 4 != 0

    def ticket(self, task, endpoint):
        step = task.rsplit('.', 1)[0]
        return '%s/%s/%d' % (step, endpoint.name, endpoint.born) \
            if self.allows(step, endpoint) else None


class Deployment(SiteDeployment):
    """The processes and the stand-ins of one seed, and what the stand-ins observe."""

    def __init__(self, programs, folder, net, group, seed):
        super().__init__(programs, folder, net, group)
        self.random, self.record = random.Random(seed), Record(self.folder / 'record.txt')
        self.executors, self.sizes, self.queues, self.is_founded = [], {}, {}, False
        self.lock = threading.RLock()
        self.runs = collections.defaultdict(dict)  # task -> {(endpoint, life): start}
        # End of the last run; runs that ended done, as (attempt, endpoint, life). A start
        # order that is executed in two lives makes two runs of one attempt.
        self.last_run, self.done = {}, {}
        self.ends_acknowledged, self.later_starts, self.violations = set(), set(), []
        self.highest_fence, self.fence_time, self.outdated_starts = 0, 0, 0
        self.platform = MovingPlatform(self, self.ip(PLATFORM))
        self.platform.server.RequestHandlerClass = moving_handler(
            self.platform, self.platform.server.RequestHandlerClass)
        self.platform.refusal = self.random.choice([None] * 4 + PLATFORM_REFUSALS)
        self.adviser = Adviser(self, self.ip(ADVISER))

    # Processes.

    def start_daemon(self, name, settings):
        if settings['role'] == 'scheduler':
            settings.update({'zone': 'z1', 'platform': self.platform.address,
                             'adviser': self.adviser.address, 'timing': {
                                 'beat_ms': HEARTBEAT_MS, 'max_lease_ms': BOUNDS['maxHoldMs'],
                                 'move_s': 1.5, 'upkeep_s': 2}})
        return super().start_daemon(name, settings)

    def configuration(self, version):
        return {'version': version, 'routes': [dict({
            'name': 'r' + prefix.strip('/'), 'host': HOST, 'pathPrefix': prefix,
            'timeoutMs': 3000, 'targetLatencyMs': 600, 'priority': 0 if service == 'svc-a' else 1,
            'service': service, 'maxAttempts': 2, 'slackFactor': 2}, **more)
            for prefix, (service, more) in QUEUES.items()],
            'services': [{'name': name, 'enforceLimits': True, 'standby': name == STANDBY}
                         for name in ('svc-a', 'svc-b', STANDBY)]}

    def controls(self):
        return [self.control_address(index)
                for index in random.sample(SCHEDULERS, len(SCHEDULERS))]

    def leader(self):
        """The scheduler that answers a read of the configuration itself, or None."""
        for index in SCHEDULERS:
            if self.request(self.control_address(index), 'GET', '/-/config/read',
                            redirects=0)[0] == 200:
                return index
        return None

    # Work of the stand-ins.

    def size_of(self, task):
        """A step that fills takes no cpu."""
        job, _, step, _ = task.rsplit('.', 3)
        size = self.sizes[job][int(step)]
        return dict(size, cpu=0) if size.get('fills') else size

    def duration(self, task, attempt):
        draw = random.Random('%s %d' % (task, attempt)).random()
        if self.size_of(task).get('longRunning'):
            return 1 + 30 * draw if draw < 0.1 else None
        return self.size_of(task)['estimateMs'] / 1000 * (0.5 + draw)

    def outcome(self, task, _):
        return 'failed' if self.size_of(task).get('longRunning') else 'done'

    # Observations.

    def check_order(self, endpoint, path, order, arrived):
        """Counts starts by a scheduler that had been replaced a second before. They are
        no violation by themselves: an endpoint that has seen no higher fencing token
        has to obey."""
        with self.lock:
            fence = order.get('fence', 0) >> ENDPOINT_FENCE_BITS
            if fence > self.highest_fence:
                self.highest_fence, self.fence_time = fence, time.monotonic()
            if path == '/-/run-start' and endpoint.fence >> ENDPOINT_FENCE_BITS <= fence \
                    < self.highest_fence and arrived > self.fence_time + 1:
                self.outdated_starts += 1
                self.record('outdated-start', endpoint.name, order['task'], fence)

    def started(self, endpoint, task, attempt, _):
        with self.lock:
            for other, life in self.runs[task]:
                # An expired lease ends a run even if the stand-in has not noticed yet.
                if other.is_alive(life) and other.clock() < other.lease:
                    self.violations.append('%s attempt %d runs twice concurrently, on %s and %s'
                                           % (task, attempt, other.name, endpoint.name))
            self.later_starts |= {(task, done) for done in self.done.get(task, {})}
            self.runs[task][endpoint, endpoint.life] = time.monotonic()
            size, step = self.size_of(task), task.rsplit('.', 1)[0] + '.'
            beside = sum(other.startswith(step) for other in endpoint.running)
            if beside > size.get('maxPerServer', beside):
                self.violations.append('%s: %d tasks of the step run on %s'
                                       % (task, beside, endpoint.name))

    def acknowledged(self, endpoint, task, attempt, lapsed_at):
        with self.lock:
            run = attempt, endpoint.name, endpoint.life
            if self.done[task][run] > lapsed_at:
                self.ends_acknowledged.add((task, run))

    def ended(self, endpoint, task, attempt, how):
        with self.lock:
            self.runs[task].pop((endpoint, endpoint.life), None)
            self.last_run[task] = time.monotonic()
            if how == 'done':
                run = attempt, endpoint.name, endpoint.life
                self.done.setdefault(task, {})[run] = time.monotonic()


class Traffic:
    """Callers that submit, cancel and poll jobs."""

    def __init__(self, deployment, seed):
        self.deployment, self.random = deployment, random.Random(seed + 1)
        self.accepted, self.cancel_requested, self.cancelled = {}, {}, {}
        self.complete, self.failed = set(), set()
        self.open_losses = 0  # Requests on an open connection without a response.
        self.stopping, self.threads = threading.Event(), []

    def start(self):
        for loop in (self.submit_lasting, self.submit_ordinary, self.cancel_lasting,
                     self.poll_states, self.keep_connection):
            self.threads.append(threading.Thread(target=loop, daemon=True))
            self.threads[-1].start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def request(self, method, path, body=None):
        answer = self.deployment.gateway_request(random.choice(GATEWAYS), method, path, body)
        self.deployment.record('client', method, path, answer)
        return answer

    def submit(self, queue, steps, lifetime_s=None):
        job = '%016x' % self.random.getrandbits(64)
        self.deployment.sizes[job], self.deployment.queues[job] = steps, queue
        for _ in range(20):
            if self.stopping.is_set():
                return
            status, _ = self.request('POST', queue + job, {'spec': job, 'phases': steps})
            if status == 200:
                now = time.monotonic()
                self.accepted[job] = (now, queue, lifetime_s and now + lifetime_s)
                return
            if status in (429, 503, 404):
                return
            time.sleep(0.2)

    def lasting_step(self):
        step = {'count': self.random.randint(5, 8), 'cpu': self.random.choice([300, 500, 1000]),
                'memMb': 512, 'estimateMs': 900, 'longRunning': True}
        shape = self.random.random()
        if shape < 0.6:
            step.update({'maxPerServer': 1, 'mayMiss': 1})
        elif shape < 0.7:
            step.update({'count': 24, 'maxPerServer': 3, 'mayMiss': 3})
        elif shape < 0.8:
            step.update({'memMb': 40000, 'count': 1})
        elif shape < 0.9:
            step.update({'targetMs': 200, 'image': 'web', 'mayMiss': 1})
        else:
            step.update({'fills': True, 'image': 'batch'})
        return step

    def submit_lasting(self):
        """The jobs of the incident in a burst, then a job a second."""
        for number in range(10 * LASTING_JOBS):
            if self.stopping.wait(0.03 if number < LASTING_JOBS else 1):
                return
            queue = self.random.choice(['/lasting/', '/lasting/', '/more/', '/advised/'])
            self.submit(queue, [self.lasting_step()], self.random.choice([3, 10, 20, 60]))

    def submit_ordinary(self):
        while not self.stopping.wait(self.random.uniform(0.1, 0.5)):
            steps = [{'count': self.random.randint(1, 6), 'cpu': self.random.choice([500, 2300]),
                      'memMb': 1000, 'estimateMs': self.random.choice([200, 1000])}]
            if self.random.random() < 0.3:
                steps.append({'count': 2, 'cpu': 500, 'estimateMs': 300, 'dependsOn': [0]})
            self.submit(self.random.choice(list(QUEUES)), steps)

    def cancel(self, job):
        self.cancel_requested.setdefault(job, time.monotonic())
        if self.request('DELETE', self.accepted[job][1] + job)[0] in (200, 410):
            self.cancelled[job] = time.monotonic()

    def cancel_lasting(self):
        while not self.stopping.wait(0.1):
            for job, (_, _, until) in list(self.accepted.items()):
                if until and time.monotonic() > until and job not in self.cancelled:
                    self.cancel(job)

    def open_jobs(self):
        return [job for job in list(self.accepted)
                if job not in self.cancel_requested and job not in self.complete]

    def poll_states(self):
        while not self.stopping.wait(0.05):
            if jobs := self.open_jobs():
                self.poll(random.choice(jobs))

    def poll(self, job):
        """Polls a job, and records a state without cause as a violation once."""
        status, document = self.request('GET', self.accepted[job][1] + job)
        state = document.get('state') if status == 200 else None
        violations = self.deployment.violations
        if state == 'complete':
            self.complete.add(job)
            tasks = self.tasks(job)
            if not tasks <= set(self.deployment.done):
                violations.append('%s is shown as complete without all its ends' % job)
        elif (state in ('failed', 'cancelled') or status == 410) and \
                job not in self.failed and job not in self.cancel_requested:
            self.failed.add(job)
            violations.append('%s is shown as %s without cause' % (job, state or status))

    def tasks(self, job):
        return {'%s.0.%d.%d' % (job, step, index)
                for step, size in enumerate(self.deployment.sizes[job])
                for index in range(size['count'])}

    def keep_connection(self):
        """Uses one open connection until the gateway closes it, then opens the next."""
        while not self.stopping.is_set():
            connection = http.client.HTTPConnection(
                self.deployment.ip(GATEWAYS[0]), 7804, timeout=6)
            try:
                while not self.stopping.wait(0.01):
                    connection.request('GET', '/lasting/', headers={'Host': HOST})
                    connection.getresponse().read()
            except http.client.RemoteDisconnected:
                self.deployment.record('open connection closed')
            except (OSError, http.client.HTTPException) as error:
                self.open_losses += isinstance(error, (TimeoutError, http.client.IncompleteRead))
                self.deployment.record('open connection', repr(error))
                time.sleep(0.1)
            finally:
                connection.close()


class Standing(str):
    """A violation: something that should run stood still in a pool from `since` to `until`."""

    def __new__(cls, text, pool, since, until):
        self = super().__new__(cls, text)
        self.pool, self.since, self.until = pool, since, until
        return self


class StandingCheck(threading.Thread):
    """Samples what runs and accumulates the time for which a job, or a long-running task,
    has nothing running although there is capacity for it twice over in a pool of which
    less than half is in use."""

    def __init__(self, deployment, traffic, faults):
        super().__init__(daemon=True)
        self.deployment, self.traffic, self.faults = deployment, traffic, faults
        self.standing_s, self.standing_since, self.reported = {}, {}, set()
        self.longest_s, self.longest_sample_s, self.most_unplaceable = 0, 0, 0
        self.stopping = threading.Event()
        self.checked_s = 0

    def run(self):
        before = time.monotonic()
        while not self.stopping.wait(SAMPLE_S):
            now = time.monotonic()
            self.longest_sample_s = max(self.longest_sample_s, now - before)
            if now - self.faults.last_disturbance > CALM_S:
                self.checked_s += now - before
                self.sample(now, min(now - before, LONGEST_SAMPLE_S))
            else:
                self.standing_s.clear()
            before = now

    def sample(self, now, passed_s):
        with self.deployment.lock:
            used = {one: list(one.running) for one in self.deployment.executors if one.up}
        free = {one: {field: one.capacity[field] - sum(
            self.deployment.size_of(task).get(field, 0) for task in tasks)
            for field in ('cpu', 'memMb')} for one, tasks in used.items()}
        running = {task for tasks in used.values() for task in tasks}
        standing, unplaceable = {}, collections.Counter()
        for job in self.traffic.open_jobs():
            self.check_job(job, now, used, free, running, standing, unplaceable)
        self.standing_since = {key: self.standing_since[key] if key in self.standing_s
                               else now - passed_s for key in standing}
        self.standing_s = {key: self.standing_s.get(key, 0) + passed_s for key in standing}
        self.most_unplaceable = max([self.most_unplaceable, *unplaceable.values()])
        for key, seconds in self.standing_s.items():
            self.longest_s = max(self.longest_s, seconds)
            if seconds > STANDING_LIMIT_S and key not in self.reported:
                self.reported.add(key)
                what, pool = standing[key]
                self.deployment.record('standing', key, what)
                self.deployment.violations.append(
                    Standing('%s stands still for %.1f s: %s' % (key, seconds, what),
                             pool, self.standing_since[key], now))

    def check_job(self, job, now, used, free, running, standing, unplaceable):
        at, queue, _ = self.traffic.accepted[job]
        for step, size in enumerate(self.deployment.sizes[job]):
            tasks = ['%s.0.%d.%d' % (job, step, index) for index in range(size['count'])]
            waiting = [task for task in tasks
                       if task not in running and task not in self.deployment.done]
            if not waiting:
                continue
            places = self.places(job, step, queue, used, free)
            lasting = size.get('longRunning')
            if lasting and not places:
                unplaceable[QUEUES[queue][0]] += 1
            if places >= 2 and self.is_half_free(queue, free):
                pool = QUEUES[queue][0]
                what = '%d places, %d of %d tasks wait, pool %s' % (
                    places, len(waiting), len(tasks), pool), pool
                if not lasting and not any(task in running for task in tasks):
                    standing[job] = what
                for task in waiting if lasting else []:
                    if now - max(at, self.deployment.last_run.get(task, 0)) > LAST_RUN_S:
                        standing[task] = what
            if not lasting:
                return  # The next steps depend on this one.

    def places(self, job, step, queue, used, free):
        """The number of further tasks of the step that fit."""
        size, name = self.deployment.size_of('%s.0.%d.0' % (job, step)), '%s.0.%d' % (job, step)
        result = 0
        for one in used:
            if one.service != QUEUES[queue][0] or one.silent or queue == '/advised/' and \
                    not self.deployment.adviser.allows(name, one):
                continue
            fits = min(free[one][field] // size[field] for field in ('cpu', 'memMb')
                       if size.get(field))
            beside = sum(task.startswith(name + '.') for task in used[one])
            result += max(0, min(fits, size.get('maxPerServer', fits) - beside))
        return result

    def is_half_free(self, queue, free):
        pool = [one for one in free if one.service == QUEUES[queue][0]]
        return all(2 * sum(free[one][field] for one in pool)
                   > sum(one.capacity[field] for one in pool) for field in ('cpu', 'memMb'))


class Faults:
    """Disturbs the deployment within the first seconds, each fault with its recovery."""

    def __init__(self, deployment, seed):
        self.deployment, self.random = deployment, random.Random(seed + 2)
        self.last_disturbance, self.pending = float('inf'), 0
        self.counts, self.lock = collections.Counter(), threading.Lock()
        self.threads, self.is_one_stopped = [], False

    def start(self):
        """The leader is always lost once; a random choice of the others goes with it."""
        self.begin(self.lose_leader, self.random.choice([0, 0.1, 0.5, 1, 2, 4]))
        others = [self.lose_leader, self.lose_leader, self.lose_endpoint, self.lose_endpoint,
                  self.restart_endpoint, self.silence_endpoint, self.silence_endpoint,
                  self.silence_platform, self.silence_adviser, self.stop_gateway]
        for fault in self.random.sample(others, self.random.randint(2, 7)):
            self.begin(fault, self.random.uniform(0, FAULT_WINDOW_S))

    def begin(self, fault, after_s):
        self.pending += 1
        self.threads.append(threading.Thread(target=self.inject, daemon=True, args=(
            fault, after_s, random.Random(self.random.getrandbits(64)))))
        self.threads[-1].start()

    def inject(self, fault, after_s, draw):
        time.sleep(after_s)
        try:
            fault(draw)
        except Exception as error:  # A fault that cannot be injected fails the seed.
            self.deployment.violations.append('fault %s: %r' % (fault.__name__, error))
        with self.lock:
            self.pending -= 1
            if not self.pending:
                self.last_disturbance = time.monotonic()

    def note(self, *words):
        with self.lock:
            self.counts[words[0]] += 1
        self.deployment.record('FAULT', *words)

    def lose_leader(self, draw):
        """Kills, stops or pauses the leader. Only one scheduler at a time is killed or
        stopped, and only one before the cluster is founded: none is founded if a majority
        restarts before that (KNOWN-RED.txt)."""
        index = self.deployment.leader() or draw.choice(SCHEDULERS)
        name, kind = 'scheduler-%d' % index, draw.choice(['kill', 'pause', 'pause', 'term'])
        with self.lock:
            process = self.deployment.group.processes.pop(name, None)
            kind = 'pause' if self.is_one_stopped else kind
            self.is_one_stopped |= process is not None and kind != 'pause'
        if process is None:
            return  # Another fault has it.
        self.note(kind + ' leader', name)
        if kind == 'pause':
            process.send_signal(signal.SIGSTOP)
            time.sleep(draw.choice([0.5, 2, 4, 7]))
            process.send_signal(signal.SIGCONT)
            self.deployment.group.processes[name] = process
        else:
            try:
                process.send_signal(signal.SIGTERM if kind == 'term' else signal.SIGKILL)
                if process.wait(20) is None:
                    raise StepError('%s does not stop' % name)
                time.sleep(draw.uniform(0.2, 4))
            finally:
                self.deployment.group.processes[name] = process
            self.deployment.start_scheduler(index, SCHEDULERS, False)
            self.is_one_stopped = not self.deployment.is_founded
        self.deployment.record('FAULT end', name)

    def endpoint(self, draw):
        return draw.choice([one for one in self.deployment.executors
                            if one.up and not one.silent])

    def lose_endpoint(self, draw):
        one = self.endpoint(draw)
        self.note('lose endpoint', one.name)
        one.end('lost for good')

    def restart_endpoint(self, draw):
        """Restarts an endpoint behind a cut: nobody sees its connections end."""
        one = self.endpoint(draw)
        self.note('restart endpoint', one.name)
        one.silent = True
        time.sleep(draw.uniform(0, 2))
        one.restart()
        time.sleep(draw.uniform(0, 3))
        one.silent = False

    def silence(self, draw, what, name):
        self.note('silent ' + name, getattr(what, 'name', ''))
        what.silent = True
        time.sleep(draw.uniform(1, 8))
        what.silent = False
        self.deployment.record('FAULT end silent', name)

    def silence_endpoint(self, draw):
        self.silence(draw, self.endpoint(draw), 'endpoint')

    def silence_platform(self, draw):
        self.silence(draw, self.deployment.platform, 'platform')

    def silence_adviser(self, draw):
        self.silence(draw, self.deployment.adviser, 'adviser')

    def stop_gateway(self, draw):
        self.note('term gateway')
        self.deployment.kill('gateway-%d' % GATEWAYS[0], signal.SIGTERM)
        time.sleep(draw.uniform(0.2, 2))
        self.deployment.start_gateway(GATEWAYS[0], SCHEDULERS)


def start(deployment):
    draw = deployment.random
    for index in draw.sample(SCHEDULERS, len(SCHEDULERS)):
        deployment.start_scheduler(index, SCHEDULERS, True, draw.choice([0, 1, 60]))
    for index in GATEWAYS:
        deployment.start_gateway(index, SCHEDULERS)
    count = draw.randint(13, 16)
    for number in range(FIRST_ENDPOINT, FIRST_ENDPOINT + count):
        service = 'svc-a' if number < FIRST_ENDPOINT + 9 else 'svc-b'
        deployment.executors.append(Endpoint(deployment, number, service))


def finish(deployment, traffic):
    """Cancels the long-running jobs and waits for the ends of all others."""
    lasting = [job for job in traffic.accepted
               if traffic.accepted[job][2] and job not in traffic.cancelled]
    for _ in range(20):
        for job in lasting:
            if job not in traffic.cancelled:
                traffic.cancel(job)
    deployment.violations += ['%s cannot be cancelled' % job
                              for job in lasting if job not in traffic.cancelled]

    def is_complete():
        for job in traffic.open_jobs():
            traffic.poll(job)
        return not [job for job in traffic.open_jobs() if job not in traffic.failed]
    try:
        wait_until(is_complete, 'completion', COMPLETION_TIMEOUT_S, 0.3)
    except StepError:
        deployment.violations += ['%s is not complete' % job for job in traffic.open_jobs()]
    time.sleep(CANCEL_LIMIT_S)
    deployment.violations += [
        '%s started again after the acknowledged end of attempt %d on %s, life %d' % (task, *run)
        for task, run in deployment.later_starts & deployment.ends_acknowledged]
    for one in deployment.executors:
        deployment.violations += ['%s runs on %s after its job was cancelled' % (task, one.name)
                                  for task in list(one.running)
                                  if task.split('.')[0] in traffic.cancelled]


def cause_of(violation, given_up, unplaceable, refused_moves, stalled_writes):
    """Returns the known fault behind a violation, or 'other'. A stalled write means that
    the disk of this machine was too slow for the run to tell anything else. A refused move
    counts only if it held a host of the violation's pool while something stood still."""
    if any(job in violation for job in given_up):
        return 'given_up'
    if 'stands still' in violation and unplaceable >= STEPS_THAT_STOP_A_POOL:
        return 'unplaceable'
    if isinstance(violation, Standing) and any(
            pool == violation.pool and violation.since < at + REFUSED_MOVE_S
            and at <= violation.until for at, pool in refused_moves):
        return 'refused_move'
    return 'stalled_write' if stalled_writes else 'other'


def run(programs, folder, seed, seconds):
    """Runs one seed, prints its line and returns the number of violations."""
    shutil.rmtree(folder, ignore_errors=True)
    begin = time.monotonic()
    with ProcessGroup(folder, int(seconds) + 2 * COMPLETION_TIMEOUT_S + 60) as group:
        deployment = Deployment(programs, folder, 100 + seed % 120, group, seed)
        faults, traffic = Faults(deployment, seed), Traffic(deployment, seed)
        check = StandingCheck(deployment, traffic, faults)
        try:
            start(deployment)
            if deployment.random.random() < 0.5:
                faults.start()
            deployment.configure(1, SCHEDULERS)
            deployment.is_founded, faults.is_one_stopped = True, False
            time.sleep(deployment.random.choice(IDLE_TIMES_S))
            traffic.start()
            if not faults.threads:
                faults.start()
            check.start()
            time.sleep(seconds)
            for thread in faults.threads:
                thread.join()
            # Also a short run checks for long enough after its last fault.
            time.sleep(max(0, faults.last_disturbance + CALM_S + 2 * STANDING_LIMIT_S
                           - time.monotonic()))
            check.stopping.set()
            check.join()
            traffic.stop()
            finish(deployment, traffic)
        except StepError as error:
            deployment.violations.append('cannot go on: %s' % error)
    for one in deployment.executors:
        one.end('end')
    logs = ''.join(path.read_text(errors='replace') for path in folder.glob('scheduler-*.log'))
    given_up = set(re.findall(r'event=task_given_up.*?job=([0-9a-f]{16})', logs))
    stalled_writes = logs.count('event=write_stalled')
    causes = [cause_of(violation, given_up, check.most_unplaceable, deployment.platform.refused,
                       stalled_writes)
              for violation in deployment.violations]
    print('seed %d: %.1f s, checked %.1f s, %d jobs, %d complete, %d cancelled; %s; '
          'standing %.1f s, sample %.2f s, unplaceable %d, given up %d, moves %d, '
          'refused moves %d, outdated starts %d, open losses %d, stalled writes %d; '
          '%d violations%s' % (
              seed, time.monotonic() - begin, check.checked_s, len(traffic.accepted),
              len(traffic.complete), len(traffic.cancelled),
              ', '.join('%s %d' % item for item in sorted(faults.counts.items())),
              check.longest_s, check.longest_sample_s, check.most_unplaceable, len(given_up),
              deployment.platform.moves, len(deployment.platform.refused),
              deployment.outdated_starts, traffic.open_losses, stalled_writes,
              len(deployment.violations),
              ''.join(', %s %d' % item for item in sorted(collections.Counter(causes).items()))),
          flush=True)
    for cause, violation in list(zip(causes, deployment.violations))[:20]:
        print('VIOLATION seed %d (%s): %s' % (seed, cause, violation), flush=True)
    if not deployment.violations:
        shutil.rmtree(folder)
    return len(deployment.violations)


def run_in_parallel(options, script):
    """Runs each seed as a process of its own; returns the number of failed seeds."""
    def run_seed(seed):
        result = subprocess.run(
            [sys.executable, '-B', script, options.programs, options.folder, str(seed),
             '--seconds=%f' % options.seconds], text=True, capture_output=True)
        print(result.stdout + result.stderr, end='', flush=True)
        return result.returncode, seed

    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        failed = [seed for code, seed in pool.map(run_seed, options.seeds) if code]
    print('%d of %d seeds failed: %s' % (len(failed), len(options.seeds), failed))
    return len(failed)


def main(run_seed=run, script=__file__):
    """Runs the seeds of the command line; the script runs one seed as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--seconds', type=float, default=24)
    parser.add_argument('--parallel', type=int, default=1)
    options = parser.parse_args()
    if len(options.seeds) > 1:
        return 1 if run_in_parallel(options, script) else 0
    folder = options.folder.absolute() / ('seed-%d' % options.seeds[0])
    return 1 if run_seed(options.programs.absolute(), folder, options.seeds[0],
                         options.seconds) else 0


if __name__ == '__main__':
    sys.exit(main())
