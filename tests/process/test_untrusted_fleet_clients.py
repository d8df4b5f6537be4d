"""Crowds of connections that send what no well-behaved client sends, to an entry and to the
listener of a control replica. Guards against a process that ends, hangs, or exceeds the
memory or the descriptors of its machine, and against an ordinary request that is not
answered while the crowd's connections are still open; see test_untrusted_clients.py.

Usage: test_untrusted_fleet_clients.py FOLDER_OF_PROGRAMS FOLDER [--without-limits] [CASE...]
--without-limits omits the new settings in `limits`, for programs that do not know them.
"""

import argparse
import functools
import json
import pathlib
import shutil
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import crowd  # noqa: E402
from crowd import PART, CrowdTest, exchange  # noqa: E402
from fleet_run import FleetRun  # noqa: E402
from processes import ProcessGroup, StepError, http_json, http_status  # noqa: E402

ENTRY, CONTROL = 'entry-1', 'control-1'
# Limits of the processes, and the bounds that the test checks.
ENTRY_LIMITS = {'memory_mb': 64, 'descriptors': 250}
CONTROL_LIMITS = {'memory_mb': 300, 'descriptors': 400}
CROWD = 250
CONTROL_CROWD = 450
MAX_BODY = 1 << 20  # Default of body_bytes of an entry.
MAX_DECLARATION = 4 << 20
SERVICE = '/services/plots/'
RUN_LIMIT_S = 300
post_head = functools.partial(crowd.post_head, 'x')
chunked = functools.partial(crowd.chunked, 'x')


class LimitedFleet(FleetRun):
    """A deployment with lowered limits."""

    def __init__(self, arguments, group):
        super().__init__(arguments, group, controls=3, entries=3)
        if arguments.without_limits:
            return
        for names, limits in ((self.deployment.entries, ENTRY_LIMITS),
                              (self.deployment.controls, CONTROL_LIMITS)):
            for name in names:
                settings = json.loads(self.files[name].read_text())
                settings['limits'] = limits
                self.files[name].write_text(json.dumps(settings))


class UntrustedFleetClientsTest(CrowdTest):
    def __init__(self, fleet):
        super().__init__(fleet.group)
        self.fleet = fleet

    # Cases: (data, connections, whether they read).

    def entry_cases(self):
        path = SERVICE + 'crowd'
        request = ('GET %s HTTP/1.1\r\nHost: x\r\n\r\n' % path).encode()
        metrics = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return {
            'large_chunks': (chunked(path, [bytes(PART)] * 15), CROWD, True),
            'one_byte_chunks': (chunked(path, [b'x'] * 20_000), CROWD, True),
            'short_of_the_end': (
                post_head(path, 'Content-Length: %d' % MAX_BODY) + bytes(MAX_BODY - 1),
                CROWD, True),
            'partial_request_after_a_complete_one': (
                request + chunked(path, [bytes(PART)] * 15), CROWD, True),
            'announced_body_over_the_limit': (
                post_head(path, 'Content-Length: 1000000000') + bytes(1_000_000), CROWD, True),
            'unannounced_body_over_the_limit': (
                chunked(path, [bytes(PART)] * 64), CROWD, True),
            'endless_heads': (
                ('GET %s HTTP/1.1\r\nHost: x\r\nX-Filler: ' % path).encode() + b'x' * 7000,
                CROWD, True),
            'connections_left_open': (b'', CROWD, True),
            'answers_not_read': (metrics * 2000, CROWD, False),
            'pipelined_requests': (request * 200, CROWD, True),
        }

    def control_cases(self):
        path = '/v1/declarations'
        read = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return {
            'control_large_chunks': (chunked(path, [bytes(PART)] * 15), CONTROL_CROWD, True),
            'control_one_byte_chunks': (chunked(path, [b'x'] * 20_000), CONTROL_CROWD, True),
            'control_short_of_the_end': (
                post_head(path, 'Content-Length: 1000000') + bytes(999_999), CONTROL_CROWD,
                True),
            'control_announced_body_over_the_limit': (
                post_head(path, 'Content-Length: 1000000000') + bytes(1_000_000),
                CONTROL_CROWD, True),
            'control_connections_left_open': (b'', CONTROL_CROWD, True),
            'control_answers_not_read': (read * 2000, CONTROL_CROWD, False),
        }

    def run(self, names):
        self.fleet.start_all()
        for name, case in self.entry_cases().items():
            if not names or name in names:
                self.run_case(name, self.run_entry_case, case)
        for name, case in self.control_cases().items():
            if not names or name in names:
                self.run_case(name, self.run_control_case, case)
        if not names or 'calm' in names:
            self.run_case('calm', self.run_calm, None)
        self.check_faults()

    def address(self, name):
        return '127.0.0.1', self.fleet.deployment.http_ports[name]

    def run_entry_case(self, case):
        """Starts the entry anew, so that its peak of memory belongs to the case."""
        self.fleet.kill(ENTRY)
        self.fleet.start_daemon(ENTRY)
        self.fleet.wait_ready([ENTRY])
        return self.run_crowd(ENTRY, self.address(ENTRY), case, ENTRY_LIMITS, lambda: http_status(
            self.fleet.deployment.http_ports[ENTRY], SERVICE + 'ordinary') == 200)

    def run_control_case(self, case):
        return self.run_crowd(CONTROL, self.address(CONTROL), case, CONTROL_LIMITS,
                              lambda: http_json(self.fleet.deployment.http_ports[CONTROL],
                                                '/v1/replicas'))

    def run_calm(self, _):
        """Requests one at a time: those inside the limits are served, and those over the
        limit read 413."""
        entry, control = self.address(ENTRY), self.address(CONTROL)
        large, end = bytes(PART), b'0\r\n\r\n'

        def post(path, size):
            return post_head(path, 'Content-Length: %d' % size)

        expected = {
            'largest body': (entry, post(SERVICE, MAX_BODY) + bytes(MAX_BODY), 200),
            'chunks of one byte': (entry, chunked(SERVICE, [b'x'] * 1000) + end, 200),
            'body of 50 MB': (entry, post(SERVICE, 50_000_000) + large * 16, 413),
            'announced by one byte': (entry, post(SERVICE, MAX_BODY + 1) + large, 413),
            'unannounced': (entry, chunked(SERVICE, [large] * 64), 413),
            'heartbeat over the limit': (entry, post('/v1/announcements', 50_000_000), 413),
            'announced to control': (control, post('/v1/declarations', 50_000_000) + large, 413),
            'unannounced to control': (
                control, chunked('/v1/declarations', [large] * 80), 413),
            'largest to control': (
                control, post('/v1/declarations', MAX_DECLARATION) + bytes(MAX_DECLARATION),
                400),
        }
        for name, (where, data, status) in expected.items():
            got = exchange(where, data)
            if got != status:
                raise StepError('%s: expected status %d, got %d' % (name, status, got))
        return 'all statuses as expected'


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('cases', nargs='*')
    parser.add_argument('--without-limits', action='store_true')
    arguments = parser.parse_args()
    arguments.seconds = 1
    folder = arguments.folder.resolve()
    shutil.rmtree(folder, ignore_errors=True)
    (folder / 'data').mkdir(parents=True)
    with ProcessGroup(folder, RUN_LIMIT_S) as group:
        test = UntrustedFleetClientsTest(LimitedFleet(arguments, group))
        try:
            test.run(arguments.cases)
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(5), file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
