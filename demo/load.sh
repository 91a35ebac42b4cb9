#!/usr/bin/env bash
# Runs one host on loopback addresses under load: new flows at a given rate while
# feeds are open. LOG_LEVEL sets the host's log level, to compare runs with and
# without a log line for each decision. Prints the callers' results, and the host's
# CPU time and memory. Usage: demo/load.sh [FLOWS-PER-SECOND] [FEEDS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-10000}
feeds=${2:-2000}
seconds=${3:-10}
net=127.12
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret"
echo "1 $(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$work/keys"
bin/cactuspin key ana --out "$work/ana.key" >"$work/signers"
{
  printf 'format: 1\nversion: 1\norganisation: load\nservices:\n'
  printf '  - name: orders\n    address: %s.1.1:5683\n    kinds:\n' "$net"
  printf '      - {name: all, path: /, importance: 1, share: 1, deadline: 5s, queue: 60000}\n    targets:\n'
  for i in 1 2 3 4; do printf '      - {address: "%s.3.%d:5683", zone: a, slots: 2000, connections: 100000}\n' "$net" "$i"; done
} >"$work/bundle.yaml"
echo "{\"hosts\":[{\"id\":1,\"zone\":\"a\",\"peer\":\"$net.2.1:7200\",\"fabric\":\"$net.2.1:7100\",\"operators\":\"$net.2.1:7300\",\"state\":\"live\"}]}" >"$work/list.json"
start platform bin/cactuspin-standin platform --listen "$net.0.1:7000"
start target bin/cactuspin-standin target --listen $net.3.1:5683 --listen $net.3.2:5683 --listen $net.3.3:5683 \
  --listen $net.3.4:5683 --service orders --slots 2000 --work 1ms --feed-period 10s --counts "$net.0.3:7400"
sleep 0.5
bin/cactuspin-standin list --platform "http://$net.0.1:7000" "$work/list.json"
start fabric bin/cactuspin-standin fabric --listen "$net.0.2:7001" --platform "http://$net.0.1:7000" --service "$net.1.1:5683"
start host bin/cactuspind --host-id 1 --zone a --organisation load --fabric-address "$net.2.1:7100" \
  --fabric "$net.0.2:7001" --peer-address "$net.2.1:7200" --admin-address "$net.2.1:7300" \
  --platform "http://$net.0.1:7000" --peer-secret-file "$work/secret" --seal-keys-file "$work/keys" \
  --signers-file "$work/signers" --log-format json --log-level "${LOG_LEVEL:-info}"
host=$!
sleep 1
bin/cactuspin bundle sign "$work/bundle.yaml" --name ana --key "$work/ana.key" --out "$work/signed" >/dev/null
bin/cactuspin bundle apply "$work/signed" --platform "http://$net.0.1:7000" >/dev/null
sleep 2
ticks() { awk '{print $14 + $15}' "/proc/$host/stat"; }
before=$(ticks)
# --new-flows makes each order open its own flow.
bin/cactuspin-standin call --orders "$net.1.1:5683" --diagrams "$net.1.1:5683" --order-service orders \
  --diagram-service orders --order-rate "$rate" --diagram-rate 0 --feeds "$feeds" --flows 2000 \
  --duration "${seconds}s" --counts "$net.0.3:7400" --new-flows | sed -n 2p
after=$(ticks)
echo "host: $(((after - before) / seconds)) % of a core, $(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$host/status") MB, $(wc -l <"$work/host.log") log lines"
