#!/usr/bin/env bash
# Runs the whole system on loopback addresses: platform, fabric, targets, hosts
# and callers, each in its own process. Under traffic it replaces a host in a
# planned way and applies a second bundle, which drains a target. Exits with 0 if
# every guarantee held.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=/dev/null
source "demo/${1:-lima}.env"
bin=bin
# shellcheck source=demo/common.sh
source demo/common.sh
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
platform="http://$NET.0.1:7000"
read -ra zones <<<"$ZONES"
zone_of() { echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"; }

write_list() { # HOST...
  local first=1 i state
  {
    echo '{"hosts":['
    for i in "$@"; do
      [ $first = 1 ] || echo ,
      first=0
      state=live
      [ "$i" != "${leaving:-}" ] || state=leaving
      echo "{\"id\":$i,\"zone\":\"$(zone_of "$i")\",\"peer\":\"$NET.2.$i:7200\",\"fabric\":\"$NET.2.$i:7100\",\"operators\":\"$NET.2.$i:7300\",\"state\":\"$state\"}"
    done
    echo ']}'
  } >"$work/list.json"
  $bin/cactuspin-standin list --platform "$platform" "$work/list.json"
}
start_host() { # ID
  start "host-$1" $bin/cactuspind --host-id "$1" --zone "$(zone_of "$1")" --organisation "$ORGANISATION" \
    --fabric-address "$NET.2.$1:7100" --fabric "$NET.0.2:7001" --peer-address "$NET.2.$1:7200" \
    --admin-address "$NET.2.$1:7300" --platform "$platform" --peer-secret-file "$work/secret" \
    --seal-keys-file "$work/keys" --signers-file "$work/signers" --log-format json
}
wait_for() { # ADDRESS PORT
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null && return 0
    sleep 0.05
  done
  echo "nothing listens on $1:$2" >&2
  return 1
}

head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret"
echo "1 $(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$work/keys"
$bin/cactuspin key ana --out "$work/ana.key" >"$work/signers"

start platform $bin/cactuspin-standin platform --listen "$NET.0.1:7000"
wait_for "$NET.0.1" 7000
listens=()
for i in $(seq 14); do listens+=(--listen "$NET.3.$i:5683"); done
start orders $bin/cactuspin-standin target "${listens[@]}" --service "$ORDERS" --counts "$NET.0.3:7400"
listens=()
for i in $(seq 4); do listens+=(--listen "$NET.4.$i:5683"); done
start diagrams $bin/cactuspin-standin target "${listens[@]}" --service "$DIAGRAMS" --counts "$NET.0.4:7400"
write_list $(seq "$HOSTS")
for i in $(seq "$HOSTS"); do start_host "$i"; done
for i in $(seq "$HOSTS"); do wait_for "$NET.2.$i" 7300; done
start fabric $bin/cactuspin-standin fabric --listen "$NET.0.2:7001" --platform "$platform" \
  --service "$NET.1.1:5683" --service "$NET.1.2:5683" --delay "$DELAY" --jitter 2ms --loss 0.005 --double 0.005

echo "== an operator signs and applies the first bundle"
for v in 1 2; do
  $bin/cactuspin bundle check "examples/$NAME-$v.yaml"
  $bin/cactuspin bundle sign "examples/$NAME-$v.yaml" --name ana --key "$work/ana.key" --out "$work/bundle-$v"
done
$bin/cactuspin bundle apply "$work/bundle-1" --platform "$platform"
sleep 2 # wait for the targets' ramp-up

echo "== callers order, fetch diagrams and keep feeds"
$bin/cactuspin-standin call --orders "$NET.1.1:5683" --diagrams "$NET.1.2:5683" \
  --order-service "$ORDERS" --diagram-service "$DIAGRAMS" --counts "$NET.0.3:7400" --counts "$NET.0.4:7400" \
  --order-rate 200 --diagram-rate 40 --feeds 1400 --flows 40 --duration 20s >"$work/report" 2>&1 &
call=$!
pids+=("$call")
sleep 4
new=$((HOSTS + ${#zones[@]} - HOSTS % ${#zones[@]} + 1))
[ "$(zone_of $new)" = "$(zone_of 1)" ]
echo "== host $new replaces host 1 by plan"
start_host $new
write_list $(seq "$HOSTS") $new
sleep 1
leaving=1
write_list $(seq "$HOSTS") $new
first=${pids[3]}
kill -TERM "$first"
wait "$first"
write_list $(seq 2 "$HOSTS") $new
grep -o '"msg":"stop: [^"]*"' "$work/host-1.log" | sort -u
sleep 2
echo "== the second bundle drains a target"
$bin/cactuspin bundle apply "$work/bundle-2" --platform "$platform"
status=0
wait "$call" || status=$?
cat "$work/report"
exit "$status"
