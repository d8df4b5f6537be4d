"""A small deployment on loopback: its ports, settings and declaration."""

import json

CONTROLS = ['control-1', 'control-2', 'control-3']
ENTRIES = ['entry-1', 'entry-2', 'entry-3']
ZONES = ['zone-1', 'zone-2', 'zone-3']
POOLS = {'gate': ['w01', 'w02', 'w03'], 'planning': ['w04', 'w05', 'w06']}
SERVICES = {'plots': 'gate', 'replanning': 'planning'}
HOSTS = {host: pool for pool, hosts in POOLS.items() for host in hosts}


class Deployment:
    """Names, ports and files of one deployment in one folder."""

    def __init__(self, folder, free_ports):
        self.folder = folder
        names = CONTROLS + ENTRIES
        ports = iter(free_ports(2 * len(names) + 1 + len(HOSTS)))
        self.http = {name: next(ports) for name in names}
        self.link = {name: next(ports) for name in names}
        self.endpoint = {host: next(ports) for host in HOSTS}
        self.platform = next(ports)

    def control_option(self):
        return ','.join('127.0.0.1:%d' % self.http[name] for name in CONTROLS)

    def entry_list(self):
        return ','.join('127.0.0.1:%d' % self.http[name] for name in ENTRIES)

    def endpoint_list(self, pool):
        return ','.join('127.0.0.1:%d' % self.endpoint[host] for host in POOLS[pool])

    def links(self, names):
        return [{'name': name, 'address': '127.0.0.1', 'port': self.link[name]}
                for name in names]

    def common(self, role, name, zone):
        return {'role': role, 'name': name, 'zone': zone,
                'listen': {'address': '127.0.0.1', 'port': self.http[name]},
                'link': {'address': '127.0.0.1', 'port': self.link[name]},
                'log': {'file': '', 'level': 'info'}}

    def settings(self, name):
        if name in ENTRIES:
            return {**self.common('entry', name, ZONES[ENTRIES.index(name)]),
                    'entries': self.links(ENTRIES), 'controls': self.links(CONTROLS)}
        controls = [{**link, 'zone': zone, 'http_address': '127.0.0.1',
                     'http_port': self.http[link['name']]}
                    for link, zone in zip(self.links(CONTROLS), ZONES)]
        return {**self.common('control', name, ZONES[CONTROLS.index(name)]),
                'cluster': 'demo', 'data_folder': str(self.folder / 'data' / name),
                'controls': controls, 'entries': self.links(ENTRIES),
                'platform': {'url': 'http://127.0.0.1:%d' % self.platform}}

    def declaration(self, number):
        return {
            'number': number, 'teams': [],
            # One host of each pool may be out of service at a time.
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
        """Writes all files and returns their paths by name."""
        paths = {}
        documents = {name: self.settings(name) for name in CONTROLS + ENTRIES}
        documents['declaration'] = self.declaration(1)
        for name, document in documents.items():
            paths[name] = self.folder / (name + '.jsonc')
            paths[name].write_text(json.dumps(document, indent=2) + '\n')
        return paths
