# Sourced by the process tests: a small deployment by scripts/demo, callers and
# checks. Usage: source support.sh BUILD_FOLDER FIRST_PORT
set -euo pipefail

export DEMO_BUILD=$1 DEMO_STATE DEMO_DOMAINS="tpe-a tpe-b"
export DEMO_ENTRIES_PER_DOMAIN=2 DEMO_ENDPOINTS_PER_DOMAIN=4
export DEMO_PLATFORM_PORT=$2 DEMO_ENTRY_PORT=$(($2 + 10)) DEMO_ENDPOINT_PORT=$(($2 + 20))
DEMO_STATE=$(mktemp -d)
failures=0

stop_all() {
  scripts/demo down > /dev/null 2>&1 || true
  rm -rf "$DEMO_STATE"
}
trap stop_all EXIT

entry_url() { echo "http://127.0.0.1:$((DEMO_ENTRY_PORT + $1))"; }
control_url() { echo "http://127.0.0.1:$((DEMO_ENDPOINT_PORT + 2 * $1 + 1))"; }
pid_of() { sed -n "s/^\([0-9]*\) $1\$/\1/p" "$DEMO_STATE/pids"; }

faults() {  # service offset from the platform's first port, JSON
  curl -sf -o /dev/null "http://127.0.0.1:$((DEMO_PLATFORM_PORT + $1))/faults" -d "$2"
}

behaviour() {  # mode, delay in ms, endpoints...
  local mode=$1 delay=$2 i
  shift 2
  for i in "$@"; do
    curl -sf -o /dev/null -X PUT "$(control_url "$i")/behaviour?mode=$mode&delay_ms=$delay"
  done
}

# Sends one request. Prints `outcome reason status`, `broken` for a connection
# that ended without a complete response.
send() {  # entry, run name, repeatable, key, deadline in ms
  local headers
  if ! headers=$(curl -s -m 30 -o /dev/null -D - "$(entry_url "$1")/v1/services/carnet/requests" \
    -H 'Hickoryusher-Class: batch' -H "Hickoryusher-Deadline-Ms: ${5:-5000}" \
    -H "Hickoryusher-Repeatable: $3" -H "Run-Name: $2" \
    ${4:+-H "Hickoryusher-Request-Key: $4"} -d "body of $2"); then
    echo broken
    return
  fi
  awk '{sub(/\r$/, "")} NR == 1 {s = $2} tolower($1) == "hickoryusher-outcome:" {o = $2}
    tolower($1) == "hickoryusher-reason:" {r = $2} END {print o, (r ? r : "-"), s}' <<< "$headers"
}

ticket() { curl -sf -X POST "$(entry_url "$1")/v1/tickets"; }

runs_of() {  # run name
  local i
  for i in 0 1 2 3 4 5 6 7; do
    curl -s "$(control_url "$i")/runs"
  done | awk -v name="key=$1" '$2 == name {split($3, r, "="); n += r[2]} END {print n+0}'
}

check() {  # what, expected pattern, found
  # shellcheck disable=SC2053
  if [[ $3 == $2 ]]; then
    echo "ok: $1"
  else
    echo "FAILED: $1: expected '$2', found '$3'"
    failures=$((failures + 1))
  fi
}

finish() {
  if [ "$failures" -gt 0 ]; then
    tail -n 5 "$DEMO_STATE"/e*.log
    exit 1
  fi
}
