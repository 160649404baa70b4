#!/usr/bin/env bash
# A machine of the core is replaced as planned; 4.1 s after it has gone two
# others lose their disks, right after an acknowledgement. Exits with 1 if the
# acknowledged configuration can't be read back, 0 if it can, 2 if the case
# couldn't run. TROUBLE=0: the same without both; TROUBLE=replace and
# TROUBLE=wipe: only one of the two.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 target/review-2/core_replacement \
    target/src/hickorygap review/6/record.txt
