#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the compiler only. The stand-ins of a
# case are part of its program: review/N/case.cpp with review/stand_ins/.
set -euo pipefail
cd "$(dirname "$0")"
for source in [0-9]*/case.cpp; do
    case=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$case/case" "$source"
done
