# Functions for scripts that run an installation on the stand-ins. Source it; `lab_down` runs on exit.

lab_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
lab_tool=$lab_root/build/release/src/standins/teaselcross_lab
lab_program=$lab_root/build/release/src/teaselcross/teaselcross
lab_directory=$(mktemp -d)
lab_store=127.0.0.1:7000
lab_targets=127.0.0.1:7100

# Ends every process that this script has started, by its number.
lab_down() {
    local file
    for file in "$lab_directory"/*.pid; do
        [[ -f $file ]] && kill -KILL "$(cat "$file")" 2>/dev/null || true
    done
    wait 2>/dev/null
    if [[ -n "${lab_keep:-}" ]]; then
        echo "files kept in $lab_directory"
    else
        rm -rf "$lab_directory"
    fi
    return 0
}
trap lab_down EXIT

lab_start() { # NAME COMMAND...: a process in the background, its output in a file
    local name=$1
    shift
    "$@" >"$lab_directory/$name.log" 2>&1 &
    echo $! >"$lab_directory/$name.pid"
    disown $! # The shell need not report how it ended.
}

lab_kill() { # SIGNAL NAME
    kill -"$1" "$(cat "$lab_directory/$2.pid")"
    [[ $1 == KILL || $1 == TERM ]] && rm -f "$lab_directory/$2.pid"
    return 0
}

lab_ask() { "$lab_tool" ask "$@"; }
lab_fault() { lab_ask POST "$lab_targets" /lab/fault "$1" >/dev/null; } # JSON
lab_store_fault() { lab_ask POST "$lab_store" /lab/faults "$1" >/dev/null; } # JSON
lab_operate() { "$lab_program" "$@" --instance 127.1.0.1:8081 --who "$(basename "$0")"; }

lab_serve() { # NAME: an instance by its settings file
    lab_start "$1" "$lab_program" serve --settings "$lab_directory/$1.settings.json"
}

lab_up() { # SHAPE [INSTANCES [WORK_MS]]: store, targets and instances, configured and owned
    "$lab_tool" shape --shape "$1" --directory "$lab_directory" --instances "${2:-12}" --work-ms "${3:-2}"
    lab_start store "$lab_tool" store --listen "$lab_store"
    lab_start targets "$lab_tool" targets --file "$lab_directory/targets.json" --listen "$lab_targets"
    lab_wait 50 lab_ask GET "$lab_store" /lab/counts
    lab_wait 50 lab_ask GET "$lab_targets" /
    lab_ask POST "$lab_store" /lab/instances "$(cat "$lab_directory/instances.json")" >/dev/null
    local settings
    for settings in "$lab_directory"/*.settings.json; do
        lab_serve "$(basename "$settings" .settings.json)"
    done
    lab_wait 100 lab_ask GET 127.1.0.1:8081 /livez
    lab_wait 100 lab_operate config patch --base 0 --id first --wait "$lab_directory/description.json"
    lab_wait 200 lab_settled
}

lab_settled() { # Every shard has an owner that is granted it.
    [[ $(lab_ask GET 127.1.0.1:8081 /status | "$lab_tool" field /act) == false ]]
}

lab_wait() { # TRIES COMMAND...: until it succeeds
    local tries=$1 count
    shift
    for ((count = 0; count < tries; ++count)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

lab_entries() { # The callers' addresses of all instances
    local settings list=()
    for settings in "$lab_directory"/*.settings.json; do
        list+=("$("$lab_tool" field /host <"$settings"):8080")
    done
    (IFS=,; echo "${list[*]}")
}
