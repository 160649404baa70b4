#!/usr/bin/env bash
# Runs clang-tidy over the project's sources; fails on any finding.
# Usage: run-linter.sh [build folder] [path prefix, default src and platform]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
prefix=${2:-(src|platform)}
# One process a core; output only for files with findings.
scripts/list-sources.sh | grep '\.cpp$' | grep -E "^$prefix" |
    xargs -P "$(nproc)" -I '{}' sh -c \
        'out=$(clang-tidy -p "$0" --quiet "$1" 2>/dev/null) ||
            { printf "%s\n" "$out"; exit 1; }' "$build" '{}'
echo "linter: clean"
