#!/usr/bin/env bash
# Configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
# Paths relative to the base folder make cache entries valid in every clone.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >/dev/null
cmake --build build ${BUILD_JOBS:+-j "$BUILD_JOBS"}
