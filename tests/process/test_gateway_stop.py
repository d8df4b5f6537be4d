"""Callers keep sending requests on open connections while every gateway in turn is
stopped by SIGTERM and started again; then once more while no scheduler answers.
Guards against a request that a stopping gateway has read and that ends without an
answer, against an untrue refusal, and against a stop that takes too long.

A request counts as read by the gateway unless Linux has reset the connection and not
a byte of a response arrived: a close with unread bytes, and bytes that arrive after a
close, reset the connection, and a connection whose bytes were all read ends in order.
So each request whose last byte was sent must end in one of two ways:
- a complete response with one of the expected statuses, or
- a reset without a byte of a response, between the SIGTERM of the gateway and its exit.

Usage: test_gateway_stop.py FOLDER_OF_PROGRAMS FOLDER
"""

import collections
import pathlib
import random
import select
import shutil
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import (GATEWAY_PORT, HOST, PREFIX, READY_PORT,  # noqa: E402
                      SiteDeployment, reserve_net)

SCHEDULERS = [1, 2, 3]
GATEWAYS = [11, 12, 13, 14]
ENDPOINT = 20
CALLERS_PER_GATEWAY = 8
# The platform kills a process this long after SIGTERM.
STOP_LIMIT_S = 6
# When the schedulers are frozen: requests are then open at the bounds of the stop.
FREEZE_AFTER_S = 2.0
RESET_WAIT_MS = 50
# Delay until a caller notices a reset that was caused before the exit.
RESET_SLACK_S = 0.5
RESPONSE_TIMEOUT_S = 10
JOB_BODY = b'{"spec":"x","phases":[{"count":1,"cpu":1,"estimateMs":50}]}'
EXPECTED = {'POST': {200, 429, 503, 504}, 'GET': {200, 503, 504}}


class Caller(threading.Thread):
    """Sends requests to one gateway, each after the response to the one before."""

    def __init__(self, address, number, stopping):
        super().__init__(daemon=True)
        self.address, self.number, self.stopping = address, number, stopping
        self.random = random.Random(number)
        self.statuses = collections.Counter()
        self.resets = []  # Times.
        self.faults = []
        self.outcomes = {}  # Statuses by job id; 0 for a reset.
        self.sent = 0

    def run(self):
        try:
            while not self.stopping.is_set():
                self.use_one_connection()
        except Exception as error:  # A failed thread must not pass the test.
            self.faults.append('caller %d failed: %r' % (self.number, error))

    def use_one_connection(self):
        try:
            connection = socket.create_connection(self.address, timeout=RESPONSE_TIMEOUT_S)
        except OSError:
            time.sleep(0.02)
            return
        with connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while not self.stopping.is_set():
                # A quarter of the callers hardly pauses, a quarter sends requests in
                # two parts, and the others leave their connections idle.
                kind = self.number % 4
                time.sleep(self.random.uniform(0, (0.01, 0.01, 0.1, 3.5)[kind]))
                if has_ended(connection) or not self.exchange(connection, kind == 1):
                    return

    def exchange(self, connection, in_parts):
        """Returns whether the connection can be used again."""
        self.sent += 1
        job = None
        method, path, body = 'GET', PREFIX, b''
        if self.sent % 8 == 1:
            job = '%04x%012x' % (self.number, self.sent)
            method, path, body = 'POST', PREFIX + job, JOB_BODY
        request = ('%s %s HTTP/1.1\r\nHost: %s\r\nLycheetrestle-Deadline-Ms: 2500\r\n'
                   'Content-Length: %d\r\n\r\n' % (method, path, HOST, len(body))).encode() + body
        status, closes = self.send_and_receive(connection, request, in_parts, method)
        if job:
            self.outcomes[job] = status
        return not closes

    def send_and_receive(self, connection, request, in_parts, method):
        """Returns the status, 0 for a reset, and whether the connection has ended."""
        received = b''
        try:
            if in_parts:
                connection.sendall(request[:40])
                time.sleep(self.random.uniform(0, 0.1))
                connection.sendall(request[40:])
            else:
                connection.sendall(request)
            received, end = receive_response(connection)
        except (BrokenPipeError, ConnectionResetError):
            end = 'reset'
        except TimeoutError:
            end = 'no response in %d s' % RESPONSE_TIMEOUT_S
        if end == 'complete':
            return self.count_response(received, method)
        if end == 'reset' and not received:
            self.resets.append(time.monotonic())
        else:
            self.faults.append('caller %d of %s: %s: %s after %r' % (
                self.number, self.address[0], method, end, received[:80]))
        return 0, True

    def count_response(self, received, method):
        head = received.split(b'\r\n\r\n', 1)[0].lower() + b'\r\n'
        status = int(head.split()[1])
        self.statuses[status] += 1
        if status not in EXPECTED[method]:
            self.faults.append('%s: status %d: %r' % (method, status, received[:200]))
        if status == 503 and b'\r\nretry-after: ' not in head:
            self.faults.append('a 503 without Retry-After: %r' % received[:200])
        return status, b'\r\nconnection: close\r\n' in head


def has_ended(connection):
    """Returns whether the gateway has closed an idle connection."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))


def was_reset(connection):
    poller = select.poll()
    poller.register(connection, 0)
    return any(events & (select.POLLERR | select.POLLHUP)
               for _, events in poller.poll(RESET_WAIT_MS))


def receive_response(connection):
    """Returns the received bytes and how the response ended: `complete`, `reset` or
    `closed`."""
    received, size = b'', None
    while size is None or len(received) < size:
        try:
            part = connection.recv(65536)
        except ConnectionResetError:
            return received, 'reset'
        if not part:
            return received, 'reset' if was_reset(connection) else 'closed'
        received += part
        head, separator, _ = received.partition(b'\r\n\r\n')
        if separator and size is None:
            fields = dict(line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:])
            size = len(head) + 4 + int(fields[b'content-length'])
    return received, 'complete'


class GatewayStopTest:
    def __init__(self, deployment):
        self.deployment = deployment
        self.stopping = threading.Event()
        self.callers = [Caller((deployment.ip(gateway), GATEWAY_PORT),
                               gateway * CALLERS_PER_GATEWAY + n, self.stopping)
                        for gateway in GATEWAYS for n in range(CALLERS_PER_GATEWAY)]
        self.windows = collections.defaultdict(list)  # Times of stops by address.

    def start_gateway(self, index):
        self.deployment.start_gateway(index, SCHEDULERS)
        wait_until(lambda: self.is_ready(index), 'readiness of gateway %d' % index)

    def is_ready(self, index):
        status, _ = self.deployment.request(
            '%s:%d' % (self.deployment.ip(index), READY_PORT), 'GET', '/-/readyz')
        return status == 200

    def stop_gateway(self, index, while_stopping=lambda: None):
        name = 'gateway-%d' % index
        process = self.deployment.group.processes[name]
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        while_stopping()
        code = process.wait(STOP_LIMIT_S - (time.monotonic() - started))
        ended = time.monotonic()
        if code != 0:
            raise StepError('expected %s to exit with 0 within %d s of SIGTERM, got %s'
                            % (name, STOP_LIMIT_S, code))
        del self.deployment.group.processes[name]
        self.windows[self.deployment.ip(index)].append((started, ended))
        print('%s stopped in %.2f s' % (name, ended - started))

    def signal_schedulers(self, number):
        for index in SCHEDULERS:
            self.deployment.group.processes['scheduler-%d' % index].send_signal(number)

    def freeze_schedulers(self):
        time.sleep(FREEZE_AFTER_S)
        self.signal_schedulers(signal.SIGSTOP)

    def run(self):
        for index in SCHEDULERS:
            self.deployment.start_scheduler(index, SCHEDULERS, True)
        self.deployment.start_endpoint(ENDPOINT, SCHEDULERS)
        self.deployment.configure(1, SCHEDULERS)
        for index in GATEWAYS:
            self.start_gateway(index)
        for caller in self.callers:
            caller.start()
        time.sleep(2)
        for index in GATEWAYS:
            self.stop_gateway(index)
            self.start_gateway(index)
        try:
            self.stop_gateway(GATEWAYS[0], self.freeze_schedulers)
        finally:
            self.signal_schedulers(signal.SIGCONT)
        self.start_gateway(GATEWAYS[0])
        self.stopping.set()
        for caller in self.callers:
            caller.join(RESPONSE_TIMEOUT_S + 5)
            if caller.is_alive():
                raise StepError('caller %d does not end' % caller.number)
        self.check()

    def check(self):
        statuses, faults, reset_count = collections.Counter(), [], 0
        for caller in self.callers:
            statuses += caller.statuses
            faults += caller.faults
            reset_count += len(caller.resets)
            windows = self.windows[caller.address[0]]
            faults += ['caller %d: reset while its gateway was not stopping' % caller.number
                       for at in caller.resets
                       if not any(start <= at <= end + RESET_SLACK_S for start, end in windows)]
        print('%d requests, statuses %s, %d closed unread' % (
            sum(caller.sent for caller in self.callers), dict(statuses), reset_count))
        if faults:
            raise StepError('%d faults, the first: %s' % (len(faults), '; '.join(faults[:5])))
        if statuses[200] == 0:
            raise StepError('expected requests to be served, got %s' % dict(statuses))
        self.check_jobs()

    def check_jobs(self):
        """A job is known if its submission was accepted, and unknown if it was refused."""
        for caller in self.callers:
            for job, status in caller.outcomes.items():
                expected = {200: 200, 429: 410, 503: 410, 0: 410}.get(status)
                if expected is None:
                    continue
                got = wait_until(lambda: self.job_status(job), 'state of job %s' % job)
                if got != expected:
                    raise StepError('job %s, whose submission had status %d: expected %d, got %d'
                                    % (job, status, expected, got))

    def job_status(self, job):
        """Returns 200 or 410, or None for another response."""
        status, _ = self.deployment.gateway_request(GATEWAYS[0], 'GET', PREFIX + job)
        return status if status in (200, 410) else None


def main():
    programs, folder = sys.argv[1:]
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 300) as group:
        test = GatewayStopTest(SiteDeployment(programs, folder, reserve_net(), group))
        try:
            test.run()
        except StepError as failure:
            test.stopping.set()
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(5), file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
