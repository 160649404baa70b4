#!/usr/bin/env bash
# Fails when a source is not in the format of .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/list-sources.sh | xargs clang-format --dry-run --Werror
echo "format: clean"
