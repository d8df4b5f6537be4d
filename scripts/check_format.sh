#!/usr/bin/env bash
# Fails when a source file is not formatted with clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
