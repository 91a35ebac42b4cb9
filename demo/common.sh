# shellcheck shell=bash
# Sourced by the demos. Creates the directory $work for logs and settings; the
# processes listed in pids are stopped when the sourcing script exits.
work=$(mktemp -d)
pids=()
end() {
  local status=$?
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs are in $work"
  else
    rm -rf "$work"
  fi
  exit "$status"
}
trap end EXIT
