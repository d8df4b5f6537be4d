"""A TCP proxy on loopback that injects faults into its connections: delays, resets, and
data loss in both directions or in one."""

import socket
import struct
import threading
import time

CONNECT_TIMEOUT_S = 2


class FaultProxy:
    """`delay_s` delays each chunk of data. `silent` drops all data and `one_way` the data
    from the target, without closing a connection. A connection that has dropped data
    stays silent after heal(); new connections work again."""

    def __init__(self, listen, target):
        self.target = target
        self.lock = threading.Lock()
        self.delay_s, self.silent, self.one_way = 0, False, False
        self.connections = []
        self.listener = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def heal(self):
        self.delay_s, self.silent, self.one_way = 0, False, False

    def reset_connections(self):
        with self.lock:
            pairs, self.connections = self.connections, []
        for pair in pairs:
            for end in pair:
                try:
                    # A linger time of zero makes close() send a reset.
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                    end.shutdown(socket.SHUT_RDWR)
                    end.close()
                except OSError:
                    pass

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset_connections()

    def accept_loop(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return  # The listener was closed.
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        with self.lock:
            self.connections.append((client, server))
        threading.Thread(target=self.forward, args=(client, server, False), daemon=True).start()
        self.forward(server, client, True)

    def forward(self, source, sink, from_target):
        dropping = False
        try:
            while data := source.recv(65536):
                dropping = dropping or self.silent or (self.one_way and from_target)
                if dropping:
                    continue
                if self.delay_s:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            pass
        if dropping:
            return
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
