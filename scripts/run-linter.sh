#!/usr/bin/env bash
# Runs clang-tidy over the project's sources; fails on any finding.
# Usage: run-linter.sh [build folder] [path pattern, default src and platform]
#
# Results are cached: a file without findings is skipped until its preprocessed
# text, the file itself, .clang-tidy or the version of clang-tidy changes.
# LINT_CACHE overrides the cache folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-(src|platform)}
export build
export LINT_CACHE=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/hickorygap-lint}
mkdir -p "$LINT_CACHE"

lint_one() {
    local file=$1 key out
    # Cache key: version and checks of clang-tidy, the file, and its
    # preprocessed text.
    key=$({
        clang-tidy --version
        cat .clang-tidy "$file"
        c++ -std=c++20 -E -P -C -w -I src -I . -I generated "$file"
    } | sha256sum | cut -d' ' -f1)
    if [[ -e $LINT_CACHE/$key ]]; then
        return 0
    fi
    out=$(clang-tidy -p "$build" --quiet "$file" 2>/dev/null) || {
        printf '%s\n' "$out"
        return 1
    }
    : > "$LINT_CACHE/$key"
}
export -f lint_one

# One clang-tidy process per core; prints output only for files with findings.
scripts/list-sources.sh | grep '\.cpp$' | grep -E "^$pattern" |
    xargs -P "$(nproc)" -I '{}' bash -c 'lint_one "$1"' _ '{}'
echo "linter: clean"
