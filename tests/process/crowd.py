"""Crowds of connections that send what no well-behaved client sends, and the checks that
tests with them share: the process lives, stays within bounds of memory and descriptors,
and answers an ordinary request while the connections of the crowd are open. No check
depends on elapsed time."""

import pathlib
import select
import socket
import threading
import time

from processes import StepError, wait_until

# The crowd has sent what it can when no connection made progress for this time.
QUIET_S = 2
SEND_LIMIT_S = 60
PART = 65_536


def post_head(host, path, fields):
    return ('POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n' % (path, host, fields)).encode()


def chunked(host, path, body_parts):
    """Returns a request with the chunks, without the last chunk that ends the body."""
    return post_head(host, path, 'Transfer-Encoding: chunked') + b''.join(
        b'%x\r\n%s\r\n' % (len(part), part) for part in body_parts)


class Connection:
    """A connection that sends the given bytes and reads only if asked to."""

    def __init__(self, address, data, reads, source=None):
        """The source is the client's IP address; without it, the system chooses."""
        self.data, self.reads = memoryview(data), reads
        self.sent, self.received, self.is_closed = 0, b'', False
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        if source:
            self.socket.bind((source, 0))
        self.socket.connect_ex(address)

    def wanted_events(self):
        if self.is_closed:
            return 0
        return ((select.POLLOUT if self.sent < len(self.data) else 0)
                | (select.POLLIN if self.reads else 0))

    def advance_to(self, end):
        """Sends up to the given position of the data."""
        try:
            self.sent += self.socket.send(self.data[self.sent:min(end, self.sent + PART)])
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True

    def advance(self, events):
        """Returns whether bytes were sent or received."""
        try:
            if events & select.POLLIN:
                part = self.socket.recv(PART)
                self.received += part
                self.is_closed = not part
                return True
            if events & select.POLLOUT:
                self.sent += self.socket.send(self.data[self.sent:self.sent + PART])
                return True
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
        if events & (select.POLLERR | select.POLLHUP):
            self.is_closed = True
        return False


class Crowd:
    """Connections that stay open until the end of the case."""

    def __init__(self, addresses, data, count, reads=True, sources=(None,)):
        """Distributes the connections over the addresses of servers and of clients."""
        self.connections = [
            Connection(addresses[n % len(addresses)], data, reads, sources[n % len(sources)])
            for n in range(count)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self.connections:
            connection.socket.close()

    def send(self, watch):
        """Sends until all is sent or nothing moves; calls watch() now and then."""
        end = time.monotonic() + SEND_LIMIT_S
        last_progress = time.monotonic()
        while time.monotonic() < min(end, last_progress + QUIET_S):
            poller = select.poll()
            by_number = {}
            for connection in self.connections:
                if not connection.is_closed:
                    poller.register(connection.socket, connection.wanted_events())
                    by_number[connection.socket.fileno()] = connection
            for number, events in poller.poll(100):
                if by_number[number].advance(events):
                    last_progress = time.monotonic()
            watch()

    def summary(self):
        return '%d of %d sent everything, %d closed' % (
            sum(c.sent == len(c.data) for c in self.connections), len(self.connections),
            sum(c.is_closed for c in self.connections))


class LastingCrowd:
    """Connections on a thread of their own that are opened again when they are closed. Each
    sends a first part at once and then a part in each interval."""

    # Pause before a closed connection is opened again.
    REOPEN_S = 0.5

    def __init__(self, addresses, data, count, sources=(None,), first_bytes=None,
                 part_bytes=PART, interval_s=0.0):
        self.addresses, self.data, self.sources = addresses, data, sources
        self.first_bytes = len(data) if first_bytes is None else first_bytes
        self.part_bytes, self.interval_s = part_bytes, interval_s
        self.opened, self.is_stopping = 0, False
        self.connections = [None] * count
        self.due = [0.0] * count
        self.allowed = [0] * count
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.is_stopping = True
        self.thread.join()
        for connection in self.connections:
            if connection:
                connection.socket.close()

    def run(self):
        while not self.is_stopping:
            poller = select.poll()
            by_number = {}
            for index in range(len(self.connections)):
                connection = self.prepare(index)
                if connection:
                    events = select.POLLIN
                    if connection.sent < min(self.allowed[index], len(connection.data)):
                        events |= select.POLLOUT
                    poller.register(connection.socket, events)
                    by_number[connection.socket.fileno()] = index
            for number, events in poller.poll(20):
                self.advance(by_number[number], events)

    def prepare(self, index):
        """Returns the open connection with this index, or None during a pause."""
        now = time.monotonic()
        connection = self.connections[index]
        if connection and connection.is_closed:
            connection.socket.close()
            self.connections[index] = connection = None
            self.due[index] = now + self.REOPEN_S
        if now < self.due[index]:
            return connection
        if connection:
            self.allowed[index] += self.part_bytes
        else:
            self.opened += 1
            self.allowed[index] = self.first_bytes
            connection = self.connections[index] = Connection(
                self.addresses[index % len(self.addresses)], self.data, True,
                self.sources[index % len(self.sources)])
        self.due[index] = now + self.interval_s
        return connection

    def advance(self, index, events):
        connection = self.connections[index]
        if not events & select.POLLIN and events & select.POLLOUT:
            connection.advance_to(min(self.allowed[index], len(connection.data)))
        else:
            connection.advance(events)

    def summary(self):
        return '%d connections, opened %d times' % (len(self.connections), self.opened)


def exchange(address, data):
    """Sends a request on its own connection and returns the status of the response, 0 if
    the connection ended without one."""
    received = b''
    with socket.create_connection(address, timeout=20) as connection:
        try:
            for begin in range(0, len(data), PART):
                connection.sendall(data[begin:begin + PART])
        except (BrokenPipeError, ConnectionResetError):
            pass
        try:
            while b'\r\n' not in received:
                part = connection.recv(4096)
                if not part:
                    break
                received += part
        except (ConnectionResetError, TimeoutError):
            pass
    return int(received.split()[1]) if received else 0


def peak_memory_kb(process):
    """Returns the largest resident memory that the process had."""
    for line in pathlib.Path('/proc/%d/status' % process.child.pid).read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    raise StepError('%s: no VmHWM in the process status' % process.name)


def open_descriptors(process):
    return len(list(pathlib.Path('/proc/%d/fd' % process.child.pid).iterdir()))


class Watch:
    """Checks that processes live, and records their peaks of memory and descriptors from
    its construction on."""

    def __init__(self, group, limits):
        """The limits are by name of the process."""
        self.group, self.limits = group, limits
        self.descriptors = dict.fromkeys(limits, 0)
        for name in limits:
            self.reset(name)

    def reset(self, name):
        """Begins anew with a process, for example one that was started again."""
        pid = self.group.processes[name].child.pid
        pathlib.Path('/proc/%d/clear_refs' % pid).write_text('5')

    def check_running(self):
        for name in self.limits:
            process = self.group.processes[name]
            if not process.is_running():
                raise StepError('%s has ended' % name)
            self.descriptors[name] = max(self.descriptors[name], open_descriptors(process))

    def check_bounds(self):
        """Returns the peaks as text."""
        self.check_running()
        peaks, exceeded = [], []
        for name, limits in self.limits.items():
            peak_kb = peak_memory_kb(self.group.processes[name])
            peaks.append('%s %.1f MB, %d descriptors' % (
                name, peak_kb / 1024, self.descriptors[name]))
            if (peak_kb > limits['memory_mb'] * 1024
                    or self.descriptors[name] > limits['descriptors']):
                exceeded.append('%s over %s' % (name, limits))
        if exceeded:
            raise StepError('%s: %s' % (', '.join(exceeded), '; '.join(peaks)))
        return '; '.join(peaks)


class CrowdTest:
    """Runs cases one after the other and collects their failures."""

    def __init__(self, group):
        self.group = group
        self.faults = []
        self.peak_descriptors = 0

    def run_case(self, name, run, case):
        """Runs one case; the others run also after its failure."""
        try:
            print('%s: %s' % (name, run(case)), flush=True)
        except StepError as failure:
            print('%s: FAILED: %s' % (name, failure), flush=True)
            self.faults.append('%s: %s' % (name, failure))

    def run_crowd(self, name, address, case, limits, is_served):
        data, count, reads = case
        process = self.group.processes[name]
        self.peak_descriptors = 0

        def watch():
            if not process.is_running():
                raise StepError('%s has ended' % name)
            folder = pathlib.Path('/proc/%d/fd' % process.child.pid)
            self.peak_descriptors = max(self.peak_descriptors, len(list(folder.iterdir())))

        with Crowd([address], data, count, reads) as crowd:
            crowd.send(watch)
            wait_until(is_served, 'response to an ordinary request with the crowd connected')
            watch()
            peak_kb = peak_memory_kb(process)
            result = 'peak %.1f MB, %d descriptors; %s' % (
                peak_kb / 1024, self.peak_descriptors, crowd.summary())
        if peak_kb > limits['memory_mb'] * 1024:
            raise StepError('expected at most %d MB: %s' % (limits['memory_mb'], result))
        if self.peak_descriptors > limits['descriptors']:
            raise StepError('expected at most %d descriptors: %s' % (
                limits['descriptors'], result))
        return result

    def check_faults(self):
        if self.faults:
            raise StepError('%d faults: %s' % (len(self.faults), '; '.join(self.faults)))
