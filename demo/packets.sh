#!/usr/bin/env bash
# Runs the packet path on loopback addresses: six hosts in three zones, each in its
# own process, with emulated store, routers, targets and callers. During the run a
# host is replaced in a planned way, a target drains and the configuration changes.
# The last line is one JSON object. Exits with 0 if every guarantee held.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/common.sh
source demo/common.sh
start_host() { # NUMBER
  bin/cactuspin-entry --settings "$work/host-$1.yaml" >>"$work/host-$1.log" 2>&1 &
  pids+=($!)
  last=$!
}
bin/cactuspin-standin packets "$work" >"$work/report" 2>"$work/error" &
site=$!
pids+=("$site")
for _ in $(seq 100); do
  [ -s "$work/host-6.yaml" ] && break
  sleep 0.05
done
for i in 1 2 3 4 5 6; do start_host "$i"; done
sleep 5
echo "host 6 is replaced by plan"
kill -TERM "$last"
wait "$last" || true
start_host 6
wait "$site" && status=0 || status=$?
cat "$work/error"
if grep -h 'level=ERROR' "$work"/host-*.log; then status=1; fi
cat "$work/report"
exit "$status"
