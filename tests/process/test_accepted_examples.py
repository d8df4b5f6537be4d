"""Checks that the programs accept every file in examples/. Guards against examples
that fall behind a change of the settings or of the declaration.

Usage: test_accepted_examples.py FOLDER_OF_PROGRAMS
"""

import pathlib
import subprocess
import sys

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'
# One file for each of two roles, and 12 entries, 5 control replicas and a
# declaration for each of two deployments.
FILE_COUNT = 2 + 2 * (12 + 5 + 1)


def command(programs, path):
    if path.name == 'declaration.jsonc':
        return [programs / 'lycheetrestlectl', 'validate', path]
    return [programs / 'lycheetrestled', '--settings', path, '--check']


def main():
    programs = pathlib.Path(sys.argv[1])
    files = sorted(EXAMPLES.rglob('*.jsonc'))
    failed = 0
    for path in files:
        result = subprocess.run(command(programs, path), text=True, capture_output=True, timeout=60)
        if result.returncode != 0:
            failed += 1
            print('%s: expected exit code 0, got %d: %s'
                  % (path.relative_to(EXAMPLES), result.returncode, result.stderr.strip()))
    print('%d files, %d refused' % (len(files), failed))
    return 0 if failed == 0 and len(files) == FILE_COUNT else 1


if __name__ == '__main__':
    sys.exit(main())
