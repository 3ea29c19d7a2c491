#!/usr/bin/env bash
# Builds, brings up an installation on the stand-ins, sends callers' traffic through faults, and prints what came
# of it. Fails when a promise broke.  demo.sh [--shape midlands|finland]
set -euo pipefail
cd "$(dirname "$0")/.."

shape=midlands
[[ "${1:-}" == "--shape" ]] && shape=${2:?a shape is missing}
case $shape in
    midlands) keyed=history away=derby ;;
    finland) keyed=schedule away=salo ;;
    *) echo "there is no shape '$shape'" >&2; exit 2 ;;
esac

scripts/install.sh
scripts/build.sh release
source scripts/lab.sh

echo "== $shape: 12 instances, all targets, one store =="
lab_up "$shape"
lab_operate status | sed -n '1,9p'

echo "== 24 s of traffic =="
"$lab_tool" load --shape "$shape" --entries "$(lab_entries)" --rate 400 --seconds 24 --seed 7 \
    >"$lab_directory/load.json" &
load=$!
sleep 3
echo "-- draining $keyed-1"
lab_operate target drain "$keyed-1" --wait --why "demonstration"
sleep 3
echo "-- data centre $away out"
lab_operate data-centre out "$away" --wait --why "demonstration"
sleep 4
echo "-- data centre $away in, $keyed-1 restored"
lab_operate data-centre in "$away" --wait --why "demonstration"
lab_operate target restore "$keyed-1" --wait --why "demonstration"
sleep 3
echo "-- killing instance $away-1"
lab_kill KILL "$away-1"
sleep 3
echo "-- killing target $keyed-5"
lab_fault "{\"target\": \"$keyed-5\", \"kind\": \"kill\"}"
sleep 3
echo "-- freezing target $keyed-7"
lab_fault "{\"target\": \"$keyed-7\", \"kind\": \"freeze\"}"
sleep 3
lab_fault "{\"target\": \"$keyed-7\", \"kind\": \"thaw\"}"
wait $load
lab_ask GET "$lab_targets" / >"$lab_directory/record.json"

echo "== where it stands =="
lab_operate status | sed -n '1,9p'
echo
"$lab_tool" verdict "$lab_directory/load.json" "$lab_directory/record.json"
