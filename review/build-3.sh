#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs with no dependency but
# the standard library (lib-3/), so that nothing is compiled: checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/lib-3"
python3 -B -c 'import stand'
