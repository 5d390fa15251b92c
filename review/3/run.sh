#!/bin/sh
# Plays the case once; review/build.sh and the build of the deploy file come before it. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review/release/review-rig
[ -x "$rig" ] || { echo "build first: review/build.sh" >&2; exit 2; }
exec "$rig" locked-route review/3/record.txt
