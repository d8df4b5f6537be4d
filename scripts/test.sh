#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_dependencies.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j "${TEST_JOBS:-4}"
