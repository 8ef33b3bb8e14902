#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build.sh.
# Writes what was sent, answered and run to record.txt in this folder.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jasmined ] && [ -x target/review/reused_address ] || exit 2
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
timeout --kill-after=5 110 target/review/reused_address review/1 "${TROUBLE:-1}"
status=$?
rm -rf "$REVIEW_TMP"
[ "$status" -le 1 ] && exit "$status"
exit 2
