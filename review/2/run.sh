#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review/rig ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
timeout -k 2 118 target/review/rig stops review/2/record.txt
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
