#!/usr/bin/env bash
# Runs the main workflow on loopback and prints a summary. Everything it writes
# is under demo/run/. Builds what is missing; exits non-zero when a step fails.
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
