#!/usr/bin/env bash
# Mutation test of the safeguards: removes one safeguard at a time in a copy of the
# source and runs a sample of the fault matrix and the scripts, at least one of which
# must fail. Prints one line for each safeguard.
set -euo pipefail
cd "$(dirname "$0")/.."
part=${PART:-12}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/src"
git ls-files -z | xargs -0 cp --parents -t "$copy/src"
cd "$copy/src"
missed=0
knock_out() { # NAME FILE PERL-EXPRESSION
  [[ "$1" =~ ${ONLY:-.} ]] || return 0
  cp "$2" "$copy/saved"
  perl -0pi -e "$3" "$2"
  if cmp -s "$2" "$copy/saved"; then
    echo "NOT APPLIED  $1"
    missed=$((missed + 1))
    return
  fi
  local cells stories
  go build -o "$copy/standin" ./cmd/cactuspin-standin
  cells=$("$copy/standin" matrix test/matrix.yaml --part "$part" --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml 2>/dev/null | tail -1) || true
  stories=$(go test ./internal/standin/tester -run TestScripts 2>/dev/null | grep -c -- '    --- FAIL') || true
  echo "$1: cells $cells; stories $stories failed"
  if [[ "$cells" == *" 0 failed" && "$stories" == 0 ]]; then missed=$((missed + 1)); fi
  cp "$copy/saved" "$2"
}
d=internal/admission/dispatcher
h=internal/host/engine
knock_out "records of requests" internal/admission/recorder/recorder.go 's/if e, ok := r.records\[key\]; ok \{/if e, ok := r.records[key]; ok \&\& false {/'
knock_out "only the authority says not run" $h/router.go 's/e.answer\(r, cactuspin.CodeGatewayTimeout, "may have run: its host is gone"/e.answer(r, cactuspin.CodeServiceUnavailable, "not run"/'
knock_out "no second try of what may have run" $d/connection.go 's/if j.request.Method.Idempotent\(\) \{\n\t\t\td.retry/if true {\n\t\t\td.retry/'
knock_out "handover at a planned stop" $h/stop_controller.go 's/h, ok := e.pickSuccessor\(\)/h, ok := cactuspin.HostID(0), false/'
knock_out "silent connections are found" $d/connection.go 's/now.Sub\(c.lastReceived\) >= unresponsiveAfter && c.lastPing > c.lastReceived/false/'
knock_out "pause before old news" $h/pause_controller.go 's/now.Sub\(last\) < pauseLimit/now.Sub(last) < pauseLimit || true/'
knock_out "a bundle never goes back" internal/configuration/adopter/adopter.go 's/return s.Version > a.Version\(\)/return true/'
knock_out "a new host hears the others first" $h/bundle_controller.go 's/e.adopter.Version\(\) > 0 \|\| e.startupDone\(now\)/true/'
knock_out "a leaving target gets nothing" internal/admission/limiter/target.go 's/t.leaving = r.Leaving/t.leaving = false/'
knock_out "a full host passes on" $d/delegate.go 's/if j.origin != 0 \|\| j.delegations/if true || j.origin != 0 || j.delegations/'
knock_out "observations live on" $d/mover.go 's/f.movingTo == h && now.Sub\(f.moveSent\) < moveTimeout/true/; s/h == f.replicaHost \{/true {/'
knock_out "message IDs lead back" internal/routing/placer/placer.go 's/if HostForMessageID\(flow, id, hosts\) == self/if id == start/'
echo "$missed safeguards were not missed"
[ "$missed" = 0 ]
