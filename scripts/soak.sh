#!/usr/bin/env bash
# Plays seeds of the fault soak on the built program:
# soak.sh [--seconds N] [--instances N] [--targets N] FIRST LAST [AT_ONCE]
# Logs and settings stay in out/soak; the seeds that broke a promise are listed at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=15
size=()
while [[ "${1:-}" == --* ]]; do
    case $1 in
    --seconds) seconds=$2 ;;
    --instances | --targets) size+=("$1" "$2") ;;
    *)
        echo "soak.sh: unknown option $1" >&2
        exit 2
        ;;
    esac
    shift 2
done
first=${1:?FIRST LAST [AT_ONCE]}
last=${2:?FIRST LAST [AT_ONCE]}
at_once=${3:-2}
build=build/release
mkdir -p out/soak
play() {
    "$build/tests/soak/teaselcross_soak" --program "$build/src/teaselcross/teaselcross" \
        --seed "$1" --seconds "$seconds" "${size[@]}" >"out/soak/$1.txt" 2>&1 || echo "$1" >>out/soak/failed
}
rm -f out/soak/failed
for ((seed = first; seed <= last; ++seed)); do
    while (($(jobs -rp | wc -l) >= at_once)); do
        wait -n
    done
    play "$seed" &
done
wait
if [[ -f out/soak/failed ]]; then
    while read -r seed; do
        grep -H BROKEN "out/soak/$seed.txt" || tail -1 "out/soak/$seed.txt"
    done <out/soak/failed
    exit 1
fi
echo "soak: seeds $first to $last, no promise broken"
