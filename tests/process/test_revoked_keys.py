"""Keys of workspaces are withdrawn while a gateway or the leader is suspended, and the
schedulers restart and lose a data folder. Guards against a withdrawn key that still works
somewhere: at a process that missed the change, or from a state that was restored.

Usage: test_revoked_keys.py FOLDER_OF_PROGRAMS FOLDER
"""

import concurrent.futures
import http.client
import json
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import GATEWAY_PORT, HOST, PREFIX, ROOT, SiteDeployment, reserve_net  # noqa: E402

SCHEDULERS = [1, 2, 3]
GATEWAYS = [8, 9]
PUBLIC_PREFIX = '/public/'
# Users expect that a withdrawn key is refused from this time after the acknowledgement on.
IN_FORCE_S = 2.5
# Requests that are sent at once to a process that was suspended.
BURST = 20


class RevokedKeys:
    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 0
        self.keys = {'w1': ['alpha-key'], 'w2': ['beta-key']}
        self.refused = 0

    def document(self, version, keys):
        document = self.deployment.configuration(version)
        document['routes'].append(dict(document['routes'][0], name='p', public=True,
                                       pathPrefix=PUBLIC_PREFIX))
        document['tenants'] = [{'name': name, 'apiKeys': list(keys[name])}
                               for name in sorted(keys)]
        return document

    def send_configuration(self, index, document, redirects=2):
        return self.deployment.request(self.deployment.control_address(index), 'POST',
                                       '/-/config/replace', document, redirects=redirects)[0]

    def change(self, indices=SCHEDULERS):
        """Sends the keys to any of the schedulers and returns when that was acknowledged."""
        self.version += 1
        document = self.document(self.version, self.keys)
        wait_until(lambda: any(self.send_configuration(index, document) == 200
                               for index in indices),
                   'acknowledgement of configuration %d' % self.version)
        return time.monotonic()

    def request(self, gateway, key, method='GET', path=PREFIX, body=None):
        """Returns the status of a response, or 0 without one."""
        connection = http.client.HTTPConnection(
            '%s:%d' % (self.deployment.ip(gateway), GATEWAY_PORT), timeout=4)
        try:
            headers = {'Host': HOST}
            if key is not None:
                headers['Authorization'] = 'Token ' + key
            connection.request(method, path, json.dumps(body) if body else None, headers)
            reply = connection.getresponse()
            reply.read()
            return reply.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def expect(self, status, gateway, key, method='GET', path=PREFIX, body=None):
        """Expects the status, after 0 and 503 and 504, which tell nothing."""
        def answer():
            result = self.request(gateway, key, method, path, body)
            return 0 if result in (503, 504) else result
        result = wait_until(answer, 'an answer of gateway %d' % gateway, 20)
        if result != status:
            raise StepError('%s %s with key %s at gateway %d: expected %d, got %d'
                            % (method, path, key, gateway, status, result))

    def submit(self, gateway, key, job, status=200, prefix=PREFIX):
        body = {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimateMs': 100}]}
        self.expect(status, gateway, key, 'POST', prefix + job, body)

    def check_refused(self, key, job):
        """Expects 401 for the key at every gateway and for each kind of request."""
        for gateway in GATEWAYS:
            self.expect(401, gateway, key)
            self.expect(401, gateway, key, 'GET', PREFIX + job)
            self.expect(401, gateway, key, 'DELETE', PREFIX + job)
            self.submit(gateway, key, job, 401)
            self.submit(gateway, key, '%016x' % 0xfeed, 401)
            self.refused += 5

    def check_served(self, key, job):
        for gateway in GATEWAYS:
            self.expect(200, gateway, key)
            self.expect(200, gateway, key, 'GET', PREFIX + job)
            self.submit(gateway, key, job)

    def leader(self):
        """Returns the scheduler that answers a read itself, or None."""
        for index in SCHEDULERS:
            status, _ = self.deployment.request(self.deployment.control_address(index), 'GET',
                                                '/-/config/read', redirects=0)
            if status == 200:
                return index
        return None

    def burst(self, gateway, key, resume):
        """Sends requests to a gateway, resumes a process, and sends more. Returns the
        statuses."""
        with concurrent.futures.ThreadPoolExecutor(2 * BURST) as pool:
            results = [pool.submit(self.request, gateway, key) for _ in range(BURST)]
            time.sleep(0.1)
            resume()
            results += [pool.submit(self.request, gateway, key) for _ in range(BURST)]
            return [result.result() for result in results]

    def check_never_served(self, statuses, what):
        if any(200 <= status < 300 for status in statuses):
            raise StepError('%s: a withdrawn key was served: %s' % (what, statuses))

    def check_basics(self, job):
        for gateway in GATEWAYS:
            self.submit(gateway, 'alpha-key', job)
            self.expect(403, gateway, 'beta-key', 'GET', PREFIX + job)
            self.expect(403, gateway, 'beta-key', 'DELETE', PREFIX + job)
            self.submit(gateway, 'beta-key', job, 403)
            self.expect(200, gateway, 'beta-key')
            self.expect(404, gateway, None, 'GET', '/none/')
            self.expect(200, gateway, None, 'GET', PUBLIC_PREFIX)
            self.expect(401, gateway, None, 'GET', PUBLIC_PREFIX + job)
        for key in (None, 'never-configured'):
            self.check_refused(key, job)

    def suspend_gateway(self, job):
        """Withdraws a key while a gateway is suspended."""
        process = self.deployment.group.processes['gateway-%d' % GATEWAYS[0]]
        self.keys['w1'] = ['gamma-key']
        process.send_signal(signal.SIGSTOP)
        acknowledged = self.change()
        time.sleep(max(0.0, acknowledged + IN_FORCE_S - time.monotonic()))
        statuses = self.burst(GATEWAYS[0], 'alpha-key',
                              lambda: process.send_signal(signal.SIGCONT))
        self.check_never_served(statuses, 'resumed gateway')
        self.check_refused('alpha-key', job)
        self.check_served('gamma-key', job)

    def suspend_leader(self, job):
        """Withdraws a key through the next leader while the earlier one is suspended."""
        leader = wait_until(self.leader, 'a leader', 20)
        process = self.deployment.group.processes['scheduler-%d' % leader]
        # Reads were confirmed a moment ago.
        self.check_served('gamma-key', job)
        process.send_signal(signal.SIGSTOP)
        self.keys['w1'] = ['delta-key']
        acknowledged = self.change([index for index in SCHEDULERS if index != leader])
        time.sleep(max(0.0, acknowledged + IN_FORCE_S - time.monotonic()))
        for gateway in GATEWAYS:
            statuses = self.burst(gateway, 'gamma-key',
                                  lambda: process.send_signal(signal.SIGCONT))
            self.check_never_served(statuses, 'resumed leader')
        self.check_refused('gamma-key', job)
        self.check_served('delta-key', job)

    def restart_schedulers(self, job):
        for index in SCHEDULERS:
            self.deployment.kill('scheduler-%d' % index)
        for index in SCHEDULERS:
            self.deployment.start_scheduler(index, SCHEDULERS, False)
        self.check_refused('gamma-key', job)
        self.check_served('delta-key', job)

    def lose_disk(self, job):
        lost = wait_until(self.leader, 'a leader', 20)
        self.deployment.kill('scheduler-%d' % lost)
        self.deployment.wipe(lost)
        self.deployment.start_scheduler(lost, SCHEDULERS, False)
        self.check_refused('gamma-key', job)
        self.check_served('delta-key', job)
        wait_until(lambda: self.deployment.read_version(lost) == self.version,
                   'reading at the scheduler that lost its disk', 20)

    def compete(self):
        """Two operators change the workspaces under the same version at once. The content
        that is read back is one of both as a whole, everywhere, and no key of the other
        works."""
        for turn in range(5):
            self.version += 1
            documents = []
            for operator in ('left', 'right'):
                keys = {'w1': ['%s-%d-1' % (operator, turn)], 'w2': ['%s-%d-2' % (operator, turn)]}
                documents.append(self.document(self.version, keys))
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                list(pool.map(lambda pair: self.retry_configuration(*pair),
                              zip(SCHEDULERS, documents)))
            found = [self.read(index) for index in SCHEDULERS]
            if found[0] not in documents or any(other != found[0] for other in found):
                raise StepError('expected one of %s, read %s' % (documents, found))
            loser = documents[1 - documents.index(found[0])]
            for gateway in GATEWAYS:
                for won, lost in zip(found[0]['tenants'], loser['tenants']):
                    self.expect(200, gateway, won['apiKeys'][0])
                    self.expect(401, gateway, lost['apiKeys'][0])

    def retry_configuration(self, index, document):
        wait_until(lambda: self.send_configuration(index, document) == 200,
                   'acknowledgement of configuration %d' % document['version'], 20)

    def read(self, index):
        def answer():
            status, document = self.deployment.request(
                self.deployment.control_address(index), 'GET', '/-/config/read')
            return document if status == 200 else None
        return wait_until(answer, 'reading at scheduler %d' % index, 20)

    def accept_example(self):
        """The committed example is accepted as it is, but for its version."""
        document = json.loads((ROOT / 'examples' / 'workspaces.json').read_text())
        self.version += 1
        document['version'] = self.version
        self.retry_configuration(SCHEDULERS[0], document)
        if self.read(SCHEDULERS[0]) != document:
            raise StepError('the example was not read back unchanged')

    def check_logs(self):
        """No key stands in the log of any process."""
        keys = ('alpha-key', 'beta-key', 'gamma-key', 'delta-key', 'never-configured', 'left-0',
                'right-0')
        for log in self.deployment.folder.glob('*.log'):
            text = log.read_text(errors='replace')
            shown = [key for key in keys if key in text]
            if shown:
                raise StepError('%s shows %s' % (log.name, shown))

    def run(self):
        deployment = self.deployment
        for index in SCHEDULERS:
            deployment.start_scheduler(index, SCHEDULERS, True)
        for index in GATEWAYS:
            deployment.start_gateway(index, SCHEDULERS)
        deployment.start_endpoint(10, SCHEDULERS)
        self.change()
        job = '%016x' % 0xabc
        self.check_basics(job)
        self.suspend_gateway(job)
        self.suspend_leader(job)
        self.restart_schedulers(job)
        self.lose_disk(job)
        self.compete()
        self.accept_example()
        self.check_logs()
        deployment.group.check_all_running()


def main():
    programs, folder = sys.argv[1:]
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 300) as group:
        test = RevokedKeys(SiteDeployment(programs, folder, reserve_net(), group))
        try:
            test.run()
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(12), file=sys.stderr)
            return 1
    print('revoked keys: %d changes, %d requests refused' % (test.version, test.refused))
    return 0


if __name__ == '__main__':
    sys.exit(main())
