#!/usr/bin/env bash
# Plays the deployments of the regression runs with the users' bench, one after
# the other: nothing else may run on the machine while days are scored.
# Usage: scripts/regression.sh score|hunt FOLDER
# FOLDER holds the site files and the bench; neither is part of this repository.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -ne 2 ] || { [ "$1" != score ] && [ "$1" != hunt ]; }; then
  echo "usage: $0 score|hunt FOLDER" >&2
  exit 2
fi
Folder=$2
Bench=$Folder/more/bench-d17393/bin/fleetbench
Jobs=3
# Site file and days of a hunt: 8 on sites of 60 own hosts or more, otherwise 40.
Sites=(
  "further/ferreyra-listados.toml 40"
  "further-grown/ferreyra-listados-grown.toml 8"
  "large/tapak-kelang-large.toml 8"
  "grown/tapak-kelang-grown.toml 8"
  "grown/zhuldyz-sched-grown.toml 8"
  "sites/tapak-kelang.toml 40"
  "sites/zhuldyz-sched.toml 40"
)
for Entry in "${Sites[@]}"; do
  read -r Site Days <<<"$Entry"
  if [ "$1" = score ]; then
    "$Bench" score "$Folder/$Site" --jobs "$Jobs" --why "Regression run: score"
  else
    "$Bench" hunt "$Folder/$Site" --days "$Days" --jobs "$Jobs" --why "Regression run: hunt"
  fi
done
