#!/usr/bin/env bash
# Installs the packages, builds, runs the whole path on free loopback ports and sends real requests through it.
# usage: Utilities/try.sh [--no-install] [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --no-install ]; then
    shift
else
    Utilities/install.sh
fi
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
cmake --build "$build" > "$build/try-build.log" 2>&1 || {
    tail -40 "$build/try-build.log" >&2
    exit 1
}

readonly bin="$build/bin"
readonly startup_tries=5 ready_timeout_s=20 stop_timeout_s=15
work=$(mktemp -d "${TMPDIR:-/tmp}/sagesaddle-try.XXXXXX")
readonly work
readonly secret_atelier=atelier-secret-1 secret_old=atelier-secret-0 secret_dealers=dealers-secret-1
pids=()
names=()
passed=0
failed=0

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]}"; do
        timeout "$stop_timeout_s" tail --pid="$pid" -f /dev/null || kill -KILL "$pid" 2> /dev/null || true
    done
}
trap stop_all EXIT

# check NAME VERDICT DETAIL: VERDICT is `ok` where the check passed.
check() {
    if [ "$2" = ok ]; then
        passed=$((passed + 1))
        printf 'pass  %-52s %s\n' "$1" "$3"
    else
        failed=$((failed + 1))
        printf 'FAIL  %-52s %s\n' "$1" "$3"
    fi
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}

port_is_open() { (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

readonly port_count=18
choose_ports() {
    local base offset
    while true; do
        base=$((20000 + RANDOM % 12000))
        for ((offset = 0; offset < port_count; offset++)); do
            port_is_open $((base + offset)) && continue 2
        done
        break
    done
    local name
    offset=0
    for name in log store hosts engine1 engine2 ledger side1 side2 side3 side1_admin side2_admin side3_admin \
        entry1 entry2 entry1_admin entry2_admin entry1_peer entry2_peer; do
        printf -v "$name" '127.0.0.1:%d' $((base + offset))
        offset=$((offset + 1))
    done
}

# start NAME PORT PROGRAM ARGUMENT...: fails where the program ends before its port is open.
start() {
    local name=$1 port=${2##*:}
    shift 2
    "$@" > "$work/$name.log" 2>&1 &
    local pid=$!
    pids+=("$pid")
    names+=("$name")
    local end=$((SECONDS + ready_timeout_s))
    until port_is_open "$port"; do
        kill -0 "$pid" 2> /dev/null && [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
    kill -0 "$pid" 2> /dev/null
}

entry_settings() { # NAME ZONE LISTEN ADMIN PEER
    cat << END
[process]
name = "$1"
region = "tbilisi"
zone = "$2"
[callers]
listen = "$3"
[admin]
listen = "$4"
[peers]
listen = "$5"
[log]
address = "$log"
[hosts]
address = "$hosts"
END
}

side_settings() { # NAME LISTEN TARGET ADMIN
    cat << END
[process]
name = "$1"
[frames]
listen = "$2"
[target]
address = "$3"
[admin]
listen = "$4"
[log]
address = "$log"
END
}

digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

write_records() { # OLD_KEY_WITHDRAWN
    mkdir -p "$work/records"
    cat > "$work/records/fleet.toml" << END
schema = 1

[[team]]
name = "atelier"
rate_tokens_per_s = 2000.0
burst_tokens = 4000.0

[[team]]
name = "dealers"
rate_tokens_per_s = 20.0
burst_tokens = 200.0

[[key]]
id = "atelier-1"
team = "atelier"
secret_sha256 = "$(digest "$secret_atelier")"

[[key]]
id = "atelier-0"
team = "atelier"
secret_sha256 = "$(digest "$secret_old")"
withdrawn = $1

[[key]]
id = "dealers-1"
team = "dealers"
secret_sha256 = "$(digest "$secret_dealers")"

[[model]]
name = "quotes"
memory_mb = 8000

[[model]]
name = "briefs"
memory_mb = 8000

[[upstream]]
name = "drafting-1"
kind = "engine"
region = "tbilisi"
zone = "a"
side = "$side1"
target = "$engine1"
memory_mb = 24000
slots = 8
checks_fencing = true

[[upstream]]
name = "drafting-2"
kind = "engine"
region = "tbilisi"
zone = "b"
side = "$side2"
target = "$engine2"
memory_mb = 24000
slots = 8

[[upstream]]
name = "ledger-1"
kind = "service"
region = "tbilisi"
zone = "a"
side = "$side3"
target = "$ledger"
service = "ledger"
slots = 8

[[route]]
path_prefix = "/orders"
service = "ledger"
idempotent = false

[[route]]
path_prefix = "/stock"
service = "ledger"
idempotent = true

[[placement]]
model = "quotes"
upstream = "drafting-1"
pinned = true

[[placement]]
model = "briefs"
upstream = "drafting-2"
pinned = true

[[entry]]
name = "entry-a"
region = "tbilisi"
zone = "a"
peer = "$entry1_peer"
admin = "$entry1_admin"

[[entry]]
name = "entry-b"
region = "tbilisi"
zone = "b"
peer = "$entry2_peer"
admin = "$entry2_admin"
END
}

apply_records() {
    "$bin/sagesaddle" apply "$work/records" --log "$log" --operator try >> "$work/apply.log" 2>&1
}

start_path() {
    choose_ports
    entry_settings entry-a a "$entry1" "$entry1_admin" "$entry1_peer" > "$work/entry-a.toml"
    entry_settings entry-b b "$entry2" "$entry2_admin" "$entry2_peer" > "$work/entry-b.toml"
    side_settings drafting-1 "$side1" "$engine1" "$side1_admin" > "$work/drafting-1.toml"
    side_settings drafting-2 "$side2" "$engine2" "$side2_admin" > "$work/drafting-2.toml"
    side_settings ledger-1 "$side3" "$ledger" "$side3_admin" > "$work/ledger-1.toml"
    start log "$log" "$bin/fake-log" --listen "$log" &&
        start store "$store" "$bin/fake-store" --listen "$store" &&
        start hosts "$hosts" "$bin/fake-hosts" --listen "$hosts" &&
        start engine-1 "$engine1" "$bin/fake-engine" --listen "$engine1" --memory-mb 24000 --store "$store" --check-fencing yes &&
        start engine-2 "$engine2" "$bin/fake-engine" --listen "$engine2" --memory-mb 24000 --store "$store" &&
        start ledger "$ledger" "$bin/fake-service" --listen "$ledger" --name ledger &&
        start entry-a "$entry1_admin" "$bin/sagesaddle-entry" --config "$work/entry-a.toml" &&
        start entry-b "$entry2_admin" "$bin/sagesaddle-entry" --config "$work/entry-b.toml" &&
        start drafting-1 "$side1_admin" "$bin/sagesaddle-side" --config "$work/drafting-1.toml" &&
        start drafting-2 "$side2_admin" "$bin/sagesaddle-side" --config "$work/drafting-2.toml" &&
        start ledger-1 "$side3_admin" "$bin/sagesaddle-side" --config "$work/ledger-1.toml"
}

# request ENTRY SECRET PATH BODY [CURL_OPTION...]: leaves the answer in $answer and its status in $status.
request() {
    local entry=$1 secret=$2 path=$3 body=$4
    shift 4
    status=$(curl -sS -o "$work/answer" -w '%{http_code}' --max-time 20 -X POST "http://$entry$path" \
        ${secret:+-H "Authorization: Bearer $secret"} -H 'Content-Type: application/json' "$@" -d "$body" \
        2> "$work/curl.log") || status="curl failed: $(cat "$work/curl.log")"
    answer=$(cat "$work/answer" 2> /dev/null || true)
}

verdict() { sed -n 's/.*"verdict" *: *"\([a-z_]*\)".*/\1/p' "$work/answer" 2> /dev/null | head -1; }
reason() { sed -n 's/.*"reason" *: *"\([a-z_]*\)".*/\1/p' "$work/answer" 2> /dev/null | head -1; }
outcome() { printf '%s %s %s' "$status" "$(verdict)" "$(reason)"; }

chat() { # MODEL TOKENS [EXTRA_JSON]
    printf '{"model":"%s","messages":[{"role":"user","content":"two saddles in oak"}],"max_tokens":%d%s}' "$1" "$2" "${3:-}"
}

is_ready() { curl -sS -f -o /dev/null --max-time 2 "http://$1/readyz" 2> /dev/null; }

model_answers() {
    request "$entry1" "$secret_atelier" /v1/chat/completions "$(chat "$1" 4)"
    [ "$status" = 200 ]
}

check_ready() {
    local who result=ok
    for who in "$entry1_admin" "$entry2_admin" "$side1_admin" "$side2_admin" "$side3_admin"; do
        until_true "$ready_timeout_s" is_ready "$who" || result="not ready: $who"
    done
    check 'every process is ready' "$result" "$result"
    for who in quotes briefs; do
        until_true "$ready_timeout_s" model_answers "$who" || result="model $who: $(outcome)"
    done
    check 'every model answers' "$result" "$result"
}

check_answered() { # NAME ENTRY SECRET MODEL
    request "$2" "$3" /v1/chat/completions "$(chat "$4" 4)"
    local result=no
    [ "$status" = 200 ] && [[ $answer == *'two saddles in oak'* ]] && result=ok
    check "$1" "$result" "$status answered"
}

check_streamed() {
    request "$entry2" "$secret_atelier" /v1/chat/completions "$(chat quotes 8 ',"stream":true')"
    local events result=no
    events=$(grep -c '"content"' "$work/answer" || true)
    [ "$status" = 200 ] && [ "$events" = 8 ] && [[ $answer == *'data: [DONE]'* ]] && result=ok
    check 'a streamed answer comes whole' "$result" "$status answered, $events tokens"
}

check_over_rate() {
    local number result=no
    for ((number = 1; number <= 40; number++)); do
        request "$entry1" "$secret_dealers" /v1/chat/completions "$(chat briefs 20)"
        [ "$status" = 200 ] || break
    done
    [ "$status" = 429 ] && [ "$(verdict)" = not_run ] && result=ok
    check 'a team over its rate is refused' "$result" "$(outcome) at request $number"
    check_answered 'the other team is still answered' "$entry1" "$secret_atelier" briefs
}

check_once() {
    local key result=no first second runs
    key="deposit-$(date +%s)-$RANDOM"
    request "$entry1" "$secret_atelier" /orders/deposits '{"amount":120}' -H "Idempotency-Key: $key"
    first=$(outcome)
    request "$entry2" "$secret_atelier" /orders/deposits '{"amount":120}' -H "Idempotency-Key: $key"
    second=$(outcome)
    runs=$(curl -sS "http://$ledger/admin/executions" | sed -n "s/.*\"$key\":\([0-9]*\).*/\1/p")
    [[ $first == 200* ]] && [[ $second == '409 may_have_run already_claimed' ]] && [ "$runs" = 1 ] && result=ok
    check 'a deposit tried at two entries runs once' "$result" "first $first, second $second, runs ${runs:-0}"
}

is_refused_now() {
    request "$entry2" "$secret_old" /v1/chat/completions "$(chat quotes 4)"
    [ "$status" = 401 ]
}

check_withdrawn() {
    local result=no
    check_answered 'a key works until it is withdrawn' "$entry2" "$secret_old" quotes
    write_records true
    apply_records || true
    until_true 3 is_refused_now && [ "$(verdict)" = not_run ] && result=ok
    check 'a withdrawn key is refused' "$result" "$(outcome)"
    request "$entry1" '' /v1/chat/completions "$(chat quotes 4)"
    result=no
    [ "$status" = 401 ] && [ "$(verdict)" = not_run ] && result=ok
    check 'a request without a key is refused' "$result" "$(outcome)"
}

check_keys_inside() {
    local result=ok target
    for target in "$engine1/admin/stats" "$engine2/admin/stats" "$ledger/admin/executions"; do
        curl -sS "http://$target" | grep -qi 'authorization\|-secret-' && result="a key reached $target"
    done
    check 'no upstream saw a key' "$result" "$result"
}

check_command() {
    local result=no
    "$bin/sagesaddle" status --entry "$entry1_admin" --entry "$entry2_admin" > "$work/status.txt" 2>&1 && result=ok
    check 'sagesaddle status asks both entries' "$result" "$work/status.txt"
}

check_stopped() {
    local index code result=ok
    for index in "${!pids[@]}"; do
        kill -TERM "${pids[$index]}" 2> /dev/null || true
    done
    for index in "${!pids[@]}"; do
        code=0
        timeout "$stop_timeout_s" tail --pid="${pids[$index]}" -f /dev/null || kill -KILL "${pids[$index]}"
        wait "${pids[$index]}" || code=$?
        [ "$code" = 0 ] || result="${names[$index]} ended with $code"
    done
    pids=()
    check 'every process stops cleanly' "$result" "$result"
}

for ((try = 1; ; try++)); do
    start_path && break
    echo "could not start ${names[-1]}, its log says:" >&2
    tail -3 "$work/${names[-1]}.log" >&2
    stop_all
    pids=()
    names=()
    [ "$try" -lt "$startup_tries" ] || {
        echo 'try: 0 passed, 1 failed'
        exit 1
    }
done
echo "logs: $work/*.log"
echo "metrics: http://$entry1_admin/metrics http://$entry2_admin/metrics http://$side1_admin/metrics http://$side2_admin/metrics http://$side3_admin/metrics"

write_records false
if apply_records; then check 'the records are applied' ok "$work/records"; else check 'the records are applied' no "$work/apply.log"; fi
check_ready
check_answered 'team atelier is answered at entry-a' "$entry1" "$secret_atelier" quotes
check_answered 'team dealers is answered at entry-b' "$entry2" "$secret_dealers" briefs
check_streamed
check_over_rate
check_once
check_withdrawn
check_keys_inside
check_command
for process in entry-a:$entry1_admin entry-b:$entry2_admin drafting-1:$side1_admin drafting-2:$side2_admin ledger-1:$side3_admin; do
    curl -sS "http://${process#*:}/metrics" > "$work/${process%%:*}.metrics" 2>&1 || true
done
check_stopped
echo "kept: $work/*.metrics"
echo "try: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
