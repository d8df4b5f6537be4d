"""Loses disks of control replicas, and two more replicas right after a repair.
Guards against a cluster that stops after a repair, a replica that votes again
under its forgotten identity, and replicas whose states differ.

Usage: test_replica_loss.py FOLDER_OF_PROGRAMS FOLDER
"""

import shutil
import sys

from fleet_run import run_test
from processes import StepError, http_json, wait_until


def replicas(fleet, name):
    return http_json(fleet.deployment.http_ports[name], '/v1/replicas') or {}


def incarnations(fleet):
    """Returns the voters' incarnations by name, as the leader sees them."""
    members = replicas(fleet, fleet.wait_any_leader()).get('members', [])
    return {member['name']: member['incarnation'] for member in members if member['voter']}


def lose_disks(fleet, names):
    for name in names:
        fleet.kill(name)
        shutil.rmtree(fleet.folder / 'data' / name)


def repair(fleet, names, before):
    for name in names:
        fleet.start_daemon(name)
    wait_until(lambda: all(incarnations(fleet).get(name, before[name]) != before[name]
                           for name in names),
               'new votes of ' + ', '.join(names))


def digests(fleet):
    views = [replicas(fleet, name) for name in fleet.deployment.controls]
    return {(view.get('applied_index'), view.get('digest')) for view in views}


def test(fleet, arguments):
    before = incarnations(fleet)
    if len(before) != 5:
        raise StepError('five voters expected: %s' % before)
    lose_disks(fleet, ['control-2'])
    fleet.submit(2, 'with one lost disk')
    repair(fleet, ['control-2'], before)
    # The second loss comes right after the repair, and takes two at once.
    lose_disks(fleet, ['control-3', 'control-4'])
    fleet.submit(3, 'with two lost disks after a repair')
    repair(fleet, ['control-3', 'control-4'], before)
    fleet.submit(4, 'after all repairs')
    wait_until(lambda: len(digests(fleet)) == 1, 'equal states of all replicas')
    numbers = fleet.ctl_json('declarations')['numbers']
    if numbers != [1, 2, 3, 4]:
        raise StepError('accepted declarations are %s' % numbers)
    if len(incarnations(fleet)) != 5:
        raise StepError('five voters expected: %s' % incarnations(fleet))


if __name__ == '__main__':
    sys.exit(run_test(test, controls=5, entries=3))
