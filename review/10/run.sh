#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/rig2 ] && [ -x bin/swiftdeal ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec bin/rig2 leavers review/10/record.txt
