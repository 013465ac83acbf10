#!/usr/bin/env bash
# Installs the packages, builds the project, starts the whole request path on free loopback ports and checks it with
# real requests.
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
. Utilities/path.sh

passed=0
failed=0

# check NAME RESULT DETAIL: counts and prints a check; RESULT is `ok` if it passed.
check() {
    if [ "$2" = ok ]; then
        passed=$((passed + 1))
        printf 'pass  %-52s %s\n' "$1" "$3"
    else
        failed=$((failed + 1))
        printf 'FAIL  %-52s %s\n' "$1" "$3"
    fi
}

# request ENTRY SECRET PATH BODY [CURL_OPTION...]: sends a POST request; sets $answer to the body of the answer and
# $status to its HTTP status or to curl's error.
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

start_path_on_free_ports || {
    echo 'try: 0 passed, 1 failed'
    exit 1
}
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
