"""Checks the committed deployments in examples/ against their generator and the rules
for zones, racks and ports."""

import collections
import json
import pathlib
import re
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / 'scripts'))
import make_examples  # noqa: E402

DEPLOYMENTS = (make_examples.KELANG, make_examples.ZHULDYZ)


def read(path):
    return json.loads(re.sub(r'^\s*//.*$', '', path.read_text(), flags=re.MULTILINE))


class Examples(unittest.TestCase):
    # Changes made by hand would be lost at the next run of the generator.
    def test_files_equal_the_output_of_the_script(self):
        for deployment in DEPLOYMENTS:
            files = make_examples.files_of(deployment)
            folder = ROOT / 'examples' / deployment['name']
            self.assertEqual(sorted(p.name for p in folder.iterdir()), sorted(files))
            for name, text in files.items():
                self.assertEqual((folder / name).read_text(), text, name)

    def test_sizes(self):
        for deployment in DEPLOYMENTS:
            self.assertEqual(len(make_examples.entries_of(deployment)), 12)
            self.assertEqual(len(make_examples.controls_of(deployment)), 5)
            self.assertEqual(len(make_examples.declaration(deployment)['services']), 5)

    # If a zone held three of the five replicas, its loss would stop control.
    def test_no_zone_holds_a_majority_of_the_control_replicas(self):
        for deployment in DEPLOYMENTS:
            zones = collections.Counter(deployment['control_zones'])
            self.assertLess(max(zones.values()) * 2, sum(zones.values()))

    # Both deployments may run on one machine concurrently.
    def test_ports_are_distinct(self):
        ports = []
        for path in sorted((ROOT / 'examples').glob('*/*.jsonc')):
            settings = read(path)
            if 'role' in settings:
                ports += [settings['listen']['port'], settings['link']['port']]
        self.assertEqual(len(ports), 2 * 2 * (12 + 5))
        self.assertEqual(len(ports), len(set(ports)))

    def test_a_rack_holds_four_hosts_and_at_most_two_of_a_pool(self):
        for deployment in DEPLOYMENTS:
            hosts = make_examples.hosts_of(deployment)
            racks = collections.Counter(host['rack'] for host in hosts)
            self.assertEqual(set(racks.values()), {4})
            in_pool = collections.Counter((host['rack'], host['pool']) for host in hosts)
            self.assertLessEqual(max(in_pool.values()), 2)


if __name__ == '__main__':
    unittest.main()
