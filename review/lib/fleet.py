"""A small deployment on loopback for the cases of the review.

Starts the daemons of deploy/system.toml as separate processes, with the settings
templates beside it, and holds stand-ins for executors, the platform, clients and the
operator that follow PROTOCOL.md. Python's standard library only.
"""

import datetime
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Values of the site zhuldyz-sched, as far as a daemon or a stand-in reads them.
BOUNDS = {'maxHoldMs': 6000, 'migrateS': 1.5, 'maintenanceS': 2}
HEARTBEAT_MS = 1500
STOP_TIMEOUT_S = 0.4
GANG_TIMEOUT_S = 3.0
HOST = 'q.example'
SERVICE = 'svc-a'
PREFIX = '/queue/'


class CannotRun(Exception):
    """The case could not run; nothing is said about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file, self.lock, self.start = open(path, 'w'), threading.Lock(), time.monotonic()
        self('case', datetime.datetime.now(datetime.timezone.utc).isoformat(timespec='seconds'),
             'TROUBLE=%d' % TROUBLE)

    def __call__(self, *words):
        with self.lock:
            self.file.write('%8.3f %s\n' % (time.monotonic() - self.start,
                                            ' '.join(str(word) for word in words)))
            self.file.flush()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Executor:
    """An executor as in PROTOCOL.md, "Running tasks" and "Service discovery".

    duration(task, attempt) gives the seconds of work of a run; None: it runs until it
    is stopped. outcome(task, attempt) gives 'done' or 'failed' for its end.
    """

    def __init__(self, fleet, name, ip, cpu=8000, mem=16384, labels=('a', 'r1'),
                 service=SERVICE, duration=lambda task, attempt: 0.3,
                 outcome=lambda task, attempt: 'done', beat_through=None):
        self.fleet, self.record, self.name, self.ip = fleet, fleet.record, name, ip
        self.capacity = {'cpu': cpu, 'memMb': mem, 'gpu': 0}
        self.labels, self.service = list(labels), service
        self.duration, self.outcome = duration, outcome
        self.unhealthy = False  # Refuses every start with 503.
        self.beat_through = beat_through  # Maps a control address to that of a proxy.
        self.port = free_port(ip)
        self.address = '%s:%d' % (ip, self.port)
        self.life, self.server, self.up = 0, None, False
        self.start()

    # Life cycle.

    def start(self):
        """Begins a new life: without runs, ends, lease or fencing token."""
        self.life += 1
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = self.lease = self.last_end = self.seq = 0
        self.running, self.ends, self.highest = {}, [], {}
        self.state, self.drain_until, self.draining_acked = 'ready', None, False
        self.up = True
        self.sockets = set()
        self.server = Server((self.ip, self.port), handler_of(self))
        for loop in (self.server.serve_forever, self.work, self.beat):
            threading.Thread(target=loop, args=() if loop == self.server.serve_forever
                             else (self.life,), daemon=True).start()
        self.record('executor', self.name, 'up', 'born', self.born, 'at', self.address)

    def end(self, why):
        """Ends this life: everything that runs on it terminates."""
        with self.lock:
            if not self.up:
                return
            self.up = False
            for task, run in self.running.items():
                self.record('executor', self.name, 'gone-with', task, run['attempt'])
            self.running = {}
            self.lock.notify_all()
        self.record('executor', self.name, 'ends', why)
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def is_alive(self, life):
        return self.up and self.life == life

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    # Runs.

    def finish(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run['attempt'])
        self.last_end += 1
        self.ends.append([self.last_end, task, run['attempt'], how, ''])
        self.record('executor', self.name, 'end', task, run['attempt'], how)
        self.fleet.ended(self, task, run['attempt'], how)
        self.lock.notify_all()
        gang = run['gang']
        if gang and how == 'done':
            gang.end(self, run['attempt'], 'done')
        elif gang and how != 'broken':
            gang.end(self, run['attempt'], 'broken')

    def work(self, life):
        while self.is_alive(life):
            time.sleep(0.01)
            with self.lock:
                if not self.is_alive(life):
                    return
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if self.clock() >= self.lease:
                        self.finish(task, 'lapsed')
                    elif run['stop'] is not None and now >= run['stop']:
                        self.finish(task, 'stopped')
                    elif run['until'] is not None and now >= run['until']:
                        self.finish(task, self.outcome(task, run['attempt']))

    def percent(self, run):
        if run['until'] is None:
            return 100
        share = (time.monotonic() - run['begun']) / max(run['until'] - run['begun'], 0.001)
        return min(99, int(100 * share))

    def rows(self):
        return {'running': [[task, run['attempt'], '', self.percent(run), run['cpu']]
                            for task, run in self.running.items()],
                'finished': self.ends[:500]}

    def order(self, path, body):
        with self.lock:
            if not self.up:
                raise ConnectionError('down')
            if body.get('fence', 0) < self.fence:
                return 409, {'reason': 'fence'}
            self.fence = max(self.fence, body.get('fence', 0))
            if path == '/-/run-start':
                return self.run_start(body)
            if path == '/-/run-stop':
                return self.run_stop(body)
            if path == '/-/hold':
                return self.hold(body)
            if path == '/-/pace':
                return 200, {}
            return 400, {}

    def prolong(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS['maxHoldMs']))

    def run_start(self, body):
        if self.unhealthy:
            self.record('executor', self.name, 'refuses', body['task'], body['attempt'], 503)
            return 503, {}
        task, attempt, deadline = body['task'], body['attempt'], body['deadlineMs']
        if task in self.running and self.running[task]['attempt'] == attempt:
            self.prolong(deadline)
            return 200, {}
        if deadline <= self.clock():
            return 409, {'reason': 'late'}
        self.prolong(deadline)
        if task in self.running or attempt <= self.highest.get(task, 0):
            return 409, {'reason': 'old'}
        size = self.fleet.size_of(task)
        used = [self.fleet.size_of(other) for other in self.running]
        for field in ('cpu', 'memMb'):
            if sum(one.get(field, 0) for one in used) + size.get(field, 0) > self.capacity[field]:
                return 409, {'reason': 'room'}
        seconds = self.duration(task, attempt)
        now = time.monotonic()
        self.running[task] = {'attempt': attempt, 'begun': now, 'stop': None,
                              'until': None if seconds is None else now + seconds,
                              'cpu': size.get('cpu', 0), 'gang': None}
        self.record('executor', self.name, 'start', task, attempt)
        self.fleet.started(self, task, attempt, body['spec'])
        return 200, {}

    def run_stop(self, body):
        task, attempt = body['task'], body['attempt']
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run and run['attempt'] <= attempt and run['stop'] is None:
            run['stop'] = time.monotonic() + STOP_TIMEOUT_S / 2
            self.record('executor', self.name, 'told-to-stop', task, attempt)
        return 200, {}

    def hold(self, body):
        if 'deadlineMs' in body:
            self.prolong(body['deadlineMs'])
        cursor = body.get('ackCursor', 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.record('executor', self.name, 'noted', end[1], end[2], end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        until = time.monotonic() + min(body.get('waitMs', 0), 2000) / 1000
        while not self.ends and self.up and time.monotonic() < until:
            self.lock.wait(max(until - time.monotonic(), 0.001))
        if not self.up:
            raise ConnectionError('down')
        return 200, self.rows()

    # Calls to the system.

    def call(self, path, body, through=True):
        """Calls the nodes that serve control in turn, as PROTOCOL.md says of a
        heartbeat: the next one without a 2xx within a second."""
        for address in self.fleet.controls():
            if self.beat_through and through:
                address = self.beat_through(address)
            status, _ = self.fleet.request(address, 'POST', path, body, timeout=1.0,
                                           through=self.beat_through if through else None)
            if 200 <= status < 300:
                return True
        return False

    def beat_body(self):
        self.seq += 1
        body = {'service': self.service, 'addr': self.address, 'zone': 'z1', 'version': 'v1',
                'slots': 8, 'state': self.state, 'coldLeftMs': 0, 'capacity': self.capacity,
                'labels': self.labels, 'clockMs': self.clock(), 'seq': self.seq,
                'born': self.born}
        if self.state == 'draining':
            body['remainingMs'] = max(int((self.drain_until - time.monotonic()) * 1000), 0)
        return body

    def beat(self, life):
        while self.is_alive(life):
            was_draining = self.state == 'draining'
            accepted = self.call('/-/instances/%s/heartbeat' % self.name, self.beat_body())
            if accepted and was_draining and not self.draining_acked:
                self.draining_acked = True
                self.record('executor', self.name, 'draining-acknowledged')
            with self.lock:
                self.lock.wait_for(lambda: not self.is_alive(life) or (
                    self.state == 'draining' and not was_draining), HEARTBEAT_MS / 1000)


def handler_of(executor):
    life = executor.life

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def setup(self):
            executor.sockets.add(self.request)
            super().setup()

        def finish(self):
            executor.sockets.discard(self.request)
            super().finish()

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers['Content-Length'])))
            if self.headers['Lycheetrestle-Expect-Instance'] != executor.name:
                status, answer = 421, {}
            else:
                status, answer = executor.order(self.path, body)
            answer.update({'clockMs': executor.clock(), 'born': executor.born})
            if not executor.is_alive(life):
                raise ConnectionError('down')
            send(self, status, answer)

        def log_message(self, *_):
            pass

    return Handler


def send(handler, status, answer):
    data = json.dumps(answer).encode()
    handler.send_response(status)
    handler.send_header('Content-Type', 'application/json')
    handler.send_header('Content-Length', str(len(data)))
    handler.end_headers()
    handler.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Platform:
    """The platform's machines: one for each executor. It moves and maintains none in
    these cases and refuses such calls as busy."""

    def __init__(self, fleet, ip):
        platform, self.fleet, self.odd = self, fleet, None

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_GET(self):
                send(self, 200, {'machines': platform.machines()})

            def do_POST(self):
                self.rfile.read(int(self.headers['Content-Length']))
                send(self, 409, {'reason': 'busy'})

            def log_message(self, *_):
                pass

        self.port = free_port(ip)
        self.address = '%s:%d' % (ip, self.port)
        self.server = Server((ip, self.port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def omit_id_once(self, machine):
        """The entry of the machine lacks `id` in the next answer."""
        self.odd = machine

    def machines(self):
        rows = self.rows()
        self.fleet.record('platform', 'list of machines',
                          'without the id of %s' % self.odd if self.odd else '')
        for row in rows:
            if row['machine'] == self.odd:
                del row['id']
        self.odd = None
        return rows

    def rows(self):
        return [{'machine': 'm-' + one.name, 'pool': one.service,
                 'state': 'up' if one.up else 'down', 'zone': 'z1', 'labels': one.labels,
                 'capacity': one.capacity, 'id': one.name if one.up else ''}
                for one in self.fleet.executors]


class Fleet:
    """Three schedulers, two gateways, the platform and executors."""

    def __init__(self, record):
        self.record = record
        self.net = '127.%d.%d' % (random.randint(20, 250), random.randint(1, 250))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes, self.executors, self.jobs = {}, [], {}
        self.starts, self.ends = [], []
        self.lock = threading.Lock()
        self.last_ip = 0
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']
        self.scheduler_ips = [self.new_ip() for _ in range(3)]
        self.gateway_ips = [self.new_ip() for _ in range(2)]
        first = self.scheduler_ips[0]
        self.control_port, self.front_port = free_port(first), free_port(first)
        self.ready_port, link = free_port(first), free_port(first)
        # The platform keeps the ports from the first to the second one free.
        self.internal_ports = [link, link + 15 if link < 65000 else link - 15]
        self.platform = Platform(self, self.new_ip())
        self.advice = '%s:%d' % (self.new_ip(), 1)  # Nothing listens; no queue has advice.

    def new_ip(self):
        self.last_ip += 1
        return '%s.%d' % (self.net, self.last_ip)

    def controls(self):
        addresses = ['%s:%d' % (ip, self.control_port) for ip in self.scheduler_ips]
        random.shuffle(addresses)
        return addresses

    # Daemons.

    def values_of(self, role, ip, bootstrap):
        data = ''
        if role == 'scheduler':
            data = str(self.folder / ('data-' + ip))
            os.makedirs(data, exist_ok=True)
        return {
            'node': 'frontend-' + ip.replace('.', '-'), 'ip': ip, 'zone': 'z1',
            'listen': {'front': '%s:%d' % (ip, self.front_port),
                       'ready': '%s:%d' % (ip, self.ready_port),
                       'control': '%s:%d' % (ip, self.control_port)},
            'internalPorts': self.internal_ports,
            'seeds': ['%s:%d' % (one, self.control_port) for one in self.scheduler_ips],
            'bootstrap': bootstrap, 'dataDir': data, 'heartbeatMs': HEARTBEAT_MS,
            'faultTolerance': {'machines': 1}, 'bounds': BOUNDS,
            'cloud': {'addr': self.platform.address}, 'advice': self.advice}

    def start_daemon(self, role, ip, bootstrap=True):
        values = self.values_of(role, ip, bootstrap)

        def fill(match):
            name, _, form = match.group(1).partition('|')
            value = values
            for part in name.split('.'):
                value = value[int(part)] if part.isdigit() else value[part]
            return json.dumps(value) if form == 'json' else str(value)

        template = (ROOT / self.roles[role]['template']).read_text()
        path = self.folder / ('%s-%s.jsonc' % (role, ip))
        path.write_text(re.sub(r'\{\{([a-zA-Z0-9.|]+)\}\}', fill, template))
        log = open(self.folder / ('%s-%s.log' % (role, ip)), 'a')
        environment = {'PATH': os.environ.get('PATH', ''), 'LYCHEETRESTLE_BOOT': str(path),
                       'HOME': str(self.folder), 'LANG': 'C.UTF-8'}
        self.processes[role, ip] = subprocess.Popen(
            self.roles[role]['run'].split(), cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.record('daemon', role, ip, 'started')

    def start(self, routes=None):
        for ip in self.scheduler_ips:
            self.start_daemon('scheduler', ip)
        for ip in self.gateway_ips:
            self.start_daemon('gateway', ip)
        self.configure(1, routes if routes is not None else [self.route()])
        self.wait(lambda: all(self.is_ready(ip) for ip in self.gateway_ips), 15,
                  'gateways ready')

    def is_ready(self, ip):
        return self.request('%s:%d' % (ip, self.ready_port), 'GET', '/-/readyz')[0] == 200

    def signal(self, role, ip, number):
        self.record('daemon', role, ip, signal.Signals(number).name)
        self.processes[role, ip].send_signal(number)

    def leader_ip(self):
        """The scheduler that answers a read of the configuration itself."""
        for ip in self.scheduler_ips:
            status, _ = self.request('%s:%d' % (ip, self.control_port), 'GET',
                                     '/-/config/read', redirects=0)
            if status == 200:
                return ip
        raise CannotRun('no leader')

    def stop(self):
        for one in self.executors:
            one.end('end of the case')
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def request(self, address, method, path, body=None, host=None, timeout=3.0, redirects=2,
                through=None, headers=None):
        """Returns (status, document); (0, None) without a response."""
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            fields = dict(headers or {})
            if host:
                fields['Host'] = host
            if body is not None:
                fields['Content-Type'] = 'application/json'
            connection.request(method, path, None if body is None else json.dumps(body), fields)
            reply = connection.getresponse()
            text = reply.read()
            if reply.status == 307 and redirects > 0:
                target = reply.getheader('Location').split('/')[2]
                return self.request(through(target) if through else target, method, path, body,
                                    host, timeout, redirects - 1, through, headers)
            return reply.status, json.loads(text) if text else None
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def route(self, **changes):
        route = {'name': 'r-a', 'host': HOST, 'pathPrefix': PREFIX, 'kind': 'unsafe',
                 'timeoutMs': 3000, 'targetLatencyMs': 600, 'priority': 0, 'service': SERVICE,
                 'maxAttempts': 2, 'slackFactor': 2.2}
        route.update(changes)
        return route

    def configure(self, version, routes, services=(SERVICE,)):
        """Sends a configuration until it is acknowledged."""
        body = {'version': version, 'routes': routes, 'services': [
            {'name': name, 'healthPath': '/healthz', 'maxConns': 64, 'protocol': 'h1',
             'tls': False, 'enforceLimits': True, 'standby': False} for name in services],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000,
                       'idleTimeoutMs': 15000}}

        def is_acknowledged():
            status, _ = self.request(self.controls()[0], 'POST', '/-/config/replace', body)
            self.record('operator', 'config', version, 'answer', status)
            if status in (400, 409, 412, 413, 422):
                raise CannotRun('configuration refused')
            return status == 200

        self.wait(is_acknowledged, 20, 'acknowledgement of configuration %d' % version)

    def front(self, method, path, body=None, deadline_ms=3000):
        ip = random.choice(self.gateway_ips)
        status, answer = self.request('%s:%d' % (ip, self.front_port), method, path, body, HOST,
                                      deadline_ms / 1000,
                                      headers={'Lycheetrestle-Deadline-Ms': str(deadline_ms)})
        self.record('client', method, path, 'answer', status,
                    json.dumps(answer) if method != 'POST' else '')
        return status, answer

    def submit(self, job, phases, prefix=PREFIX, tries=5):
        """Hands a job in; sends it again after no clear answer. Returns the status."""
        self.jobs[job] = phases
        for _ in range(tries):
            status, _ = self.front('POST', prefix + job, {'spec': 'job ' + job, 'phases': phases})
            if 200 <= status < 300 or status == 404:
                return status
            time.sleep(0.3)
        return status

    def state(self, job, prefix=PREFIX):
        for _ in range(5):
            status, answer = self.front('GET', prefix + job)
            if status == 200:
                return answer['state']
            if status == 410:
                return '410'
            time.sleep(0.2)
        return 'no answer'

    def size_of(self, task):
        job, _, step, _ = task.rsplit('.', 3)
        return self.jobs[job][int(step)]

    def started(self, executor, task, attempt, spec):
        with self.lock:
            self.starts.append((time.monotonic(), executor.name, executor.life, task, attempt))

    def ended(self, executor, task, attempt, how):
        with self.lock:
            self.ends.append((time.monotonic(), executor.name, executor.life, task, attempt, how))

    def ends_of(self, job):
        with self.lock:
            return [end[5] for end in self.ends if end[3].startswith(job)]

    def executor(self, name, **arguments):
        one = Executor(self, name, self.new_ip(), **arguments)
        self.executors.append(one)
        return one

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun('not in time: ' + what)


def job_id():
    return '%016x' % random.getrandbits(64)


def run_case(folder, case):
    """Runs case(fleet) and exits: 1 if it returns a description of the broken rule, 0 if
    it returns nothing, 2 if it could not run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    fleet, code, text = None, 2, ''
    try:
        fleet = Fleet(record)
        broken = case(fleet)
        code, text = (1, 'BROKEN: ' + broken) if broken else (0, 'held')
    except CannotRun as reason:
        text = 'could not run: %s' % reason
    except Exception as reason:  # A fault of the script says nothing about the rule.
        text = 'could not run: %s: %s' % (type(reason).__name__, reason)
    finally:
        if fleet:
            fleet.stop()
    record('result', code, text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
