#!/usr/bin/env bash
# Runs the script of a case five times and once with TROUBLE=0, and counts.
# usage: review/run-five-2.sh N
cd "$(dirname "$0")/.." || exit 2
failed=0
for _ in 1 2 3 4 5; do
    review/"$1"/run.sh > /dev/null 2>&1
    code=$?
    echo "case $1: exit $code"
    [ "$code" = 1 ] && failed=$((failed + 1))
done
TROUBLE=0 review/"$1"/run.sh > /dev/null 2>&1
echo "case $1: TROUBLE=0 exit $?"
# The record that stays is one with the disruption.
review/"$1"/run.sh > /dev/null 2>&1
echo "case $1: failed $failed of 5"
