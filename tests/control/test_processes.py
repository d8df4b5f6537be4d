"""Runs three control replicas as processes: 1,000 changes and restarts of all
replicas, SIGKILL and SIGSTOP of the leader, deleted data folders, and --init next
to a formed cluster. Guards against state that differs between replicas or after a
restart, and against changes that are lost or executed twice."""

import http.client
import json
import pathlib
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'process'))
from processes import Failed, ProcessGroup, free_ports, http_json, wait_until

DAEMON = pathlib.Path(sys.argv[1]).resolve()
NAMES = ('control-1', 'control-2', 'control-3')
CHANGES = 1000


def check(condition, what):
    if not condition:
        raise Failed(what)


def declaration(number):
    hosts = [{'name': 'w%d' % i, 'pool': 'gate', 'zone': 'z1', 'rack': 'r1', 'cores': 4,
              'memory_mb': 1024, 'accelerators': 0} for i in range(8)]
    return json.dumps({'number': number, 'teams': [], 'hosts': hosts,
                       'pools': [{'name': 'gate', 'budget': {'min_available_percent': 50}}],
                       'services': [{'name': 'plots', 'pool': 'gate'}]})


class Cluster:
    def __init__(self, group, folder):
        self.group = group
        self.folder = pathlib.Path(folder)
        ports = free_ports(6)
        self.http = dict(zip(NAMES, ports[:3]))
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
        self.process(name).signal(signal.SIGKILL)
        self.process(name).wait(10)

    def leader(self, other_than=None):
        def find():
            for name in NAMES:
                # Only a leader that a majority confirms answers a status query.
                if name != other_than and http_json(self.http[name], '/v1/status'):
                    return name
            return None
        return wait_until(find, 'election of a leader')

    def submit(self, name, number, submission, timeout=15):
        connection = http.client.HTTPConnection('127.0.0.1', self.http[name], timeout=timeout)
        try:
            connection.request('POST', '/v1/declarations', declaration(number),
                               {'X-Submission-Id': submission})
            reply = connection.getresponse()
            return reply.status, json.loads(reply.read())
        finally:
            connection.close()

    def submit_until_final(self, number, submission):
        """Resends under the same submission id until a replica gives a final answer."""
        def attempt():
            for name in NAMES:
                try:
                    status, body = self.submit(name, number, submission, 3)
                except OSError:
                    continue
                if body.get('verdict') not in ('not-run', 'may-have-run') or status == 409:
                    return status
            return None
        return wait_until(attempt, 'answer to %s' % submission)

    def equal_replicas(self):
        def compare():
            states = [http_json(self.http[name], '/v1/replicas') for name in NAMES]
            if not all(states):
                return None
            seen = {(s['applied_index'], s['digest']) for s in states}
            return states[0] if len(seen) == 1 else None
        return wait_until(compare, 'equal state of all replicas')

    def rejoin_with_empty_folder(self, name):
        self.kill(name)
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self.start(name)

        def is_voter_again():
            state = http_json(self.http[name], '/v1/replicas') or {'members': []}
            own = [m for m in state['members'] if m['name'] == name]
            return len(state['members']) == 3 and own and own[0]['voter'] \
                and own[0]['incarnation'] != '1'
        wait_until(is_voter_again, 'promotion of %s' % name)


def many_changes_and_restarts(cluster):
    leader = cluster.leader()
    for number in range(1, CHANGES + 1):
        status, body = cluster.submit(leader, number, 's-%d' % number)
        check(status == 200, 'change %d was answered %s %s' % (number, status, body))
    before = cluster.equal_replicas()['digest']
    codes = cluster.group.end(NAMES)
    check(set(codes.values()) == {0}, 'exit codes after SIGTERM: %s' % codes)
    for name in NAMES:
        cluster.start(name)
    cluster.leader()
    check(cluster.equal_replicas()['digest'] == before, 'the digest changed after a restart')
    for name in NAMES:
        cluster.kill(name)
    for name in NAMES:
        cluster.start(name)
    cluster.leader()
    check(cluster.equal_replicas()['digest'] == before, 'the digest changed after SIGKILL of all')


def killed_and_stopped_leader(cluster):
    leader = cluster.leader()
    cluster.kill(leader)
    check(cluster.submit_until_final(CHANGES + 1, 'after-kill') == 200, 'change after SIGKILL')
    cluster.start(leader)
    cluster.equal_replicas()
    stopped = cluster.leader()
    cluster.process(stopped).signal(signal.SIGSTOP)
    new_leader = cluster.leader(other_than=stopped)
    status, _ = cluster.submit(new_leader, CHANGES + 2, 'after-freeze')
    check(status == 200, 'change while the earlier leader is stopped')
    cluster.process(stopped).signal(signal.SIGCONT)
    status, body = cluster.submit(stopped, CHANGES + 2, 'stale')
    check(status != 200, 'the resumed leader accepted a number that is in use: %s' % body)
    check(cluster.submit_until_final(CHANGES + 2, 'after-freeze') == 200, 'resend')
    check(cluster.submit_until_final(CHANGES + 2, 'stale') == 409, 'resend of the refused change')
    cluster.equal_replicas()


def deleted_folders(cluster):
    digest = cluster.equal_replicas()['digest']
    leader = cluster.leader()
    follower = next(name for name in NAMES if name != leader)
    for name in (follower, leader):
        cluster.rejoin_with_empty_folder(name)
        check(cluster.equal_replicas()['digest'] == digest, 'state after %s has rejoined' % name)
    leader = cluster.leader()
    follower = next(name for name in NAMES if name != leader)
    cluster.kill(follower)
    shutil.rmtree(cluster.folder / follower)
    refused = cluster.start(follower, '--init')
    check(refused.wait(20) == 1, '--init next to a formed cluster was not refused')
    check('formed cluster' in refused.tail(), 'the error of --init does not say why')
    cluster.rejoin_with_empty_folder(follower)


def main():
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(folder, limit_s=240) as group:
        cluster = Cluster(group, folder)
        for name in NAMES:
            cluster.start(name, '--init')
        many_changes_and_restarts(cluster)
        killed_and_stopped_leader(cluster)
        deleted_folders(cluster)
        codes = group.end(NAMES)
        check(set(codes.values()) == {0}, 'exit codes at the end: %s' % codes)
    print('control processes: passed')


main()
