#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
program="target/review/case$number"
[ -x "$program" ] && [ -x target/src/teaselcross/teaselcross ] || { echo "not built" >&2; exit 2; }
CASE_FOLDER=$(mktemp -d) || exit 2
CASE_RECORD="$here/record.txt"
export CASE_FOLDER CASE_RECORD
timeout -k 2 115 "$program"
status=$?
rm -rf "$CASE_FOLDER"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
