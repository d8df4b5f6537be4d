"""Submits a declaration to 12 entries, of which one is frozen, one restarted, one
partitioned from control but not from its peers, and one partitioned from all. Guards
against an entry that serves with an old version after the new one is reported in
force, and against one whose version decreases.

Usage: test_in_force.py FOLDER_OF_PROGRAMS FOLDER
"""

import json
import sys
import threading

from fleet_run import run_test
from processes import StepError, allocate_ports, http_json, http_status, wait_until
from relay import Relay

FROZEN, RESTARTED, NO_CONTROL, ISOLATED = 'entry-1', 'entry-2', 'entry-3', 'entry-4'


class LinkPartitions:
    """Relays on every link of the two partitioned entries. Rewrites the settings of the
    entries, so that their links use the relays."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.control_relays, self.all_relays = [], []
        self.settings = {name: json.loads(fleet.files[name].read_text())
                         for name in fleet.deployment.entries}
        for control in self.settings[NO_CONTROL]['controls']:
            self.control_relays.append(self.insert_relay(control))
        for peer in self.settings[ISOLATED]['controls'] + self.settings[ISOLATED]['entries']:
            if peer['name'] != ISOLATED:
                self.all_relays.append(self.insert_relay(peer))
        inbound = None
        for name, settings in self.settings.items():
            for peer in settings['entries']:
                if name == ISOLATED or peer['name'] != ISOLATED:
                    continue
                inbound = inbound or self.insert_relay(dict(peer))
                peer['port'] = inbound.listener.getsockname()[1]
        self.all_relays.append(inbound)
        for name, settings in self.settings.items():
            fleet.files[name].write_text(json.dumps(settings))

    def insert_relay(self, peer):
        port = allocate_ports(1)[0]
        relay = Relay(port, peer['port'])
        peer['port'] = port
        return relay

    def partition(self):
        for relay in self.control_relays + self.all_relays:
            relay.partition()

    def heal(self):
        for relay in self.control_relays + self.all_relays:
            relay.heal()


class VersionMonitor(threading.Thread):
    """Polls the status of every entry and records a version that decreased, and an entry
    that serves with a version older than the one in force."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.violations = fleet, []
        self.highest, self.in_force = {}, 0
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.05):
            for name in self.fleet.deployment.entries:
                in_force = self.in_force
                status = http_json(self.fleet.deployment.http_ports[name], '/v1/status')
                if status:
                    self.check(name, status, in_force)

    def check(self, name, status, in_force):
        number = status['declaration_number']
        incarnation = (name, status['incarnation'])
        if number < self.highest.get(incarnation, 0):
            self.violations.append('%s: version decreased from %d to %d'
                                   % (name, self.highest[incarnation], number))
        self.highest[incarnation] = max(number, self.highest.get(incarnation, 0))
        if status['serving'] and number < in_force:
            self.violations.append('%s serves with version %d while %d is in force'
                                   % (name, number, in_force))


def prepare(fleet):
    fleet.partitions = LinkPartitions(fleet)


def serving_version(fleet, name):
    """Returns the declaration number of an entry that serves, or a false value."""
    status = http_json(fleet.deployment.http_ports[name], '/v1/status')
    return status and status['serving'] and status['declaration_number']


def test(fleet, arguments):
    monitor = VersionMonitor(fleet)
    monitor.in_force = 1
    monitor.start()
    fleet.partitions.partition()
    fleet.freeze(FROZEN)
    fleet.kill(RESTARTED)
    fleet.start_daemon(RESTARTED)
    isolated = fleet.deployment.http_ports[ISOLATED]
    # The isolated entry still holds a valid confirmation of the old version, so the
    # new version may come into force only after that has expired.
    fleet.submit(2, 'second declaration')
    monitor.in_force = 2
    if http_status(isolated, '/services/plots/x') != 503:
        raise StepError('expected status 503 from the isolated entry, '
                        'which only has the old version')
    for name in fleet.deployment.entries:
        if name not in (FROZEN, ISOLATED):
            wait_until(lambda: serving_version(fleet, name) == 2, 'version 2 at ' + name)
    fleet.resume(FROZEN)
    wait_until(lambda: serving_version(fleet, FROZEN) == 2, 'version 2 at the frozen entry')
    if http_status(isolated, '/readyz') != 503:
        raise StepError('expected status 503 from /readyz of the isolated entry')
    fleet.partitions.heal()
    wait_until(lambda: serving_version(fleet, ISOLATED) == 2, 'version 2 at the isolated entry')
    monitor.stopping.set()
    monitor.join()
    if monitor.violations:
        raise StepError('; '.join(monitor.violations[:5]))
    print('second declaration, submit to in force: %s' % fleet.summary[-1][1])


if __name__ == '__main__':
    sys.exit(run_test(test, prepare=prepare))
