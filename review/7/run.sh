#!/usr/bin/env bash
# The configuration changes: idle_timeout_ms becomes 0. Exits with 1 if more
# than half of the requests sent after that have no answer half a second after
# their route's timeout_ms, 0 if they have, 2 if the case couldn't run.
# TROUBLE=0: idle_timeout_ms becomes 14000 instead.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 target/review-2/idle_limit \
    target/src/hickorygap review/7/record.txt
