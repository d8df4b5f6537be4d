#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules that need no further package.
# They stay where they are; this checks that they compile with the machine's Python.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('compiled', path)
P
[ -x target/bin/lycheetrestled ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
