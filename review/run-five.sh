#!/usr/bin/env bash
# Runs the script of a case five times, and once without its disruption.
# Usage: run-five.sh N
set -uo pipefail
cd "$(dirname "$0")"
failed=0
for run in 1 2 3 4 5; do
    "$1/run.sh"
    status=$?
    echo "run $run: exit $status"
    ((status == 1)) && ((failed += 1))
done
echo "failed $failed of 5"
TROUBLE=0 "$1/run.sh"
echo "without the disruption: exit $?"
