"""A TCP relay on loopback that a test can cut. A cut closes nothing: bytes just
stop, as behind a network that drops packets."""

import socket
import threading


class Relay:
    def __init__(self, listen_port, target_port):
        self.target_port = target_port
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(('127.0.0.1', listen_port))
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(('127.0.0.1', self.target_port))
            except OSError:
                # The target is down; a refused connection closes the client's.
                continue
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.pump, args=(source, sink), daemon=True).start()

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                self.open.wait()
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
