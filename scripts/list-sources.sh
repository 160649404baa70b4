#!/usr/bin/env bash
# Prints the C++ source files of the project, except generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
find src platform tests bench \( -name '*.hpp' -o -name '*.cpp' \) \
    -not -path '*/generated/*' | sort
