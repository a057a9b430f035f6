#!/usr/bin/env bash
# Guards against proofs that name a test which no longer exists: each promise of
# tests/matrix/faults.yaml must name one test or more that ctest knows.
# Usage: proof_names.sh BUILD_FOLDER
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)

# ctest names a case "package:case" and the page "package: case".
known=$(ctest --test-dir "$1" -N | sed -n 's/^ *Test *#[0-9]*: //p' | sed 's/: */: /')
promises=$(sed -n '/^tests:/,/^$/p' "$root/tests/matrix/faults.yaml" | grep -E '^  P[0-9]+:')
failed=0
while IFS= read -r line; do
  promise=${line%%:*}
  names=$(grep -oE '"[^"]+"' <<< "$line" | tr -d '"' || true)
  [ -n "$names" ] || { echo "$promise names no test"; failed=1; }
  while IFS= read -r name; do
    grep -qxF "$name" <<< "$known" || { echo "$promise names a missing test: $name"; failed=1; }
  done <<< "$names"
done <<< "$promises"
[ "$(wc -l <<< "$promises")" -eq 9 ] || { echo "expected 9 promises"; failed=1; }
exit "$failed"
