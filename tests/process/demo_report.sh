#!/usr/bin/env bash
# Guards against a demo that reports success although a request was lost or ran
# twice.
set -euo pipefail
DEMO_STATE=$(mktemp -d)
export DEMO_STATE DEMO_REQUESTS=6
trap 'rm -rf "$DEMO_STATE"' EXIT

expect() {  # line
  local line
  line=$(scripts/demo report || true)
  [ "$line" = "$1" ] || { echo "FAILED: expected '$1', found '$line'"; exit 1; }
}

printf 'demo-%s answered\n' 1 2 3 4 5 6 > "$DEMO_STATE/outcomes"
printf 'event=run key=demo-%s runs=1\n' 1 2 3 4 5 6 > "$DEMO_STATE/runs"
expect "demo: requests=6 answered=6 lost=0 doubled=0"
echo 'event=run key=demo-3 runs=1' >> "$DEMO_STATE/runs"
expect "demo: requests=6 answered=6 lost=0 doubled=1"
# A request that may be repeated may run twice.
echo 'event=run key=demo-4 runs=1' >> "$DEMO_STATE/runs"
expect "demo: requests=6 answered=6 lost=0 doubled=1"
sed -i 's/demo-2 answered/demo-2 unknown/' "$DEMO_STATE/outcomes"
expect "demo: requests=6 answered=5 lost=0 doubled=1"
sed -i '/demo-2 /d' "$DEMO_STATE/runs"
expect "demo: requests=6 answered=5 lost=1 doubled=1"
