# shellcheck shell=bash disable=SC2086
# Starts the processes of the whole request path (two entries, three side processes and fakes of engines, a service, the
# log, the store and the list of hosts) on free loopback ports. Sourced by scripts that set `build` first and run in the
# project's root. All started processes are stopped when the script ends.

readonly bin="$build/bin"
# Defaults of the variables that a script may set before it sources this file.
: "${engine_options:=}" "${entry_extra:=}" "${side_extra:=}" "${upstream_slots:=8}" "${atelier_rate:=2000.0}" "${atelier_burst:=4000.0}"
readonly startup_tries=5 ready_timeout_s=20 stop_timeout_s=15
work=$(mktemp -d "${TMPDIR:-/tmp}/sagesaddle.XXXXXX")
readonly work
readonly secret_atelier=atelier-secret-1 secret_old=atelier-secret-0 secret_dealers=dealers-secret-1
pids=()
names=()

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

# until_true SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
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

# start NAME ADDRESS PROGRAM ARGUMENT...: starts a program and waits until its port is open; fails if the program ends or
# $ready_timeout_s pass before.
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

entry_settings() { # NAME ZONE LISTEN ADMIN PEER OTHER_PEER
    cat << END
[process]
name = "$1"
region = "tbilisi"
zone = "$2"
[callers]
listen = "$3"
$entry_extra
[admin]
listen = "$4"
[peers]
listen = "$5"
seeds = ["$6"]
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
$side_extra
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
rate_tokens_per_s = $atelier_rate
burst_tokens = $atelier_burst

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
slots = $upstream_slots
checks_fencing = true

[[upstream]]
name = "drafting-2"
kind = "engine"
region = "tbilisi"
zone = "b"
side = "$side2"
target = "$engine2"
memory_mb = 24000
slots = $upstream_slots

[[upstream]]
name = "ledger-1"
kind = "service"
region = "tbilisi"
zone = "a"
side = "$side3"
target = "$ledger"
service = "ledger"
slots = $upstream_slots

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
    "$bin/sagesaddle" apply "$work/records" --log "$log" --operator "${0##*/}" >> "$work/apply.log" 2>&1
}

start_path() {
    choose_ports
    entry_settings entry-a a "$entry1" "$entry1_admin" "$entry1_peer" "$entry2_peer" > "$work/entry-a.toml"
    entry_settings entry-b b "$entry2" "$entry2_admin" "$entry2_peer" "$entry1_peer" > "$work/entry-b.toml"
    side_settings drafting-1 "$side1" "$engine1" "$side1_admin" > "$work/drafting-1.toml"
    side_settings drafting-2 "$side2" "$engine2" "$side2_admin" > "$work/drafting-2.toml"
    side_settings ledger-1 "$side3" "$ledger" "$side3_admin" > "$work/ledger-1.toml"
    start log "$log" "$bin/fake-log" --listen "$log" &&
        start store "$store" "$bin/fake-store" --listen "$store" &&
        start hosts "$hosts" "$bin/fake-hosts" --listen "$hosts" &&
        start engine-1 "$engine1" "$bin/fake-engine" --listen "$engine1" --memory-mb 24000 --store "$store" --check-fencing yes $engine_options &&
        start engine-2 "$engine2" "$bin/fake-engine" --listen "$engine2" --memory-mb 24000 --store "$store" $engine_options &&
        start ledger "$ledger" "$bin/fake-service" --listen "$ledger" --name ledger &&
        start entry-a "$entry1_admin" "$bin/sagesaddle-entry" --config "$work/entry-a.toml" &&
        start entry-b "$entry2_admin" "$bin/sagesaddle-entry" --config "$work/entry-b.toml" &&
        start drafting-1 "$side1_admin" "$bin/sagesaddle-side" --config "$work/drafting-1.toml" &&
        start drafting-2 "$side2_admin" "$bin/sagesaddle-side" --config "$work/drafting-2.toml" &&
        start ledger-1 "$side3_admin" "$bin/sagesaddle-side" --config "$work/ledger-1.toml"
}
is_ready() { curl -sS -f -o /dev/null --max-time 2 "http://$1/readyz" 2> /dev/null; }

# Starts all programs; tries again on other ports if one fails, for example since another process took its port.
start_path_on_free_ports() {
    local try
    for ((try = 1; try <= startup_tries; try++)); do
        start_path && return
        echo "could not start ${names[-1]}, its log says:" >&2
        tail -3 "$work/${names[-1]}.log" >&2
        stop_all
        pids=()
        names=()
    done
    return 1
}
