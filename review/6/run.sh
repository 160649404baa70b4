#!/usr/bin/env bash
# Three of five core machines are replaced as planned, one after the other: a new
# one first, then SIGTERM to the old one once the new one has had catch_up_s.
# Exits with 1 if the acknowledged configuration can't be read back, 0 if it can,
# 2 if the case couldn't run. TROUBLE=0: none is replaced. Also TROUBLE=slow:
# twice the time between them; TROUBLE=disks: one is replaced, and two others
# lose their disks 4.1 s later; TROUBLE=replace and TROUBLE=wipe: one of these.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 target/review-2/core_replacement \
    target/src/hickorygap review/6/record.txt
