"""Stand-in for an endpoint on the users' platform: sends heartbeats to the
schedulers, simulates runs of a random duration under a lease, and reports the
runs in progress and the finished runs.

Usage: site_endpoint.py ADDRESS:PORT --announced=ADDRESS:PORT ID SERVICE
           CONTROL_ADDRESS:PORT...

Each line of its output is an event with the system's monotonic time:
`start TASK ATTEMPT TIME`, `end TASK ATTEMPT HOW TIME`, `lapse TIME` when the
lease expires, `noted TASK ATTEMPT HOW TIME` when a scheduler acknowledges an end,
and `lost ADDRESS:PORT` when a caller drops its connection. The announced address
may be that of a proxy.
"""

import http.client
import http.server
import json
import random
import sys
import threading
import time

# Minimum and maximum duration of a simulated run.
TASK_DURATION_RANGE_S = (0.1, 0.5)
HEARTBEAT_INTERVAL_S = 0.3


def emit(line):
    """Writes a line in one call, so that lines of different threads do not mix."""
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


class Endpoint:
    """State of the endpoint: its lease, the runs in progress and the finished runs
    that no scheduler has acknowledged yet."""

    def __init__(self, address, name, service, controls):
        self.address, self.name, self.service = address, name, service
        self.controls = controls
        self.start_time_ms = int(time.time() * 1000)
        self.start_time = time.monotonic()
        self.lock = threading.Condition()
        self.fence, self.lease_ms, self.last_finished = 0, 0, 0
        self.reported_lease_ms = 0  # Last lease end whose expiry was reported.
        self.running, self.finished_runs = {}, []
        self.highest_attempts = {}  # By task: highest attempt that ended or was stopped.

    def clock_ms(self):
        """Returns the milliseconds since this process started; leases use this clock."""
        return int((time.monotonic() - self.start_time) * 1000)

    def finish_run(self, task, how):
        attempt, _ = self.running.pop(task)
        now = time.monotonic()
        if how == 'lapsed':
            # A process that was paused detects the expiry late; the run ended with
            # its lease.
            now = min(now, self.start_time + self.lease_ms / 1000)
        emit('end %s %d %s %f' % (task, attempt, how, now))
        self.highest_attempts[task] = max(self.highest_attempts.get(task, 0), attempt)
        self.last_finished += 1
        self.finished_runs.append([self.last_finished, task, attempt, how, ''])
        self.lock.notify_all()

    def report_expiry(self):
        """Prints an expired lease once. Must run before each renewal, which would
        hide the expiry, and periodically."""
        if self.lease_ms > self.reported_lease_ms and self.clock_ms() >= self.lease_ms:
            self.reported_lease_ms = self.lease_ms
            emit('lapse %f' % (self.start_time + self.lease_ms / 1000))

    def update_runs(self):
        """Ends the runs that are done or whose lease has expired."""
        while True:
            time.sleep(0.02)
            with self.lock:
                self.report_expiry()
                for task, (_, until) in list(self.running.items()):
                    if self.clock_ms() >= self.lease_ms:
                        self.finish_run(task, 'lapsed')
                    elif time.monotonic() >= until:
                        self.finish_run(task, 'done')

    def send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps({
                'service': self.service, 'addr': self.address, 'zone': 'z', 'version': 'v1',
                'slots': 8, 'state': 'ready', 'coldLeftMs': 0, 'labels': ['a', 'r1'],
                'capacity': {'cpu': 8000, 'memMb': 8000, 'gpu': 0}, 'born': self.start_time_ms,
                'clockMs': self.clock_ms(), 'seq': sequence})
            for control in self.controls:
                if self.send_heartbeat(control, body):
                    break
            time.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self, control, body, redirects=2):
        """Sends one heartbeat, following redirects to the leader. Returns whether it
        was accepted."""
        try:
            connection = http.client.HTTPConnection(control, timeout=1)
            connection.request('POST', '/-/instances/%s/heartbeat' % self.name, body)
            reply = connection.getresponse()
            reply.read()
            if reply.status == 307 and redirects > 0:
                target = reply.getheader('Location').split('/')[2]
                return self.send_heartbeat(target, body, redirects - 1)
            return reply.status == 200
        except (OSError, http.client.HTTPException):
            return False

    def handle_order(self, path, order):
        """Returns the status and body of the response to an order. Orders with an
        older fencing token than the highest one received are refused."""
        with self.lock:
            if order.get('fence', 0) < self.fence:
                return 409, {'reason': 'fence'}
            self.fence = order.get('fence', 0)
            if path == '/-/run-start':
                return self.start_run(order)
            if path == '/-/run-stop':
                task, attempt = order['task'], order['attempt']
                if task in self.running and self.running[task][0] <= attempt:
                    self.finish_run(task, 'stopped')
                self.highest_attempts[task] = max(self.highest_attempts.get(task, 0), attempt)
                return 200, {}
            if path != '/-/hold':
                return 404, {}
            self.report_expiry()
            self.lease_ms = max(self.lease_ms, order.get('deadlineMs', 0))
            cursor = order.get('ackCursor', 0)
            for end in self.finished_runs:
                if end[0] <= cursor:
                    emit('noted %s %d %s %f' % (end[1], end[2], end[3], time.monotonic()))
            self.finished_runs = [end for end in self.finished_runs if end[0] > cursor]
            if not self.finished_runs:
                self.lock.wait(order.get('waitMs', 0) / 1000)
            return 200, {'running': [[task, attempt, '', 50]
                                     for task, (attempt, _) in self.running.items()],
                         'finished': self.finished_runs}

    def start_run(self, order):
        """Starts a run, or refuses an order that arrived after its deadline or whose
        attempt is not newer than an earlier one."""
        if order['deadlineMs'] <= self.clock_ms():
            return 409, {'reason': 'late'}
        self.report_expiry()
        self.lease_ms = max(self.lease_ms, order['deadlineMs'])
        task, attempt = order['task'], order['attempt']
        if task in self.running and self.running[task][0] == attempt:
            return 200, {}
        if attempt <= self.highest_attempts.get(task, 0) or task in self.running:
            return 409, {'reason': 'old'}
        now = time.monotonic()
        emit('start %s %d %f' % (task, attempt, now))
        self.running[task] = (attempt, now + random.uniform(*TASK_DURATION_RANGE_S))
        return 200, {}


def make_handler(endpoint):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_POST(self):
            order = json.loads(self.rfile.read(int(self.headers['Content-Length'])))
            if self.headers['Lycheetrestle-Expect-Instance'] != endpoint.name:
                status, body = 421, {}
            else:
                status, body = endpoint.handle_order(self.path, order)
            body.update({'clockMs': endpoint.clock_ms(), 'born': endpoint.start_time_ms})
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_):
            pass

    return Handler


class Server(http.server.ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        # The caller reset its connection. Printed as an event, because standard
        # error shares the stream with the events.
        emit('lost %s:%d' % client_address[:2])


def main():
    address, announced, name, service, *controls = sys.argv[1:]
    endpoint = Endpoint(announced.removeprefix('--announced='), name, service, controls)
    host, port = address.split(':')
    for loop in (endpoint.update_runs, endpoint.send_heartbeats):
        threading.Thread(target=loop, daemon=True).start()
    Server((host, int(port)), make_handler(endpoint)).serve_forever()


if __name__ == '__main__':
    main()
