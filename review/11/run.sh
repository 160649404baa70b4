#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# couldn't run. TROUBLE=0: without the disruption. REMOVAL=0 and DISKS=0:
# with one of the two disruptions only.
cd "$(dirname "$0")" || exit 2
repository=$(cd ../.. && pwd)
program=$repository/target/review-3/disks_beside_removal
if [[ ! -x $program ]]; then
    echo "$program is missing; run review/build-3.sh"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$repository" "$folder" "$PWD/record.txt"
status=$?
if ((status != 0 && status != 1)); then
    status=2
fi
exit "$status"
