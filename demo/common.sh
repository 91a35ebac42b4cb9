# shellcheck shell=bash
# A folder for logs and settings in $work, and processes in pids that end with the
# script that sources this.
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
