#!/bin/sh
# Builds what the cases 6 to 10 start beside the daemon of deploy/system.toml. Their
# stand-ins are Python programs of the standard library: they are only compiled as a check.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
