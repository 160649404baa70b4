#!/usr/bin/env bash
# Runs a small fleet on loopback: three instances with disks, three without,
# two simulated engines and a simulated booking service. Files a ticket, sends
# the same chat and the same booking each through two instances, prints the
# configuration version in force on each instance, and ends every process it
# started. Exits 0 only when all checks passed.
# Usage: demo.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
binary=$build/src/hickorygap
data=$(mktemp -d -t hickorygap-demo-XXXXXX)
base_port=${DEMO_BASE_PORT:-21000}
instances=(1 2 3 4 5 6)
voters="1, 2, 3"
api_key=demo-key
operator_token=demo-operator-token
pids=()

end_processes() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
finish() {
    local status=$?
    end_processes
    if ((status == 0)); then
        rm -rf "$data"
        echo "demo: all checks passed"
    else
        echo "demo: FAILED, logs are in $data"
    fi
}
trap finish EXIT

fail() {
    echo "demo: $*" >&2
    exit 1
}
sha256_of() {
    printf '%s' "$1" | sha256sum | cut -d' ' -f1
}
caller_port() { echo $((base_port + $1)); }
operator_port() { echo $((base_port + 100 + $1)); }
peer_port() { echo $((base_port + 200 + $1)); }

write_settings() {
    local id=$1 folder=""
    if ((id <= 3)); then
        folder=$data/instance-$id
    fi
    cat > "$data/instance-$id.json" <<JSON
// Settings of instance $id of the demo.
{
  "instance": {"id": $id, "failure_domain": "zone-$(((id - 1) % 3 + 1))"},
  "callers": {"port": $(caller_port "$id")},
  "operators": {
    "port": $(operator_port "$id"),
    "token_digest": "$(sha256_of $operator_token)"
  },
  "peers": {
    "port": $(peer_port "$id"),
    "fleet_key_file": "$data/fleet-key",
    "seeds": [
      {"id": 1, "address": "127.0.0.1:$(peer_port 1)"},
      {"id": 2, "address": "127.0.0.1:$(peer_port 2)"},
      {"id": 3, "address": "127.0.0.1:$(peer_port 3)"}
    ]
  },
  "voters": [$voters],
  "bootstrap": $( ((id <= 3)) && echo true || echo false),
  "data_folder": "$folder",
  "shutdown": {"balancer_lag_ms": 100}
}
JSON
}

# Starts a simulated backend server and sets stand_in_port to its port.
start_stand_in() {
    local name=$1
    shift
    "$build/tests/support/$name" "$@" > "$data/$name-${#pids[@]}.out" &
    pids+=($!)
    local out="$data/$name-$((${#pids[@]} - 1)).out"
    for _ in $(seq 100); do
        if grep -q 'port=' "$out"; then
            stand_in_port=$(sed -n 's/.*port=//p' "$out")
            return
        fi
        sleep 0.1
    done
    fail "$name did not print its port within 10 s; see $out"
}

operator() {
    "$binary" "$@" --server "127.0.0.1:$(operator_port 1)" \
        --server "127.0.0.1:$(operator_port 4)" \
        --token-file "$data/operator-token"
}

printf 'demo-fleet-key-0123456789abcdef' > "$data/fleet-key"
printf '%s' "$operator_token" > "$data/operator-token"
start_stand_in engine_stand_in
engine_1=$stand_in_port
start_stand_in engine_stand_in
engine_2=$stand_in_port
start_stand_in service_stand_in --log_file="$data/bookings.log"
booking=$stand_in_port
for id in "${instances[@]}"; do
    write_settings "$id"
    "$binary" serve --settings "$data/instance-$id.json" \
        2> "$data/instance-$id.log" &
    pids+=($!)
done

cat > "$data/ticket-1.json" <<JSON
{
  "ticket": 1,
  "comment": "first state of the demo",
  "services": {
    "report": {"kind": "engine", "model": "report-7b", "version": "1"},
    "booking": {"kind": "plain", "path": "/booking", "repeatable": false}
  },
  "backend_servers": {
    "engine-1": {"address": "127.0.0.1:$engine_1", "service": "report",
      "failure_domain": "zone-1"},
    "engine-2": {"address": "127.0.0.1:$engine_2", "service": "report",
      "failure_domain": "zone-2"},
    "booking-1": {"address": "127.0.0.1:$booking", "service": "booking",
      "failure_domain": "zone-3"}
  },
  "organisations": {
    "leak-tracing": {"api_key_digests": ["$(sha256_of $api_key)"],
      "highest_rank": "urgent", "weight": 1}
  }
}
JSON

echo "== ticket 1"
for attempt in $(seq 40); do
    if operator ticket file "$data/ticket-1.json" > "$data/receipt" \
            2> "$data/receipt.error"; then
        break
    fi
    ((attempt < 40)) ||
        fail "ticket 1 not accepted after 40 attempts: $(cat "$data/receipt.error")"
    sleep 0.5
done
cat "$data/receipt"

wait_ready() {
    for _ in $(seq 60); do
        if curl -sf "http://127.0.0.1:$(caller_port "$1")/readyz" > /dev/null
        then
            return
        fi
        sleep 0.5
    done
    fail "/readyz of instance $1 did not return 2xx within 30 s"
}
for id in "${instances[@]}"; do
    wait_ready "$id"
done

chat() {
    curl -sSN --fail-with-body -D "$data/headers" \
        "http://127.0.0.1:$(caller_port "$1")/v1/chat/completions" \
        -H "Authorization: Bearer $api_key" -H 'X-Chat-Id: survey-17' \
        -H 'X-Rank: urgent' -H 'Content-Type: application/json' \
        -d '{"model": "report-7b", "stream": true,
             "messages": [{"role": "user", "content": "wet wall, flat 3"}]}'
}
requests_of() {
    curl -sS "http://127.0.0.1:$1/stats" |
        sed -n 's/.*"requests":\([0-9]*\).*/\1/p'
}

echo "== chat through instance 2, response as it streams"
chat 2 | tee "$data/first"
echo "== the same chat through instance 5"
chat 5 > "$data/second"
tail -n 2 "$data/second"
cmp -s "$data/first" "$data/second" ||
    fail "the two chat responses differ"
grep -q 'DONE' "$data/first" || fail "the streamed response has no final DONE"
served_1=$(requests_of "$engine_1")
served_2=$(requests_of "$engine_2")
echo "requests on engine-1: $served_1, on engine-2: $served_2"
[[ $served_1+$served_2 == 2+0 || $served_1+$served_2 == 0+2 ]] ||
    fail "the two requests of the chat ran on different engines"

book() {
    curl -sS --fail-with-body \
        "http://127.0.0.1:$(caller_port "$1")/services/booking/vans" \
        -H "Authorization: Bearer $api_key" \
        -H 'Idempotency-Key: visit-2041' -d '{"address": "Egnatia 5"}'
    echo
}
echo "== one booking, sent through instances 3 and 6"
book 3 | tee "$data/booking-1"
book 6 | tee "$data/booking-2"
cmp -s "$data/booking-1" "$data/booking-2" ||
    fail "the two booking responses differ"
runs=$(wc -l < "$data/bookings.log")
echo "runs of the booking: $runs"
((runs == 1)) || fail "the booking ran $runs times, expected 1"

echo "== in force"
for _ in $(seq 60); do
    operator in-force > "$data/in-force"
    if ! grep -q 'not yet' "$data/in-force"; then
        break
    fi
    sleep 0.25
done
cat "$data/in-force"
if grep -q 'not yet' "$data/in-force"; then
    fail "ticket 1 is not in force on every instance after 60 polls"
fi

echo "== graceful shutdown"
for index in "${!pids[@]}"; do
    ((index < 3)) && continue
    kill -TERM "${pids[index]}"
done
for index in "${!pids[@]}"; do
    ((index < 3)) && continue
    wait "${pids[index]}" ||
        fail "instance $((index - 2)) exited with $?, expected 0"
done
echo "all instances ended with exit code 0"
