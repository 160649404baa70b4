#!/usr/bin/env bash
# Runs the program of a case, which starts the project's processes and all
# stand-ins, and ends them.
# Usage: run-case.sh FOLDER
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
export HICKORYGAP=target/src/hickorygap
if [[ ! -x $HICKORYGAP || ! -x $folder/case ]]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --signal=KILL 115 "$folder/case" "$folder"
status=$?
((status <= 2)) || status=2
exit "$status"
