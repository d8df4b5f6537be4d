#!/usr/bin/env bash
# Fails if a C++ file is not formatted as clang-format would.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
