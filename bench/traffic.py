"""Measures what an idle deployment spends for control: link traffic, processor
time and resident memory of each role, for growing numbers of entries.

Usage: traffic.py FOLDER_OF_PROGRAMS FOLDER [--entries 3,6,12] [--seconds 15]
"""

import argparse
import pathlib
import shutil
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tests' / 'process'))
from fleet_run import FleetRun  # noqa: E402
from processes import ProcessGroup  # noqa: E402

TICKS_PER_SECOND = 100
PREFIX = 'lycheetrestle_'


def metrics(port):
    with urllib.request.urlopen('http://127.0.0.1:%d/metrics' % port, timeout=5) as reply:
        lines = reply.read().decode().splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line.startswith(PREFIX))
    return {name[len(PREFIX):]: float(value) for name, value in pairs}


def processor_seconds(pid):
    fields = pathlib.Path('/proc/%d/stat' % pid).read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def sample(fleet, name):
    values = metrics(fleet.deployment.http[name])
    values['processor_s'] = processor_seconds(fleet.group.processes[name].child.pid)
    return values


def measure(fleet, seconds):
    names = fleet.deployment.controls + fleet.deployment.entries
    before = {name: sample(fleet, name) for name in names}
    begun = time.monotonic()
    time.sleep(seconds)
    after = {name: sample(fleet, name) for name in names}
    taken = time.monotonic() - begun
    roles = {'leader': [], 'follower': [], 'entry': []}
    for name in names:
        role = 'entry' if name in fleet.deployment.entries else \
            'leader' if after[name]['is_leader'] else 'follower'
        rate = {key: (after[name][key] - before[name].get(key, 0)) / taken for key in
                ('link_bytes{direction="sent"}', 'link_bytes{direction="received"}',
                 'link_messages{direction="sent"}', 'processor_s')}
        rate['resident_mb'] = fleet.group.processes[name].resident_kb() / 1024
        roles[role].append(rate)
    return roles


def report(entries, roles):
    for role, rates in roles.items():
        worst = {key: max(rate[key] for rate in rates) for key in rates[0]}
        print('%3d entries  %-8s  sent %6.0f B/s  received %6.0f B/s  %5.1f messages/s  '
              'core %4.2f %%  resident %.1f MB'
              % (entries, role, worst['link_bytes{direction="sent"}'],
                 worst['link_bytes{direction="received"}'],
                 worst['link_messages{direction="sent"}'], 100 * worst['processor_s'],
                 worst['resident_mb']), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('--entries', default='3,6,12')
    parser.add_argument('--seconds', type=int, default=15)
    arguments = parser.parse_args()
    for entries in map(int, arguments.entries.split(',')):
        folder = arguments.folder.resolve()
        shutil.rmtree(folder, ignore_errors=True)
        (folder / 'data').mkdir(parents=True)
        with ProcessGroup(folder, 200) as group:
            fleet = FleetRun(arguments, group, controls=5, entries=entries)
            fleet.start_all()
            time.sleep(3)
            report(entries, measure(fleet, arguments.seconds))


if __name__ == '__main__':
    main()
