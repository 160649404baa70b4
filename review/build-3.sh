#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The program
# itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-3
mkdir -p "$output"
for source in review/stand_ins_3/*.cpp; do
    name=$(basename "$source" .cpp)
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$output/$name" "$source"
done
