#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 with the compiler of the deploy file,
# after its build. Puts them under target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
