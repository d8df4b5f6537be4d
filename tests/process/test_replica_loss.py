"""Deletes the data folder of a control replica, and those of two more right after the
first has rejoined. Guards against a cluster that stops after a repair, a replica that
votes with the identity that it lost with its disk, and replicas whose states differ.

Usage: test_replica_loss.py FOLDER_OF_PROGRAMS FOLDER
"""

import shutil
import sys

from fleet_run import run_test
from processes import StepError, http_json, wait_until


def replicas(fleet, name):
    return http_json(fleet.deployment.http_ports[name], '/v1/replicas') or {}


def incarnations(fleet):
    """Returns the incarnations of the voters by name, as reported by the leader."""
    members = replicas(fleet, fleet.wait_any_leader()).get('members', [])
    return {member['name']: member['incarnation'] for member in members if member['voter']}


def lose_disks(fleet, names):
    for name in names:
        fleet.kill(name)
        shutil.rmtree(fleet.folder / 'data' / name)


def repair(fleet, names, before):
    """Restarts the replicas and waits until they vote with new incarnations."""
    for name in names:
        fleet.start_daemon(name)
    wait_until(lambda: all(incarnations(fleet).get(name, before[name]) != before[name]
                           for name in names),
               'voting with new incarnations of ' + ', '.join(names))


def digests(fleet):
    views = [replicas(fleet, name) for name in fleet.deployment.controls]
    return {(view.get('applied_index'), view.get('digest')) for view in views}


def test(fleet, arguments):
    before = incarnations(fleet)
    if len(before) != 5:
        raise StepError('expected five voters, got %s' % before)
    lose_disks(fleet, ['control-2'])
    fleet.submit(2, 'submit with one lost disk')
    repair(fleet, ['control-2'], before)
    # The second loss follows right after the repair and affects two replicas at once.
    lose_disks(fleet, ['control-3', 'control-4'])
    fleet.submit(3, 'submit with two lost disks after a repair')
    repair(fleet, ['control-3', 'control-4'], before)
    fleet.submit(4, 'submit after all repairs')
    wait_until(lambda: len(digests(fleet)) == 1, 'equal states of all replicas')
    numbers = fleet.ctl_json('declarations')['numbers']
    if numbers != [1, 2, 3, 4]:
        raise StepError('expected the accepted declarations 1 to 4, got %s' % numbers)
    if len(incarnations(fleet)) != 5:
        raise StepError('expected five voters, got %s' % incarnations(fleet))


if __name__ == '__main__':
    sys.exit(run_test(test, controls=5, entries=3))
