#!/usr/bin/env bash
# Compares the latency of requests through an entry and a side process with that of direct calls of the fake engine, and
# prints the memory of the daemons.
# usage: Utilities/latency.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
cmake --build "$build" > /dev/null
engine_options='--batch 400 --workers 700'
entry_extra='workers = 400'
side_extra='workers = 400'
upstream_slots=400
atelier_rate=100000000.0
atelier_burst=100000000.0
. Utilities/path.sh

readonly rounds=3 run_seconds=5 run_requests=20000

resident_mb() { awk '/^VmRSS:/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }

memory_line() { # LABEL
    local index
    printf '%s:' "$1"
    for index in "${!names[@]}"; do
        case ${names[$index]} in
        entry-* | drafting-* | ledger-1) printf ' %s %s MB' "${names[$index]}" "$(resident_mb "${pids[$index]}")" ;;
        esac
    done
    echo
}

load() { # STREAMS ARGUMENT...
    local streams=$1
    shift
    "$bin/sagesaddle-load" --streams "$streams" --requests "$run_requests" --seconds "$run_seconds" \
        --model quotes --tokens 16 --stream "$@"
}

start_path_on_free_ports
write_records false
apply_records
model_is_loaded() { curl -sS "http://$engine1/control/report" | grep -q '"loaded"'; }
until_true "$ready_timeout_s" is_ready "$entry1_admin"
until_true "$ready_timeout_s" model_is_loaded
memory_line idle
for streams in 1 50 300; do
    for ((round = 1; round <= rounds; round++)); do
        echo "streams $streams round $round direct: $(load "$streams" --to "$engine1" --team atelier)"
        echo "streams $streams round $round path:   $(load "$streams" --to "$entry1" --key "$secret_atelier")"
    done
    memory_line "after $streams streams"
done
