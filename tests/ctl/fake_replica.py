"""Fake control replicas for the tests of the command-line tool."""

import http.server
import json
import socket
import threading


class FakeReplica:
    """Returns scripted responses on one loopback port until stop(), and records the
    requests.

    Each request takes the next step of the script; the last step repeats. A step is
    (status, body) or (status, body, headers); or 'drop', which closes the connection
    without a response; 'truncate', which sends half a response; or 'drop and stop',
    which also stops listening.
    """

    def __init__(self, name, script, received):
        self.name, self.script, self.received = name, list(script), received
        self.lock = threading.Lock()
        replica = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def handle_request(self):
                replica.handle(self)

            do_GET = do_POST = do_DELETE = handle_request

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self.server.daemon_threads = True
        self.address = '127.0.0.1:%d' % self.server.server_address[1]
        self.thread = threading.Thread(
            target=lambda: self.server.serve_forever(poll_interval=0.01))
        self.thread.start()

    def handle(self, handler):
        length = int(handler.headers.get('Content-Length') or 0)
        body = handler.rfile.read(length).decode()
        with self.lock:
            step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
            self.received.append({
                'replica': self.name, 'method': handler.command, 'path': handler.path,
                'submission': handler.headers.get('X-Submission-Id'),
                'actor': handler.headers.get('X-Actor'), 'body': body})
        handler.close_connection = True
        if step == 'drop and stop':
            self.stop()
        if isinstance(step, str) and step.startswith('drop'):
            return
        status, reply, *headers = (200, {'result': 'accepted'}) if step == 'truncate' else step
        payload = (reply if isinstance(reply, str) else json.dumps(reply)).encode()
        handler.send_response(status)
        for name, value in (headers[0] if headers else {}).items():
            handler.send_header(name, value)
        handler.send_header('Content-Length', str(len(payload)))
        handler.end_headers()
        handler.wfile.write(payload[:len(payload) // 2] if step == 'truncate' else payload)

    def stop(self):
        if self.server:
            server, self.server = self.server, None
            server.shutdown()
            server.server_close()


class ClosedReplica:
    """Reserves a port without listening on it, so that connections are refused."""

    def __init__(self):
        self.probe = socket.socket()
        self.probe.bind(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self.probe.getsockname()[1]

    def stop(self):
        self.probe.close()


class FrozenReplica:
    """Accepts connections but never responds, like a stopped process."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]

    def stop(self):
        self.listener.close()
