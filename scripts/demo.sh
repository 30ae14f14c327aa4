#!/usr/bin/env bash
# Runs the whole path on this machine: stand-ins for the platform and a group of three databases, two entry hosts, a
# customer that writes, runs a transaction, moves to the other entry host and reads its own write from a replica.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '\n== %s\n' "$*"; }
fail() { printf 'demo: %s\n' "$*" >&2; exit 1; }

step "Install packages and build"
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${BUILD_JOBS:-$(nproc)}" --target plantainwall platform_standin database_standin

work=$(mktemp -d /tmp/plantainwall-demo.XXXXXX)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT

port=${DEMO_BASE_PORT:-21700}
store=127.0.0.1:$port
db=("127.0.0.1:$((port + 1))" "127.0.0.1:$((port + 2))" "127.0.0.1:$((port + 3))")
places=(mill/huon sheds/huon store/tamar)
host=("127.0.0.1:$((port + 4))" "127.0.0.1:$((port + 5))")
peer=("127.0.0.1:$((port + 6))" "127.0.0.1:$((port + 7))")

start() { # start <name> <program> <arguments...>
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}
wait_for() { # wait_for <what> <command...>
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    cat "$work"/*.log >&2
    fail "$what did not become ready"
}

step "Start the platform and three databases (the replicas apply entries 100 ms late)"
start platform build/platform_standin --address "$store"
peers="orders-0=${db[0]},orders-1=${db[1]},orders-2=${db[2]}"
for i in 0 1 2; do
    role=()
    [ "$i" -ne 0 ] || role=(--primary)
    start "orders-$i" build/database_standin --group orders --name "orders-$i" --address "${db[$i]}" --peers "$peers" \
        --slots 5 --connections 30 --connect-ms 10 --lag-ms 100 "${role[@]}"
done
wait_for platform curl -sf "http://$store/v1/admin/stats"
for i in 0 1 2; do wait_for "orders-$i" curl -sf "http://${db[$i]}/v1/status"; done

step "Make the first operator's credential and start two entry hosts"
build/plantainwall operator credential root >"$work/credential"
sed -n 's/^credential //p' "$work/credential" >"$work/operator"
digest=$(sed -n 's/^digest //p' "$work/credential")
secret=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
names=(host-a host-b)
for i in 0 1; do
    cat >"$work/${names[$i]}.toml" <<TOML
[host]
name = "${names[$i]}"
data_centre = "${places[$i]%/*}"
region = "${places[$i]#*/}"
listen = "${host[$i]}"
peer_listen = "${peer[$i]}"
store = "http://$store"
seed_peers = ["${peer[$((1 - i))]}"]
peer_secret = "$secret"
backend_credential = "demo-backend-credential"

[operator]
bootstrap_digest = "$digest"

[log]
level = "info"

[trace]
file = "$work/${names[$i]}.spans"
TOML
    build/plantainwall check --config "$work/${names[$i]}.toml"
    start "${names[$i]}" build/plantainwall serve --config "$work/${names[$i]}.toml"
done
for i in 0 1; do wait_for "${names[$i]}" curl -sf "http://${host[$i]}/healthz"; done

export PLANTAINWALL_SERVER="http://${host[0]}"
pw() { build/plantainwall "$1" --operator-credential-file "$work/operator" "${@:2}"; }

step "Operators: list the hosts, the group and the token key"
for i in 0 1; do
    pw config set "fleet/hosts/${names[$i]}" "caller_address = \"http://${host[$i]}\"
peer_address = \"http://${peer[$i]}\"
data_centre = \"${places[$i]%/*}\"
region = \"${places[$i]#*/}\""
done
pw config set fleet/token_keys "[[keys]]
id = 1
secret = \"$secret\""
group=""
for i in 0 1 2; do
    group+="[[members]]
name = \"orders-$i\"
address = \"http://${db[$i]}\"
data_centre = \"${places[$i]%/*}\"
region = \"${places[$i]#*/}\"
"
done
pw config set services/plait-ledger/groups/orders "$group"

step "Operators: create a team, its key, and the owner's approval"
pw team create milliners --rate 500 --burst 100 --service plait-ledger
key=$(pw key create milliners)
pw approve add plait-ledger milliners
pw limits show milliners

call() { # call <host index> <path> <body> <session>: prints the answer
    curl -s --max-time 10 -H "Authorization: Bearer $key" -H "Plantainwall-Session: ${4:-}" -H "Content-Type: application/json" \
        -d "$3" "http://${host[$1]}$2"
}
field() { sed -n "s/.*\"$1\":\"\\([^\"]*\\)\".*/\\1/p" <<<"$2"; }

step "A caller opens a session on host-a and writes"
answer=""
write() {
    answer=$(call 0 /v1/groups/orders/query '{"statements":["PUT hat-17 ordered"]}')
    [ "$(field name "$answer")" = ok ]
}
for _ in $(seq 100); do
    if write; then break; fi
    sleep 0.1
done
printf '%s\n' "$answer"
[ "$(field name "$answer")" = ok ] || { cat "$work"/host-*.log >&2; fail "the write was not acknowledged"; }
session=$(field session "$answer")

step "It runs a transaction on host-a"
answer=$(call 0 /v1/groups/orders/transactions '{}' "$session")
transaction=$(field transaction "$answer")
[ -n "$transaction" ] || fail "no transaction: $answer"
call 0 "/v1/transactions/$transaction/query" '{"statements":["PUT hat-17 braided","ADD braid-metres 40"]}' "$session"
echo
answer=$(call 0 "/v1/transactions/$transaction/commit" '{}' "$session")
printf '%s\n' "$answer"
[ "$(field name "$answer")" = ok ] || fail "the commit was not acknowledged"
session=$(field session "$answer")

step "It moves to host-b with its session token and reads its own write at once, then from a replica that caught up"
answer=$(call 1 /v1/groups/orders/query '{"statements":["GET hat-17","GET braid-metres"],"read_only":true}' "$session")
printf '%s\n' "$answer"
grep -q '"results":\["braided","40"\]' <<<"$answer" || fail "host-b did not return the session's own write"
sleep 0.3
answer=$(call 1 /v1/groups/orders/query '{"statements":["GET hat-17","GET braid-metres"],"read_only":true}' "$session")
printf '%s\n' "$answer"
grep -q '"results":\["braided","40"\]' <<<"$answer" || fail "host-b did not return the session's own write"
[ "$(field served_by "$answer")" = replica ] || fail "the read was not served by a replica"

step "A withdrawn key stops working on every host"
pw key withdraw milliners "$(sed -n 's/^pw_\([^_]*\)_.*/\1/p' <<<"$key")"
refused() { grep -q key_withdrawn <<<"$(call 1 /v1/groups/orders/query '{"statements":["GET hat-17"],"read_only":true}' "$session")"; }
for _ in $(seq 30); do
    if refused; then break; fi
    sleep 0.1
done
refused || fail "the withdrawn key still works after 3 s"
call 1 /v1/groups/orders/query '{"statements":["GET hat-17"],"read_only":true}' "$session"
echo

step "What host-a believes"
pw status

step "Graceful shutdown"
for pid in "${pids[@]:4}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:4}"; do wait "$pid" || fail "an entry host ended with an error"; done
printf 'spans written: %s\n' "$(cat "$work"/*.spans | wc -l)"
step "Line sessions on a gateway before stand-ins: three failed requests, each explained from the gateway's log"
build/integration_explain --log_level=message --color_output=no || fail "a failed request was not explained"
printf '\ndemo: all steps passed\n'
