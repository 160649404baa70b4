#!/usr/bin/env bash
# Prints the C++ sources of the project, generated code left out.
set -euo pipefail
cd "$(dirname "$0")/.."
find src platform tests bench \( -name '*.hpp' -o -name '*.cpp' \) \
    -not -path '*/generated/*' | sort
