#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
case=target/review-2/case-$(basename "$folder")
program=target/src/teaselcross/teaselcross
if [[ ! -x $case || ! -x $program ]]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout -k 5 110 "$case" "$program" "$directory" "$folder/record.txt"
result=$?
((result == 0 || result == 1)) || exit 2
exit "$result"
