#!/usr/bin/env bash
# Runs the main workflow on loopback and prints a summary. Writes only to demo/run/.
# Builds the programs if one is missing; exits non-zero if a step fails.
#
# Usage: demo/run.sh [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
for Program in lycheetrestled lycheetrestlectl endpoint_standin platform_standin load_client; do
  if [ ! -x "build/bin/$Program" ]; then
    scripts/build.sh
    break
  fi
done
exec python3 -B demo/run.py --programs build/bin --folder demo/run "$@"
