#!/usr/bin/env python3
"""Writes the settings and declarations of the two deployments in examples/.

Usage: make_examples.py [--output FOLDER]

The output is committed; tests/process/test_examples.py compares it with what this
script writes.
"""

import argparse
import json
import pathlib

# The ports are below the usual ephemeral range (from 32768), so that no outgoing
# connection of the machine occupies them.
KELANG = {
    'name': 'kelang',
    'zones': ['kv-1', 'kv-2', 'kv-3'],
    'control_zones': ['kv-1', 'kv-1', 'kv-2', 'kv-2', 'kv-3'],
    'base_port': 20000,
    'racks_by_zone': [5, 4, 4],
    'host_size': {'cores': 64, 'memory_mb': 131072, 'accelerators': 0},
    # Kelang minimizes idle capacity: tight budgets need fewer idle hosts.
    'pools': [
        # name, hosts of every 13, budget, spare, auto_size
        ('gate', 4, {'min_available_percent': 80}, False, True),
        ('sectors', 4, {'min_available_percent': 75}, False, True),
        ('planning', 2, {'min_available_percent': 60}, False, True),
        ('records', 3, {'min_available_hosts': 4}, True, False),
    ],
    'services': [
        ('plots', 'gate', 'urgent', 2000),
        ('arrivals', 'gate', 'urgent', 2000),
        ('water-points', 'sectors', 'normal', 5000),
        ('sanitation', 'sectors', 'normal', 5000),
        ('replanning', 'planning', 'batch', 60000),
    ],
    'teams': [('gate-desk', 1024, 2097152, 0), ('planning', 2048, 4194304, 0)],
    'maintenance': {'max_parallel_hosts': 8, 'pause_after_failures': 2},
}

ZHULDYZ = {
    'name': 'zhuldyz',
    'zones': ['zh-1', 'zh-2', 'zh-3', 'zh-4'],
    'control_zones': ['zh-1', 'zh-1', 'zh-2', 'zh-3', 'zh-4'],
    'base_port': 21000,
    'racks_by_zone': [4, 3, 3, 3],
    'host_size': {'cores': 32, 'memory_mb': 65536, 'accelerators': 0},
    # Every move affects an office in operation, so only two pools may borrow hosts.
    'pools': [
        ('box-office', 5, {'min_available_percent': 80}, False, True),
        ('coordination', 3, {'min_available_percent': 70}, False, False),
        ('touring', 3, {'min_available_percent': 70}, False, True),
        ('back-office', 2, {'min_available_hosts': 3}, True, False),
    ],
    'services': [
        ('bookings', 'box-office', 'urgent', 2000),
        ('seats', 'box-office', 'urgent', 2000),
        ('schedules', 'coordination', 'normal', 5000),
        ('crews', 'touring', 'normal', 5000),
        ('migration', 'coordination', 'batch', 60000),
    ],
    'teams': [('offices', 640, 1310720, 0), ('crews', 320, 655360, 0),
              ('migration', 320, 655360, 0)],
    'maintenance': {'max_parallel_hosts': 10, 'pause_after_failures': 2},
}

ADDRESS = '127.0.0.1'
ENTRY_COUNT = 12
HOSTS_PER_RACK = 4


def render(members, comment):
    """Renders an object with one line for each member and each array element."""
    lines = ['// ' + line for line in comment.splitlines()] + ['{']
    for index, (name, value) in enumerate(members.items()):
        end = ',' if index + 1 < len(members) else ''
        if isinstance(value, list) and value and isinstance(value[0], dict):
            elements = ',\n'.join('    ' + json.dumps(element) for element in value)
            lines.append('  %s: [\n%s\n  ]%s' % (json.dumps(name), elements, end))
        else:
            lines.append('  %s: %s%s' % (json.dumps(name), json.dumps(value), end))
    return '\n'.join(lines + ['}', ''])


def endpoint(port):
    return {'address': ADDRESS, 'port': port}


def entries_of(deployment):
    base = deployment['base_port']
    zones = deployment['zones']
    return [{'name': 'entry-%02d' % (i + 1), 'zone': zones[i % len(zones)],
             'http': base + 101 + i, 'link': base + 201 + i} for i in range(ENTRY_COUNT)]


def controls_of(deployment):
    base = deployment['base_port']
    return [{'name': 'control-%d' % (i + 1), 'zone': zone,
             'http': base + 301 + i, 'link': base + 401 + i}
            for i, zone in enumerate(deployment['control_zones'])]


def link_list(processes):
    return [{'name': p['name'], **endpoint(p['link'])} for p in processes]


def entry_settings(deployment, entry):
    return {
        'role': 'entry', 'name': entry['name'], 'zone': entry['zone'],
        'listen': endpoint(entry['http']), 'link': endpoint(entry['link']),
        'entries': link_list(entries_of(deployment)),
        'controls': link_list(controls_of(deployment)),
        'log': {'file': '', 'level': 'info'},
    }


def control_settings(deployment, control):
    return {
        'role': 'control', 'name': control['name'], 'zone': control['zone'],
        'cluster': deployment['name'],
        'data_folder': 'run/%s/%s' % (deployment['name'], control['name']),
        'listen': endpoint(control['http']), 'link': endpoint(control['link']),
        'controls': [{'name': c['name'], 'zone': c['zone'], **endpoint(c['link']),
                      'http_address': ADDRESS, 'http_port': c['http']}
                     for c in controls_of(deployment)],
        'entries': link_list(entries_of(deployment)),
        'platform': {'url': 'http://%s:%d' % (ADDRESS, deployment['base_port'] + 501)},
        'log': {'file': '', 'level': 'info'},
        'snapshot': {'every_entries': 5000},
    }


def weighted_round_robin(shares):
    """Yields the names endlessly by smooth weighted round robin: each as often as
    its share, evenly spread."""
    credit = dict.fromkeys(shares, 0)
    while True:
        for name, share in shares.items():
            credit[name] += share
        chosen = max(credit, key=credit.get)
        credit[chosen] -= sum(shares.values())
        yield chosen


def hosts_of(deployment):
    # Spreads each pool evenly, so that the loss of a rack costs it at most two hosts.
    pools = weighted_round_robin({name: share for name, share, *_ in deployment['pools']})
    hosts = []
    for zone, racks in zip(deployment['zones'], deployment['racks_by_zone']):
        for rack in range(1, racks + 1):
            for _ in range(HOSTS_PER_RACK):
                hosts.append({'name': 'w%02d' % (len(hosts) + 1),
                              'pool': next(pools), 'zone': zone,
                              'rack': '%s-r%d' % (zone, rack), **deployment['host_size']})
    return hosts


def declaration(deployment):
    return {
        'number': 1,
        'teams': [{'name': name, 'quota': {'cores': cores, 'memory_mb': memory,
                                           'accelerators': accelerators}}
                  for name, cores, memory, accelerators in deployment['teams']],
        'pools': [{'name': name, 'budget': budget, 'spare': spare, 'auto_size': auto_size}
                  for name, _, budget, spare, auto_size in deployment['pools']],
        'services': [{'name': name, 'pool': pool, 'default_class': work_class,
                      'deadline_ms': deadline}
                     for name, pool, work_class, deadline in deployment['services']],
        'hosts': hosts_of(deployment),
        'maintenance': deployment['maintenance'],
    }


def files_of(deployment):
    """Returns the text of each file by name."""
    notice = 'Generated by scripts/make_examples.py; edit that script instead.'
    files = {'declaration.jsonc': render(
        declaration(deployment), 'Declaration of the deployment %s.\n%s'
        % (deployment['name'], notice))}
    for entry in entries_of(deployment):
        files[entry['name'] + '.jsonc'] = render(entry_settings(deployment, entry), notice)
    for control in controls_of(deployment):
        files[control['name'] + '.jsonc'] = render(control_settings(deployment, control), notice)
    return files


def main():
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--output', type=pathlib.Path,
                        default=pathlib.Path(__file__).parent.parent / 'examples')
    output = parser.parse_args().output
    for deployment in (KELANG, ZHULDYZ):
        folder = output / deployment['name']
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in files_of(deployment).items():
            (folder / name).write_text(text)


if __name__ == '__main__':
    main()
