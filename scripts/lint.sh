#!/usr/bin/env bash
# Runs clang-tidy on every C++ source file, or on the given files only.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
if [ $# -eq 0 ]; then
  mapfile -t Files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^tests/main/')
else
  Files=("$@")
fi
printf '%s\0' "${Files[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: clean (${#Files[@]} files)"
