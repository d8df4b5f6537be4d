"""Crowds of connections that send what no well-behaved client sends, to a gateway and to
the control listener of a scheduler. Guards against a process that ends, hangs, or exceeds
the memory or the descriptors of its machine, and against an ordinary request that is not
answered while the crowd's connections are still open.

No check depends on elapsed time or on the share of served requests. The limits of the
processes are lowered in their settings, so that a small crowd exceeds them. Each case
against a gateway starts it anew, so that its peak of memory belongs to that case.

Usage: test_untrusted_clients.py FOLDER_OF_PROGRAMS FOLDER [--without-limits] [CASE...]
--without-limits omits the settings `limits`, for programs that do not know them.
"""

import functools
import pathlib
import shutil
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import crowd  # noqa: E402
from crowd import PART, CrowdTest, exchange  # noqa: E402
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import (CONTROL_PORT, GATEWAY_PORT, HOST, PREFIX,  # noqa: E402
                      READY_PORT, SiteDeployment, reserve_net)

SCHEDULERS = [1, 2, 3]
GATEWAY = 11
# Limits of the processes, and the bounds that the test checks.
GATEWAY_LIMITS = {'memory_mb': 64, 'descriptors': 200}
SCHEDULER_LIMITS = {'memory_mb': 300, 'descriptors': 400}
CROWD = 250
SCHEDULER_CROWD = 450
MAX_BODY = 262_144  # Documented limit of a gateway.
post_head = functools.partial(crowd.post_head, HOST)
chunked = functools.partial(crowd.chunked, HOST)
JOB_BODY = b'{"spec":"x","phases":[{"count":1,"cpu":1,"estimateMs":50}]}'


class LimitedDeployment(SiteDeployment):
    """A deployment with lowered limits."""

    def __init__(self, programs, folder, net, group, has_limits):
        super().__init__(programs, folder, net, group)
        self.has_limits = has_limits

    def start_daemon(self, name, settings):
        if self.has_limits:
            settings['limits'] = (GATEWAY_LIMITS if settings['role'] == 'gateway'
                                  else SCHEDULER_LIMITS)
        return super().start_daemon(name, settings)


class UntrustedClientsTest(CrowdTest):
    def __init__(self, deployment):
        super().__init__(deployment.group)
        self.deployment = deployment

    # Cases at a gateway: (data, connections, whether they read).

    def gateway_cases(self):
        path = PREFIX + '00000000000000aa'
        body = bytes(MAX_BODY)
        request = ('GET %s HTTP/1.1\r\nHost: %s\r\n\r\n' % (PREFIX, HOST)).encode()
        return {
            'large_chunks': (chunked(path, [bytes(PART)] * 15), CROWD, True),
            'one_byte_chunks': (chunked(path, [b'x'] * 20_000), CROWD, True),
            'short_of_the_end': (
                post_head(path, 'Content-Length: %d' % MAX_BODY) + body[:-1], CROWD, True),
            'announced_body_over_the_limit': (
                post_head(path, 'Content-Length: 1000000000') + bytes(1_000_000), CROWD, True),
            'unannounced_body_over_the_limit': (
                chunked(path, [bytes(PART)] * 64), CROWD, True),
            'endless_heads': (
                ('GET %s HTTP/1.1\r\nHost: %s\r\nX-Filler: ' % (PREFIX, HOST)).encode()
                + b'x' * 8000, CROWD, True),
            'connections_left_open': (b'', CROWD, True),
            'answers_not_read': (request * 2000, CROWD, False),
            'pipelined_requests': (request * 200, CROWD, True),
        }

    # Cases at the control listener of a scheduler, where bodies may have 4 MiB.

    def scheduler_cases(self):
        path = '/-/config/replace'
        read = b'GET /-/config/read HTTP/1.1\r\nHost: x\r\n\r\n'
        return {
            'scheduler_large_chunks': (chunked(path, [bytes(PART)] * 15), SCHEDULER_CROWD, True),
            'scheduler_one_byte_chunks': (chunked(path, [b'x'] * 20_000), SCHEDULER_CROWD, True),
            'scheduler_short_of_the_end': (
                post_head(path, 'Content-Length: 1000000') + bytes(999_999), SCHEDULER_CROWD, True),
            'scheduler_announced_body_over_the_limit': (
                post_head(path, 'Content-Length: 1000000000') + bytes(1_000_000),
                SCHEDULER_CROWD, True),
            'scheduler_connections_left_open': (b'', SCHEDULER_CROWD, True),
            'scheduler_answers_not_read': (read * 2000, SCHEDULER_CROWD, False),
        }

    def run(self, names):
        deployment = self.deployment
        for index in SCHEDULERS:
            deployment.start_scheduler(index, SCHEDULERS, True)
        deployment.configure(1, SCHEDULERS)
        for name, case in self.gateway_cases().items():
            if not names or name in names:
                self.run_case(name, self.run_gateway_case, case)
        for name, case in self.scheduler_cases().items():
            if not names or name in names:
                self.run_case(name, self.run_scheduler_case, case)
        if not names or 'calm' in names:
            self.run_case('calm', self.run_calm, None)
        self.check_faults()

    def start_gateway(self):
        self.deployment.start_gateway(GATEWAY, SCHEDULERS)
        wait_until(self.is_gateway_ready, 'readiness of the gateway')

    def is_gateway_ready(self):
        address = '%s:%d' % (self.deployment.ip(GATEWAY), READY_PORT)
        return self.deployment.request(address, 'GET', '/-/readyz')[0] == 200

    def run_gateway_case(self, case):
        self.start_gateway()
        try:
            address = (self.deployment.ip(GATEWAY), GATEWAY_PORT)
            return self.run_crowd('gateway-%d' % GATEWAY, address, case, GATEWAY_LIMITS,
                                  self.is_caller_served)
        finally:
            self.deployment.kill('gateway-%d' % GATEWAY)

    def run_scheduler_case(self, case):
        address = (self.deployment.ip(SCHEDULERS[0]), CONTROL_PORT)
        return self.run_crowd('scheduler-%d' % SCHEDULERS[0], address, case, SCHEDULER_LIMITS,
                              lambda: self.deployment.read_version(SCHEDULERS[0]))

    def is_caller_served(self):
        return self.deployment.gateway_request(GATEWAY, 'GET', PREFIX)[0] == 200

    def run_calm(self, _):
        """Requests one at a time: those inside the limits are served, and those over the
        limit read 413 and have no effect."""
        self.start_gateway()
        address = (self.deployment.ip(GATEWAY), GATEWAY_PORT)
        control = (self.deployment.ip(SCHEDULERS[0]), CONTROL_PORT)
        filler = b' ' * (MAX_BODY - len(JOB_BODY))

        def path(number):
            return PREFIX + '00000000000000%02x' % number

        def length(size):
            return 'Content-Length: %d' % size

        end = b'0\r\n\r\n'
        large = bytes(PART)
        expected = {
            'largest body': (address, post_head(path(1), length(MAX_BODY)) + JOB_BODY + filler,
                             200),
            'chunks of one byte': (
                address, chunked(path(2), [b'%c' % byte for byte in JOB_BODY]) + end, 200),
            'announced': (address, post_head(path(3), length(1_000_000_000)) + large, 413),
            'announced by one byte': (
                address, post_head(path(4), length(MAX_BODY + 1)) + JOB_BODY + filler + b' ',
                413),
            'unannounced': (address, chunked(path(5), [JOB_BODY] + [large] * 64), 413),
            'announced to a scheduler': (
                control, post_head('/-/config/replace', length(1_000_000_000)) + large, 413),
        }
        for name, (where, data, status) in expected.items():
            got = exchange(where, data)
            if got != status:
                raise StepError('%s: expected status %d, got %d' % (name, status, got))
        for number, status in ((1, 200), (2, 200), (3, 410), (4, 410), (5, 410)):
            got = self.deployment.gateway_request(GATEWAY, 'GET', path(number))[0]
            if got != status:
                raise StepError('state of job %d: expected %d, got %d' % (number, status, got))
        return 'all statuses as expected'


def main():
    programs, folder, *rest = sys.argv[1:]
    has_limits = '--without-limits' not in rest
    names = [name for name in rest if not name.startswith('--')]
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 400) as group:
        test = UntrustedClientsTest(
            LimitedDeployment(programs, folder, reserve_net(), group, has_limits))
        try:
            test.run(names)
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(5), file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
