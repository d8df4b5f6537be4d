"""Runs three control replicas as processes: 1,000 changes and a restart of all
replicas, the kill and the freeze of the leader, deleted data folders, and --init beside a
formed cluster. Guards against state that differs between replicas or after a restart,
and against changes that are lost or applied twice."""

import http.client
import json
import pathlib
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'process'))
from processes import ProcessGroup, StepError, allocate_ports, http_json, wait_until

DAEMON = pathlib.Path(sys.argv[1]).resolve()
NAMES = ('control-1', 'control-2', 'control-3')
CHANGES = 1000


def check(condition, description):
    if not condition:
        raise StepError(description)


def declaration(number):
    hosts = [{'name': 'w%d' % i, 'pool': 'gate', 'zone': 'z1', 'rack': 'r1', 'cores': 4,
              'memory_mb': 1024, 'accelerators': 0} for i in range(8)]
    return json.dumps({'number': number, 'teams': [], 'hosts': hosts,
                       'pools': [{'name': 'gate', 'budget': {'min_available_percent': 50}}],
                       'services': [{'name': 'plots', 'pool': 'gate'}]})


class Cluster:
    """Settings and processes of the three replicas."""

    def __init__(self, group, folder):
        self.group = group
        self.folder = pathlib.Path(folder)
        ports = allocate_ports(6)
        self.http_ports = dict(zip(NAMES, ports[:3]))
        controls = [{'name': name, 'zone': 'z%d' % i, 'address': '127.0.0.1',
                     'port': ports[3 + i], 'http_address': '127.0.0.1', 'http_port': ports[i]}
                    for i, name in enumerate(NAMES)]
        for i, name in enumerate(NAMES):
            settings = {'role': 'control', 'name': name, 'zone': 'z%d' % i, 'cluster': 'test',
                        'data_folder': str(self.folder / name),
                        'listen': {'address': '127.0.0.1', 'port': ports[i]},
                        'link': {'address': '127.0.0.1', 'port': ports[3 + i]},
                        'controls': controls, 'entries': [], 'snapshot': {'every_entries': 300}}
            (self.folder / (name + '.json')).write_text(json.dumps(settings))

    def start(self, name, *options):
        return self.group.start(
            name, [DAEMON, '--settings', self.folder / (name + '.json'), *options])

    def process(self, name):
        return self.group.processes[name]

    def kill(self, name):
        self.process(name).send_signal(signal.SIGKILL)
        self.process(name).wait(10)

    def wait_leader(self, other_than=None):
        def find():
            for name in NAMES:
                # Only a leader that a majority confirms returns its status.
                if name != other_than and http_json(self.http_ports[name], '/v1/status'):
                    return name
            return None
        return wait_until(find, 'election of a leader')

    def submit(self, name, number, submission, timeout=15):
        connection = http.client.HTTPConnection('127.0.0.1', self.http_ports[name], timeout=timeout)
        try:
            connection.request('POST', '/v1/declarations', declaration(number),
                               {'X-Submission-Id': submission})
            reply = connection.getresponse()
            return reply.status, json.loads(reply.read())
        finally:
            connection.close()

    def submit_until_final(self, number, submission):
        """Resends with the same submission id until a replica returns a final response,
        and returns its status."""
        def attempt():
            for name in NAMES:
                try:
                    status, body = self.submit(name, number, submission, 3)
                except OSError:
                    continue
                if body.get('verdict') not in ('not-run', 'may-have-run') or status == 409:
                    return status
            return None
        return wait_until(attempt, 'final response to %s' % submission)

    def wait_equal_replicas(self):
        """Waits until all replicas report the same state, and returns it."""
        def compare():
            states = [http_json(self.http_ports[name], '/v1/replicas') for name in NAMES]
            if not all(states):
                return None
            distinct = {(s['applied_index'], s['digest']) for s in states}
            return states[0] if len(distinct) == 1 else None
        return wait_until(compare, 'equal state of all replicas')

    def rejoin_with_empty_folder(self, name):
        """Deletes the data folder of a replica and waits until it votes again with a new
        incarnation."""
        self.kill(name)
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self.start(name)

        def is_voter_again():
            state = http_json(self.http_ports[name], '/v1/replicas') or {'members': []}
            own = [m for m in state['members'] if m['name'] == name]
            return len(state['members']) == 3 and own and own[0]['voter'] \
                and own[0]['incarnation'] != '1'
        wait_until(is_voter_again, 'promotion of %s to voter' % name)


def check_changes_and_restarts(cluster):
    leader = cluster.wait_leader()
    for number in range(1, CHANGES + 1):
        status, body = cluster.submit(leader, number, 's-%d' % number)
        check(status == 200, 'change %d: expected status 200, got %s %s' % (number, status, body))
    before = cluster.wait_equal_replicas()['digest']
    codes = cluster.group.terminate(NAMES)
    check(set(codes.values()) == {0}, 'expected exit code 0 after SIGTERM, got %s' % codes)
    for name in NAMES:
        cluster.start(name)
    cluster.wait_leader()
    check(cluster.wait_equal_replicas()['digest'] == before, 'the digest changed by a restart')
    for name in NAMES:
        cluster.kill(name)
    for name in NAMES:
        cluster.start(name)
    cluster.wait_leader()
    check(cluster.wait_equal_replicas()['digest'] == before,
          'the digest changed by SIGKILL of all replicas')


def check_leader_kill_and_freeze(cluster):
    leader = cluster.wait_leader()
    cluster.kill(leader)
    check(cluster.submit_until_final(CHANGES + 1, 'after-kill') == 200,
          'the change after SIGKILL of the leader was not accepted')
    cluster.start(leader)
    cluster.wait_equal_replicas()
    frozen = cluster.wait_leader()
    cluster.process(frozen).send_signal(signal.SIGSTOP)
    successor = cluster.wait_leader(other_than=frozen)
    status, _ = cluster.submit(successor, CHANGES + 2, 'after-freeze')
    check(status == 200, 'the change while the previous leader is frozen was not accepted')
    cluster.process(frozen).send_signal(signal.SIGCONT)
    status, body = cluster.submit(frozen, CHANGES + 2, 'stale')
    check(status != 200,
          'the resumed leader accepted a declaration number already in use: %s' % body)
    check(cluster.submit_until_final(CHANGES + 2, 'after-freeze') == 200,
          'the resend of an accepted change was not accepted')
    check(cluster.submit_until_final(CHANGES + 2, 'stale') == 409,
          'the resend of the refused change was not refused')
    cluster.wait_equal_replicas()


def check_deleted_data_folders(cluster):
    digest = cluster.wait_equal_replicas()['digest']
    leader = cluster.wait_leader()
    follower = next(name for name in NAMES if name != leader)
    for name in (follower, leader):
        cluster.rejoin_with_empty_folder(name)
        check(cluster.wait_equal_replicas()['digest'] == digest,
              'the state changed when %s rejoined' % name)
    leader = cluster.wait_leader()
    follower = next(name for name in NAMES if name != leader)
    cluster.kill(follower)
    shutil.rmtree(cluster.folder / follower)
    refused = cluster.start(follower, '--init')
    check(refused.wait(20) == 1, '--init beside a formed cluster was not refused')
    check('formed cluster' in refused.tail(), 'the refusal does not name the formed cluster')
    cluster.rejoin_with_empty_folder(follower)


def main():
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(folder, timeout_s=240) as group:
        cluster = Cluster(group, folder)
        for name in NAMES:
            cluster.start(name, '--init')
        check_changes_and_restarts(cluster)
        check_leader_kill_and_freeze(cluster)
        check_deleted_data_folders(cluster)
        codes = group.terminate(NAMES)
        check(set(codes.values()) == {0}, 'expected exit code 0 at the end, got %s' % codes)
    print('control processes: passed')


main()
