"""A TCP relay on loopback that simulates a network partition. A partition closes no
connection: data stops flowing, as when a network drops packets."""

import socket
import threading


class Relay:
    """Forwards connections from one loopback port to another."""

    def __init__(self, listen_port, target_port):
        self.target_port = target_port
        self.forwarding = threading.Event()
        self.forwarding.set()
        self.listener = socket.create_server(('127.0.0.1', listen_port))
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def partition(self):
        self.forwarding.clear()

    def heal(self):
        self.forwarding.set()

    def accept_loop(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(('127.0.0.1', self.target_port))
            except OSError:
                # The target does not accept connections: drops the client's.
                continue
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                self.forwarding.wait()
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
