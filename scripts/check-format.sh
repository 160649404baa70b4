#!/usr/bin/env bash
# Fails when a source file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/list-sources.sh | xargs clang-format --dry-run --Werror
echo "format: clean"
