#!/bin/sh
# Needs the build of the deploy file and review/build.sh. Writes record.txt here.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT=$(cd ../.. && pwd)
export REVIEW_ROOT
[ -x "$REVIEW_ROOT/target/apps/mustardproxy/mustardproxy" ] || exit 2
[ -x ../build/harness ] || exit 2
../build/harness cancelled-before-stored record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
