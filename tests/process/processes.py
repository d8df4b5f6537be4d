"""Starts processes on free loopback ports, stops them by process id, and waits for
conditions. No check depends on elapsed time; the timeouts only end a hang."""

import json
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

# Below the usual ephemeral range, so that no outgoing connection occupies a port
# between its allocation and its use.
FIRST_PORT, LAST_PORT = 22000, 31999
PORTS_PER_BLOCK = 100


class StepError(Exception):
    """A step of a test or of the demo failed."""


class PortAllocator:
    """Allocates ports from blocks that are reserved for this process. Tests run
    concurrently, and a port is used seconds after its allocation, so probing
    whether it is free is not enough: the first port of each block stays bound as
    the lock of the block."""

    def __init__(self):
        self.block_locks, self.unused_ports = [], []

    def reserve_block(self):
        for first in random.sample(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK),
                                   (LAST_PORT - FIRST_PORT) // PORTS_PER_BLOCK):
            lock = socket.socket()
            try:
                lock.bind(('127.0.0.1', first))
            except OSError:
                lock.close()
                continue
            self.block_locks.append(lock)
            self.unused_ports.extend(range(first + 1, first + PORTS_PER_BLOCK))
            return
        raise StepError('every block of ports is reserved')

    def allocate(self):
        while True:
            if not self.unused_ports:
                self.reserve_block()
            port = self.unused_ports.pop(0)
            with socket.socket() as probe:
                try:
                    probe.bind(('127.0.0.1', port))
                    return port
                except OSError:
                    continue


PORT_ALLOCATOR = PortAllocator()


def allocate_ports(count):
    """Returns loopback ports that are reserved for this process."""
    return [PORT_ALLOCATOR.allocate() for _ in range(count)]


def wait_until(condition, description, timeout_s=60, period_s=0.05):
    """Polls condition() until its result is true, and returns the result. Raises
    StepError with the description after the timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() >= deadline:
            raise StepError('%s did not happen within %d s' % (description, timeout_s))
        time.sleep(period_s)


def http_status(port, path):
    """Returns the status of a GET, or 0 without a response."""
    try:
        with urllib.request.urlopen('http://127.0.0.1:%d%s' % (port, path), timeout=2) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except (OSError, ValueError):
        return 0


def http_json(port, path):
    """Returns the JSON body of a GET, or None without a successful response."""
    try:
        with urllib.request.urlopen('http://127.0.0.1:%d%s' % (port, path), timeout=2) as reply:
            return json.load(reply)
    except (OSError, ValueError):
        return None


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = pathlib.Path(folder) / (name + '.log')
        with open(self.log, 'ab') as log:
            self.child = subprocess.Popen([str(a) for a in arguments], cwd=folder,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def is_running(self):
        return self.child.poll() is None

    def resident_kb(self):
        for line in pathlib.Path('/proc/%d/status' % self.child.pid).read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
        raise StepError('%s: no VmRSS in the process status' % self.name)

    def send_signal(self, number):
        """Sends a signal if the process still runs."""
        if self.is_running():
            self.child.send_signal(number)

    def wait(self, timeout_s):
        """Returns the exit code, or None after the timeout."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def tail(self, lines=15):
        """Returns the last lines of the log, each with the name of the process."""
        text = self.log.read_text(errors='replace').splitlines()
        return '\n'.join('  %s: %s' % (self.name, line) for line in text[-lines:])


class PipedProcess(Process):
    """A child process whose output goes through a pipe into its log file, so that a
    limit of the size of its files does not apply to its output."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = pathlib.Path(folder) / (name + '.log')
        self.child = subprocess.Popen([str(a) for a in arguments], cwd=folder,
                                      stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                                      stderr=subprocess.STDOUT)
        threading.Thread(target=self.copy_output, daemon=True).start()

    def copy_output(self):
        with open(self.log, 'ab', buffering=0) as log:
            for line in self.child.stdout:
                log.write(line)


class ProcessGroup:
    """Kills every process that it started when the `with` block is left, also after
    SIGTERM, SIGINT or the timeout of the whole run."""

    def __init__(self, folder, timeout_s=300):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.timeout_s = timeout_s
        self.processes = {}

    def __enter__(self):
        def fail(number, _):
            raise StepError('stopped by %s' % signal.Signals(number).name)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(number, fail)
        signal.alarm(self.timeout_s)
        return self

    def __exit__(self, *_):
        signal.alarm(0)
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait(10)

    def start(self, name, arguments, process_type=Process):
        process = process_type(name, arguments, self.folder)
        self.processes[name] = process
        return process

    def check_all_running(self):
        for process in self.processes.values():
            if not process.is_running():
                raise StepError('%s exited with code %s:\n%s'
                                % (process.name, process.child.returncode, process.tail()))

    def terminate(self, names, timeout_s=45):
        """Sends SIGTERM to the processes and returns their exit codes by name. None
        means that the process did not exit in time and was killed."""
        for name in names:
            self.processes[name].send_signal(signal.SIGTERM)
        codes = {}
        for name in names:
            process = self.processes[name]
            codes[name] = process.wait(timeout_s)
            if codes[name] is None:
                process.send_signal(signal.SIGKILL)
                process.wait(10)
            del self.processes[name]
        return codes
