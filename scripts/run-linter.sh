#!/usr/bin/env bash
# Runs clang-tidy over the project's sources; fails on any finding.
# Usage: run-linter.sh [build folder] [path pattern, default src and platform]
#
# A file that was clean is not read again while nothing that it includes, its
# flags and the checks are the same; LINT_CACHE names the folder of that
# knowledge.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-(src|platform)}
export build
export LINT_CACHE=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/hickorygap-lint}
mkdir -p "$LINT_CACHE"

lint_one() {
    local file=$1 key out
    # Text of the file with all its includes, and the rules.
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

# One process a core; output only for files with findings.
scripts/list-sources.sh | grep '\.cpp$' | grep -E "^$pattern" |
    xargs -P "$(nproc)" -I '{}' bash -c 'lint_one "$1"' _ '{}'
echo "linter: clean"
