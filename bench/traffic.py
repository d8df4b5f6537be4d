"""Measures the control overhead of an idle deployment: link traffic, processor
time and resident memory of each role, for growing numbers of entries and
endpoints.

Usage: traffic.py FOLDER_OF_PROGRAMS FOLDER [--sizes 3x6,6x6,12x6,12x24,12x48]
                  [--seconds 15]
"""

import argparse
import pathlib
import shutil
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tests' / 'process'))
from fleet_run import FleetRun, HOSTS  # noqa: E402
from processes import ProcessGroup, allocate_ports  # noqa: E402

CLOCK_TICKS_PER_SECOND = 100
PREFIX = 'lycheetrestle_'


def read_metrics(port):
    """Returns the metrics of a process by name, without the common prefix."""
    with urllib.request.urlopen('http://127.0.0.1:%d/metrics' % port, timeout=5) as reply:
        lines = reply.read().decode().splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line.startswith(PREFIX))
    return {name[len(PREFIX):]: float(value) for name, value in pairs}


def processor_seconds(pid):
    fields = pathlib.Path('/proc/%d/stat' % pid).read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def sample_process(fleet, name):
    values = read_metrics(fleet.deployment.http_ports[name])
    values['processor_s'] = processor_seconds(fleet.group.processes[name].child.pid)
    return values


def measure(fleet, seconds):
    """Returns, by role, the rates per second and the memory of each process."""
    names = fleet.deployment.controls + fleet.deployment.entries
    before = {name: sample_process(fleet, name) for name in names}
    started = time.monotonic()
    time.sleep(seconds)
    after = {name: sample_process(fleet, name) for name in names}
    elapsed_s = time.monotonic() - started
    roles = {'leader': [], 'follower': [], 'entry': []}
    for name in names:
        role = 'entry' if name in fleet.deployment.entries else \
            'leader' if after[name]['is_leader'] else 'follower'
        rate = {key: (after[name][key] - before[name].get(key, 0)) / elapsed_s for key in
                ('link_bytes{direction="sent"}', 'link_bytes{direction="received"}',
                 'link_messages{direction="sent"}', 'processor_s')}
        rate['resident_mb'] = fleet.group.processes[name].resident_kb() / 1024
        roles[role].append(rate)
    return roles


def start_more_endpoints(fleet, count):
    """Raises the number of endpoints to `count`. Their heartbeats go to the entries
    in turn, as through a load balancer."""
    entries = fleet.deployment.entry_addresses().split(',')
    ports = allocate_ports(count)
    for index in range(len(HOSTS), count):
        offset = index % len(entries)
        fleet.group.start('endpoint-%d' % index, [
            fleet.program('endpoint_standin'), '--name', 'endpoint-%d' % index,
            '--service', 'plots', '--pool', 'gate', '--host', 'w01', '--port', ports[index],
            '--entries', ','.join(entries[offset:] + entries[:offset]), '--max_seconds', 200])


def report(size, roles):
    """Prints the maximum over the processes of each role."""
    for role, rates in roles.items():
        worst = {key: max(rate[key] for rate in rates) for key in rates[0]}
        print('%-6s  %-8s  sent %6.0f B/s  received %6.0f B/s  %5.1f messages/s  '
              'core %4.2f %%  resident %.1f MB'
              % (size, role, worst['link_bytes{direction="sent"}'],
                 worst['link_bytes{direction="received"}'],
                 worst['link_messages{direction="sent"}'], 100 * worst['processor_s'],
                 worst['resident_mb']), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('--sizes', default='3x6,6x6,12x6,12x24,12x48',
                        help='entries x endpoints')
    parser.add_argument('--seconds', type=int, default=15)
    arguments = parser.parse_args()
    for size in arguments.sizes.split(','):
        entries, endpoints = map(int, size.split('x'))
        folder = arguments.folder.resolve()
        shutil.rmtree(folder, ignore_errors=True)
        (folder / 'data').mkdir(parents=True)
        with ProcessGroup(folder, 200) as group:
            fleet = FleetRun(arguments, group, controls=5, entries=entries)
            fleet.start_all()
            start_more_endpoints(fleet, endpoints)
            time.sleep(5)
            report(size, measure(fleet, arguments.seconds))


if __name__ == '__main__':
    main()
