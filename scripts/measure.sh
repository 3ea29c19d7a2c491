#!/usr/bin/env bash
# Experiments on the stand-ins; each prints a table, and keeps its figures under out/.
#   measure.sh recovery [RUNS]   how long keys are unserved after a loss
#   measure.sh overhead [SEEDS]  what the path adds to a request, against the target itself
#   measure.sh capacity          what a daemon costs for control as the fleet grows, and the decision parts alone
#   measure.sh stragglers [SEEDS]  a tenth of the unkeyed targets slowed tenfold, with hedging and without
#   measure.sh data-centre [SEEDS]  service while one of Finland's three data centres leaves and returns
#   measure.sh overload [SEEDS]  twice the load that the targets bear
#   measure.sh cold-start [SEEDS]  targets restart under load, with the cold limit and without
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release >/dev/null
mkdir -p out

experiment=${1:?an experiment is missing}
shift

field() { "$lab_tool" field "$1"; }
median() { sort -n | awk '{v[NR] = $1} END {print (NR % 2) ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2}'; }
largest() { sort -n | tail -1; }

# Processor time of all instances so far, in seconds.
instances_cpu() {
    local file ticks=0 fields
    for file in "$lab_directory"/*-[0-9]*.pid; do
        read -r -a fields <"/proc/$(cat "$file")/stat"
        ticks=$((ticks + fields[13] + fields[14]))
    done
    awk -v t="$ticks" -v hz="$(getconf CLK_TCK)" 'BEGIN {print t / hz}'
}

instances_memory() { # Mean resident memory in MB
    local file
    for file in "$lab_directory"/*-[0-9]*.pid; do
        awk '/^VmRSS/ {print $2 / 1024}' "/proc/$(cat "$file")/status"
    done | awk '{s += $1} END {print s / NR}'
}

lookups() { # SECONDS SEED FILE
    "$lab_tool" load --shape midlands --entries "$(lab_entries)" --rate 300 --seconds "$1" --seed "$2" \
        --lookups 1 --operations 0 >"$3"
}

controller_of() { # DATA_CENTRE: the instance that holds its lease
    lab_ask GET 127.1.0.1:8081 /status | tr -d ' \n' | grep -o "\"$1-[0-9]*~[0-9]*\":{[^}]*\"controller\":true" |
        head -1 | sed 's/^"\([^~]*\)~.*/\1/'
}

recovery_run() { # KIND RUN: one loss under load; prints the longest wait of a lookup in ms
    local kind=$1 run=$2 victim="" result="$lab_directory/recovery.json"
    lookups 5 "$run" "$result" &
    local load=$!
    sleep 1
    case $kind in
        target_killed) lab_fault "{\"target\": \"history-$run\", \"kind\": \"kill\"}" ;;
        target_frozen) lab_fault "{\"target\": \"history-$run\", \"kind\": \"freeze\"}" ;;
        keeper_frozen | keeper_killed) victim=$(lab_ask GET 127.1.0.1:8081 /status | field "/targets/history-$((run * 4 - 1))/keeper" | sed 's/~.*//') ;;
        controller_killed) victim=$(controller_of derby) ;;
        none) ;;
    esac
    if [[ $kind == keeper_frozen ]]; then
        lab_kill STOP "$victim"
    elif [[ -n $victim ]]; then
        lab_kill KILL "$victim"
    fi
    wait $load
    # Lookups through an instance that is gone itself are the balancer's matter and are not counted here.
    awk -v m="$(field /lookup/max_ms <"$result")" -v n="$(field /lookup/not_run <"$result")" \
        -v u="$(field /lookup/unknown <"$result")" 'BEGIN {print m, n + u}'
    case $kind in
        target_killed) lab_fault "{\"target\": \"history-$run\", \"kind\": \"restart\"}" ;;
        target_frozen) lab_fault "{\"target\": \"history-$run\", \"kind\": \"thaw\"}" ;;
        keeper_frozen) lab_kill CONT "$victim" ;;
    esac
    [[ $kind != keeper_frozen && -n $victim ]] && lab_serve "$victim"
    sleep 4
}

recovery() {
    local runs=${1:-5} kind run
    source scripts/lab.sh
    lab_up midlands
    # Callers of a killed instance itself are the balancer's matter, so the load avoids nobody but counts waits only.
    for kind in ${RECOVERY_KINDS:-none target_killed target_frozen keeper_killed keeper_frozen controller_killed}; do
        for ((run = 1; run <= runs; ++run)); do
            recovery_run "$kind" "$run"
        done >"out/recovery-$kind.txt"
        awk '{unanswered += $2} END {printf "%d", unanswered}' "out/recovery-$kind.txt" >"$lab_directory/unanswered"
        echo "$kind: longest wait of a lookup, ms: median $(cut -d' ' -f1 "out/recovery-$kind.txt" | median), most $(cut -d' ' -f1 "out/recovery-$kind.txt" | largest); $(cat "$lab_directory/unanswered") lookups refused or unknown in $runs runs"
    done
    lab_ask GET "$lab_targets" / | grep -o '"\(two_owners\|stale_fence\|repeated_operations\)":[0-9]*'
}

overhead() {
    local seeds=${1:-3} seed targets before after
    source scripts/lab.sh
    lab_up midlands 4
    targets=$(grep -A1 '"host": "127\.[0-9]*\.3\.' "$lab_directory/targets.json" | grep -o '127[0-9.]*' | sed 's/$/:9000/' | paste -sd,)
    for ((seed = 1; seed <= seeds; ++seed)); do
        "$lab_tool" load --entries "$targets" --rate 300 --seconds 8 --seed "$seed" --lookups 0 --operations 0 \
            --download-bytes 100 >"out/direct-$seed.json"
        before=$(instances_cpu)
        "$lab_tool" load --entries "$(lab_entries)" --rate 300 --seconds 8 --seed "$seed" --lookups 0 --operations 0 \
            --download-bytes 100 >"out/path-$seed.json"
        after=$(instances_cpu)
        awk -v b="$before" -v a="$after" -v n="$(field /download/sent <"out/path-$seed.json")" \
            -v d50="$(field /download/p50_ms <"out/direct-$seed.json")" -v p50="$(field /download/p50_ms <"out/path-$seed.json")" \
            -v d99="$(field /download/p99_ms <"out/direct-$seed.json")" -v p99="$(field /download/p99_ms <"out/path-$seed.json")" \
            'BEGIN {printf "seed: median %.2f ms direct, %.2f by the path (ratio %.2f); 99%%: %.2f, %.2f (ratio %.2f); %.0f us of processor time a request\n",
                    d50, p50, p50 / d50, d99, p99, p99 / d99, (a - b) / n * 1e6}'
    done
}

store_calls() { lab_ask GET "$lab_store" /lab/counts; }

capacity() {
    local count before after memory sent calls_before calls_after seconds=15
    build/release/benchmarks/teaselcross_benchmarks | tee out/decision-parts.txt
    for count in ${FLEETS:-12 24 48 96}; do
        (
            source scripts/lab.sh
            lab_up midlands "$count"
            sleep 10
            before=$(instances_cpu)
            calls_before=$(store_calls)
            sent=$(lab_ask GET 127.1.0.1:8081 /metrics | awk '/^teaselcross_membership_sent_bytes_total / {print $2}')
            sleep "$seconds"
            after=$(instances_cpu)
            calls_after=$(store_calls)
            memory=$(instances_memory)
            sent=$(lab_ask GET 127.1.0.1:8081 /metrics | awk -v s="$sent" '/^teaselcross_membership_sent_bytes_total / {print $2 - s}')
            awk -v n="$count" -v b="$before" -v a="$after" -v s="$seconds" -v m="$memory" -v x="$sent" \
                -v cb="$calls_before" -v ca="$calls_after" '
                function calls(text, kind) { return match(text, "\"" kind "\":[0-9]+") ? substr(text, RSTART + length(kind) + 3, RLENGTH - length(kind) - 3) : 0 }
                function rate(kind) { return (calls(ca, kind) - calls(cb, kind)) / s }
                BEGIN {printf "%d daemons: %.2f%% of a core, %.1f MB each; %.0f B/s of membership sent by one; store calls/s: get %.1f put %.1f watch %.1f list %.1f instances %.1f\n",
                        n, (a - b) / s / n * 100, m, x / s, rate("get"), rate("put"), rate("watch"), rate("list"), rate("instances")}'
        ) | tee -a out/fleet.txt
    done
}

stragglers() {
    local seeds=${1:-3} seed kind
    source scripts/lab.sh
    lab_up midlands
    sleep 2
    for ((seed = 1; seed <= seeds; ++seed)); do
        for kind in unslowed hedged unhedged; do
            [[ $kind == unslowed ]] || lab_fault '{"target": "packs-3", "kind": "slow", "value": 10}'
            if [[ $kind == unhedged ]]; then
                echo '{"services": {"packs": {"hedge": false}}}' >"$lab_directory/patch.json"
            else
                echo '{"services": {"packs": {"hedge": true}}}' >"$lab_directory/patch.json"
            fi
            lab_operate config patch --base "$(lab_ask GET 127.1.0.1:8081 /config | field /version)" --wait \
                "$lab_directory/patch.json" >/dev/null
            # Eight targets of four slots and 6 ms each bear about 5,300 requests a second.
            "$lab_tool" load --entries "$(lab_entries)" --rate "${STRAGGLER_RATE:-1200}" --seconds 8 --seed "$seed" --lookups 0 \
                --operations 0 --download-bytes 100 >"out/stragglers-$kind-$seed.json"
            lab_fault '{"target": "packs-3", "kind": "slow", "value": 1}'
            echo "seed $seed, $kind: 50% $(field /download/p50_ms <"out/stragglers-$kind-$seed.json"), 99% $(field /download/p99_ms <"out/stragglers-$kind-$seed.json"), 99.9% $(field /download/p999_ms <"out/stragglers-$kind-$seed.json") ms, answered $(field /download/answered <"out/stragglers-$kind-$seed.json") of $(field /download/sent <"out/stragglers-$kind-$seed.json")"
        done
    done
}

patch_now() { # JSON: a patch on the version in force
    echo "$1" >"$lab_directory/patch.json"
    lab_operate config patch --base "$(lab_ask GET 127.1.0.1:8081 /config | field /version)" --wait \
        "$lab_directory/patch.json" >/dev/null
}

data_centre() {
    local seeds=${1:-3} seed kind result
    source scripts/lab.sh
    lab_up finland
    sleep 3
    for ((seed = 1; seed <= seeds; ++seed)); do
        for kind in undisturbed out_and_in; do
            result=out/data-centre-$kind-$seed.json
            "$lab_tool" load --shape finland --entries "$(lab_entries)" --rate 500 --seconds 16 --seed "$seed" >"$result" &
            local load=$!
            if [[ $kind == out_and_in ]]; then
                sleep 4
                lab_operate data-centre out salo --wait >/dev/null
                sleep 6
                lab_operate data-centre in salo --wait >/dev/null
            fi
            wait $load
            echo "seed $seed, $kind: lookups answered $(field /lookup/answered <"$result") of $(field /lookup/sent <"$result"), 99% $(field /lookup/p99_ms <"$result"), 99.9% $(field /lookup/p999_ms <"$result"), most $(field /lookup/max_ms <"$result") ms; operations $(field /operation/answered <"$result") of $(field /operation/sent <"$result"); wrong $(field /lookup/wrong <"$result") $(field /operation/wrong <"$result") $(field /download/wrong <"$result")"
            sleep 3
        done
    done
    lab_ask GET "$lab_targets" / | grep -o '"\(two_owners\|stale_fence\|repeated_operations\|overfed\)":[0-9]*'
}

overload() {
    local seeds=${1:-3} seed rate result
    source scripts/lab.sh
    lab_up midlands 12 10
    # Eight targets of four slots and 30 ms each bear about 1,060 requests a second.
    "$lab_tool" load --entries "$(lab_entries)" --rate 600 --seconds 8 --lookups 0 --operations 0 --download-bytes 100 >/dev/null
    for ((seed = 1; seed <= seeds; ++seed)); do
        for rate in 1000 2000; do
            result=out/overload-$rate-$seed.json
            "$lab_tool" load --entries "$(lab_entries)" --rate "$rate" --seconds 8 --seed "$seed" --lookups 0 --operations 0 \
                --download-bytes 100 >"$result"
            awk -v a="$(field /download/answered <"$result")" -v r="$rate" -v p="$(field /download/p99_ms <"$result")" \
                -v n="$(field /download/not_run <"$result")" -v s="$seed" -v w="$(field /download/wrong <"$result")" \
                'BEGIN {printf "seed %d, %d a second offered: %.0f answered a second, %d refused not run, %d wrong, 99%% %.0f ms\n", s, r, a / 8, n, w, p}'
        done
    done
}

overfed() { lab_ask GET "$lab_targets" / | field /overfed; }

cold_start() {
    local seeds=${1:-3} seed slots before index
    source scripts/lab.sh
    lab_up midlands 12 10
    for ((seed = 1; seed <= seeds; ++seed)); do
        for slots in 1 4; do
            local changes="" load
            for ((index = 1; index <= 8; ++index)); do
                changes+="\"packs-$index\": {\"cold_slots\": $slots},"
            done
            patch_now "{\"targets\": {${changes%,}}}"
            "$lab_tool" load --entries "$(lab_entries)" --rate 500 --seconds 5 --lookups 0 --operations 0 --download-bytes 100 >/dev/null
            before=$(overfed)
            "$lab_tool" load --entries "$(lab_entries)" --rate 500 --seconds 10 --seed "$seed" --lookups 0 --operations 0 \
                --download-bytes 100 >out/cold-$slots-$seed.json &
            load=$!
            sleep 2
            for index in 1 2 3; do
                lab_fault "{\"target\": \"packs-$index\", \"kind\": \"restart\"}"
            done
            wait $load
            echo "seed $seed, cold limit $slots of 4: overfed $(($(overfed) - before)) times, 99% $(field /download/p99_ms <"out/cold-$slots-$seed.json") ms, answered $(field /download/answered <"out/cold-$slots-$seed.json") of $(field /download/sent <"out/cold-$slots-$seed.json")"
        done
    done
}

case $experiment in
    recovery | overhead | capacity | stragglers | data-centre | overload | cold-start) "${experiment//-/_}" "$@" ;;
    *) echo "there is no experiment '$experiment'" >&2; exit 2 ;;
esac
