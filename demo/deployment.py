"""Ports, settings and declaration of a small deployment on loopback."""

import json

CONTROLS = ['control-1', 'control-2', 'control-3']
ENTRIES = ['entry-1', 'entry-2', 'entry-3']
ZONES = ['zone-1', 'zone-2', 'zone-3']
POOLS = {'gate': ['w01', 'w02', 'w03'], 'planning': ['w04', 'w05', 'w06']}
SERVICES = {'plots': 'gate', 'replanning': 'planning'}
HOSTS = {host: pool for pool, hosts in POOLS.items() for host in hosts}


def zone_of(names, name):
    """Returns the zone of a process; the processes of a role alternate between zones."""
    return ZONES[names.index(name) % len(ZONES)]


class Deployment:
    """Names, ports and configuration files of one deployment, all in one folder."""

    def __init__(self, folder, allocate_ports, controls=CONTROLS, entries=ENTRIES):
        self.folder = folder
        self.controls = list(controls)
        self.entries = list(entries)
        names = self.controls + self.entries
        ports = iter(allocate_ports(2 * len(names) + 1 + len(HOSTS)))
        self.http_ports = {name: next(ports) for name in names}
        self.link_ports = {name: next(ports) for name in names}
        self.endpoint_ports = {host: next(ports) for host in HOSTS}
        self.platform_port = next(ports)

    def control_addresses(self):
        return ','.join('127.0.0.1:%d' % self.http_ports[name] for name in self.controls)

    def entry_addresses(self):
        return ','.join('127.0.0.1:%d' % self.http_ports[name] for name in self.entries)

    def endpoint_addresses(self, pool):
        return ','.join('127.0.0.1:%d' % self.endpoint_ports[host] for host in POOLS[pool])

    def link_settings(self, names):
        return [{'name': name, 'address': '127.0.0.1', 'port': self.link_ports[name]}
                for name in names]

    def common_settings(self, role, name, zone):
        return {'role': role, 'name': name, 'zone': zone,
                'listen': {'address': '127.0.0.1', 'port': self.http_ports[name]},
                'link': {'address': '127.0.0.1', 'port': self.link_ports[name]},
                'log': {'file': '', 'level': 'info'}}

    def settings(self, name):
        if name in self.entries:
            return {**self.common_settings('entry', name, zone_of(self.entries, name)),
                    'entries': self.link_settings(self.entries),
                    'controls': self.link_settings(self.controls)}
        controls = [{**link, 'zone': zone_of(self.controls, link['name']),
                     'http_address': '127.0.0.1', 'http_port': self.http_ports[link['name']]}
                    for link in self.link_settings(self.controls)]
        return {**self.common_settings('control', name, zone_of(self.controls, name)),
                'cluster': 'demo', 'data_folder': str(self.folder / 'data' / name),
                'controls': controls, 'entries': self.link_settings(self.entries),
                'platform': {'url': 'http://127.0.0.1:%d' % self.platform_port}}

    def declaration(self, number):
        return {
            'number': number, 'teams': [],
            # Allows one host of each pool to be out of service at a time.
            'pools': [{'name': pool, 'budget': {'min_available_hosts': len(hosts) - 1}}
                      for pool, hosts in POOLS.items()],
            'services': [
                {'name': 'plots', 'pool': 'gate', 'default_class': 'urgent', 'deadline_ms': 5000},
                {'name': 'replanning', 'pool': 'planning', 'default_class': 'batch',
                 'deadline_ms': 30000 + number}],
            'hosts': [{'name': host, 'pool': pool, 'zone': ZONES[index % 3],
                       'rack': ZONES[index % 3] + '-r1', 'cores': 8, 'memory_mb': 16384}
                      for index, (host, pool) in enumerate(HOSTS.items())],
            'maintenance': {'max_parallel_hosts': 2, 'pause_after_failures': 2},
        }

    def write(self):
        """Writes the settings of every process and the first declaration.

        Returns the path of each file by process name, and as `declaration`.
        """
        paths = {}
        documents = {name: self.settings(name) for name in self.controls + self.entries}
        documents['declaration'] = self.declaration(1)
        for name, document in documents.items():
            paths[name] = self.folder / (name + '.jsonc')
            paths[name].write_text(json.dumps(document, indent=2) + '\n')
        return paths
