"""Sends malformed and unexpected messages to every port of schedulers and gateways:
mutated requests of endpoints, operators and callers, broken HTTP, and mutated copies of
the frames that schedulers send to each other.

Guards against one message that ends a process, and against messages that change what
the deployment accepts and runs afterwards.

Usage: test_odd_messages.py FOLDER_OF_PROGRAMS FOLDER [--seed N] [--seconds N]
"""

import argparse
import json
import pathlib
import random
import shutil
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError  # noqa: E402
from site_run import (CONTROL_PORT, GATEWAY_PORT, HOST, LINK_PORT, PREFIX,  # noqa: E402
                      READY_PORT, SERVICE, SiteDeployment, reserve_net)

SCHEDULERS, GATEWAY, ENDPOINT, RECORDER = [1, 2, 3], 8, 10, 4
SENDERS = 4
# Values of every type and at the bounds of the integer types.
ODD_VALUES = [None, True, -1, 0, 1.5, 1e300, 2 ** 31, 2 ** 32, 2 ** 53, 2 ** 63, 2 ** 64, -2 ** 63,
              10 ** 400, '', 'x' * 5000, '\x00', '\ud800', '../..', [], {}, [[]], {'': {}},
              [None] * 300]
ODD_TEXTS = [
    b'', b'null', b'[', b'{', b'[' * 200000, b'{"a":' * 50000, b'\xff\xfe', b'"\\u0000\\ud800',
    b'1e999999', b'-', b'{"version":1,"version":2}', b'{}' * 1000, b'NaN', b'\x00' * 100]
POST = b'POST / HTTP/1.1\r\n'
RAW = [
    b'\r\n' * 50, b'GET', b'GET / HTTP/9.9\r\n\r\n', POST + b'Content-Length: -1\r\n\r\n',
    POST + b'Content-Length: 99999999999999999999\r\n\r\n{}',
    POST + b'Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n',
    POST + b'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET',
    b'GET ' + b'/' * 70000 + b' HTTP/1.1\r\n\r\n',
    b'GET /%00%ff%2e%2e HTTP/1.1\r\nHost:\r\n\r\n',
    b'GET / HTTP/1.1\r\n' + b'A: b\r\n' * 5000 + b'\r\n', b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n']


def mutated(value, draw):
    """Returns a copy of a JSON value with some parts replaced, removed or added."""
    if draw.random() < 0.08:
        return draw.choice(ODD_VALUES)
    if isinstance(value, dict):
        result = {key: mutated(item, draw) for key, item in value.items() if draw.random() > 0.05}
        if draw.random() < 0.1:
            result['x' * draw.randint(0, 300)] = draw.choice(ODD_VALUES)
        return result
    if isinstance(value, list):
        return [mutated(item, draw) for item in value] * draw.choice([1, 1, 1, 2])
    return value


class Senders:
    """Sends odd messages from several threads and counts them by kind."""

    def __init__(self, deployment, frames, seed):
        self.deployment, self.frames, self.seed = deployment, frames, seed
        self.stopping, self.sent = threading.Event(), 0

    def send(self, ip, port, data):
        try:
            with socket.create_connection((ip, port), 1) as connection:
                connection.settimeout(0.05)
                connection.sendall(data)
                while connection.recv(65536):
                    pass
        except OSError:
            pass  # The process may refuse a message in any way but by its end.
        self.sent += 1

    def request(self, draw):
        """Returns an address, a port and the bytes of a request."""
        spec = {'spec': 'x', 'phases': [{
            'count': 2, 'cpu': 100, 'memMb': 10, 'estimateMs': 200, 'gang': True, 'dependsOn': [0],
            'maxPerServer': 1, 'requiredLabel': 'none', 'dataRack': 'r', 'repeatCount': 2,
            'startAtMs': 1, 'intervalMs': 5, 'targetMs': 5, 'mayMiss': 1}]}
        beat = {'service': SERVICE, 'addr': '127.0.0.1:9', 'zone': 'z', 'version': 'v', 'slots': 8,
                'state': 'ready', 'coldLeftMs': 0, 'capacity': {'cpu': 100, 'memMb': 10, 'gpu': 0},
                'labels': ['a', 'r1'], 'clockMs': 5, 'seq': 4, 'born': 5}
        scheduler = self.deployment.ip(draw.choice(SCHEDULERS))
        gateway = self.deployment.ip(GATEWAY)
        # Of no newer version: a valid one would take the place of the stored one.
        configuration = mutated(self.deployment.configuration(1), draw)
        if isinstance(configuration, dict) and isinstance(configuration.get('version'), int):
            configuration['version'] = 1
        job = '%016x' % draw.getrandbits(64)
        ip, port, method, path, body = draw.choice([
            (gateway, GATEWAY_PORT, 'POST', PREFIX + job, spec),
            (gateway, GATEWAY_PORT, 'DELETE', PREFIX + job[:draw.randint(0, 16)], {}),
            (gateway, GATEWAY_PORT, 'GET', PREFIX + job, {}),
            (gateway, READY_PORT, 'GET', '/-/readyz', {}),
            (scheduler, CONTROL_PORT, 'POST', '/-/instances/odd-%s/heartbeat' % job[:2], beat),
            (scheduler, CONTROL_PORT, 'POST', '/-/instances/odd-%s/deregister' % job[:2], beat),
            (scheduler, CONTROL_PORT, 'POST', '/-/config/replace', configuration),
            (scheduler, CONTROL_PORT, 'POST', '/-/wave-start',
             {'wave': 9, 'machines': ['m'], 'deadlineS': 2, 'maxCount': 1}),
            (scheduler, CONTROL_PORT, 'GET', '/-/wave-get/%d' % draw.choice([0, -1, 2 ** 64]), {}),
            (scheduler, CONTROL_PORT, 'GET', '/-/config/read', {})])
        text = draw.choice(ODD_TEXTS) if draw.random() < 0.15 else json.dumps(
            mutated(body, draw)).encode()
        if draw.random() < 0.1:
            text = text[:draw.randint(0, len(text))]
        length = len(text) + draw.choice([0] * 20 + [1, 100, 10 ** 9])
        lines = ['%s %s HTTP/1.1' % (method, path), 'Host: ' + HOST, 'Content-Length: %d' % length,
                 'Lycheetrestle-Deadline-Ms: ' + draw.choice(['3000', '-1', '', '9' * 30, 'x'])]
        return ip, port, '\r\n'.join(lines + ['', '']).encode() + text

    def frame(self, draw):
        """Returns an address, a link port and a mutated copy of recorded frames."""
        data = bytearray(draw.choice(self.frames) if self.frames else draw.randbytes(100))
        for _ in range(draw.choice([0, 1, 1, 3, 30])):
            if data:
                data[draw.randrange(len(data))] = draw.choice([0, 1, 127, 255, draw.randrange(256)])
        data = data[:draw.choice([len(data), draw.randint(0, len(data))])]
        if draw.random() < 0.2:
            data = draw.randbytes(draw.choice([1, 4, 8, 100, 5000])) + data
        if draw.random() < 0.1:
            data *= 20
        if draw.random() < 0.5:
            return self.deployment.ip(GATEWAY), LINK_PORT + 1, bytes(data)
        return self.deployment.ip(draw.choice(SCHEDULERS)), LINK_PORT, bytes(data)

    def raw(self, draw):
        scheduler = self.deployment.ip(draw.choice(SCHEDULERS))
        gateway = self.deployment.ip(GATEWAY)
        ip, port = draw.choice([(scheduler, CONTROL_PORT), (scheduler, LINK_PORT),
                                (gateway, GATEWAY_PORT), (gateway, READY_PORT),
                                (gateway, LINK_PORT + 1)])
        return ip, port, draw.choice(RAW + [draw.randbytes(draw.randint(1, 3000))])

    def loop(self, number):
        draw = random.Random('%d %d' % (self.seed, number))
        while not self.stopping.is_set():
            make = draw.choice([self.request, self.request, self.frame, self.raw])
            self.send(*make(draw))


def record_frames(address, frames):
    """Accepts connections and records what schedulers send to a peer that they know."""
    listener = socket.create_server(address)

    def read(connection):
        data = b''
        connection.settimeout(1)
        try:
            while len(data) < 65536:
                chunk = connection.recv(4096)
                if not chunk:
                    break
                data += chunk
                frames.append(data)
        except OSError:
            pass

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=read, args=(connection,), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=8)
    options = parser.parse_args()
    folder = options.folder.absolute()
    shutil.rmtree(folder, ignore_errors=True)
    frames = []
    with ProcessGroup(folder, int(options.seconds) + 200) as group:
        deployment = SiteDeployment(options.programs.absolute(), folder, reserve_net(), group)
        record_frames((deployment.ip(RECORDER), LINK_PORT), frames)
        for index in SCHEDULERS:
            deployment.start_scheduler(index, SCHEDULERS + [RECORDER], True)
        deployment.start_gateway(GATEWAY, SCHEDULERS)
        deployment.start_endpoint(ENDPOINT, SCHEDULERS)
        deployment.configure(5, SCHEDULERS)
        deployment.run_job(GATEWAY)
        senders = Senders(deployment, frames, options.seed)
        threads = [threading.Thread(target=senders.loop, args=(number,), daemon=True)
                   for number in range(SENDERS)]
        for thread in threads:
            thread.start()
        time.sleep(options.seconds)
        senders.stopping.set()
        for thread in threads:
            thread.join()
        try:
            group.check_all_running()
            deployment.run_job(GATEWAY)
            group.check_all_running()
        except StepError as error:
            print('seed %d, after %d messages: %s' % (options.seed, senders.sent, error))
            return 1
        print('seed %d: %d messages, %d recorded frames, all processes run'
              % (options.seed, senders.sent, len(frames)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
