"""Runs complete sessions of lycheetrestlectl against fake replicas and compares standard
output, standard error, exit codes and the requests received by the replicas with golden
files. Guards against requests that differ from the documented ones, and against an
unknown outcome that is reported as known.

Usage: test_sessions.py TOOL [--update] [SESSION...]
"""

import difflib
import os
import pathlib
import subprocess
import sys

from fake_replica import ClosedReplica, FakeReplica, FrozenReplica
from sessions import SESSIONS

HERE = pathlib.Path(__file__).parent
# Ends a tool that hangs.
COMMAND_TIMEOUT_S = 60


def start_replicas(session, received):
    replicas = {}
    for name, script in session['replicas'].items():
        if script == 'closed':
            replicas[name] = ClosedReplica()
        elif script == 'frozen':
            replicas[name] = FrozenReplica()
        else:
            replicas[name] = FakeReplica(name, script, received)
    addresses = {name: replica.address for name, replica in replicas.items()}
    for replica in replicas.values():
        if isinstance(replica, FakeReplica):
            replica.script = [insert_addresses(step, addresses) for step in replica.script]
    return replicas


def insert_addresses(step, addresses):
    """Replaces `{name}` in the headers of a step by the address of that replica."""
    if isinstance(step, str) or len(step) < 3:
        return step
    headers = {name: value.format(**addresses) for name, value in step[2].items()}
    return (step[0], step[1], headers)


def run_command(tool, arguments, listed, files):
    """Runs one command and returns its transcript."""
    environment = {'PATH': os.environ['PATH'], 'USER': 'tester'}
    if listed:
        environment['LYCHEETRESTLE_CONTROL'] = ','.join(listed)
    result = subprocess.run(
        [tool] + arguments, env=environment, cwd=files, text=True,
        capture_output=True, timeout=COMMAND_TIMEOUT_S)
    text = '$ lycheetrestlectl %s\n' % ' '.join(arguments)
    for title, part in (('stdout', result.stdout), ('stderr', result.stderr)):
        if part:
            text += '[%s]\n%s' % (title, part)
    return text + '[exit %d]\n' % result.returncode


def show_request(request):
    line = '%s: %s %s' % (request['replica'], request['method'], request['path'])
    for name in ('submission', 'actor'):
        if request[name]:
            line += ' %s=%s' % (name, request[name])
    return line + (' body=' + show_body(request['body']) if request['body'] else '')


def show_body(body):
    """Returns the name of the file that has this content, or the body itself."""
    for path in sorted((HERE / 'files').iterdir()):
        if path.read_text() == body:
            return '<%s>' % path.name
    return body


def run_session(tool, session):
    received = []
    replicas = start_replicas(session, received)
    addresses = {name: replica.address for name, replica in replicas.items()}
    listed = [address for name, address in addresses.items()
              if name not in session.get('unlisted', [])]
    text = ''
    try:
        for command in session['commands']:
            first = len(received)
            text += run_command(tool, command, listed, HERE / 'files')
            requests = ['[request] %s\n' % show_request(request) for request in received[first:]]
            # The number of requests of a repeating session depends on the machine.
            if session.get('repeats'):
                if len(requests) > session.get('most_requests', 1000):
                    text += 'too many requests\n'
                requests = sorted(set(requests))
            text += ''.join(requests)
            text += '\n'
    finally:
        for replica in replicas.values():
            replica.stop()
    for name, address in addresses.items():
        # The last replica that a repeating session contacts depends on the machine.
        text = text.replace(address, 'replica' if session.get('repeats') else name)
    return text


def main():
    arguments = [word for word in sys.argv[1:] if word != '--update']
    update = '--update' in sys.argv
    tool, names = os.path.abspath(arguments[0]), arguments[1:] or sorted(SESSIONS)
    failed = []
    for name in names:
        golden = HERE / 'golden' / (name + '.txt')
        actual = run_session(tool, SESSIONS[name])
        if update:
            golden.write_text(actual)
            continue
        expected = golden.read_text() if golden.exists() else ''
        if actual != expected:
            failed.append(name)
            sys.stdout.writelines(difflib.unified_diff(
                expected.splitlines(True), actual.splitlines(True), str(golden.name), 'actual'))
    print('sessions: %d run, failed: %s' % (len(names), ', '.join(failed) or 'none'))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
