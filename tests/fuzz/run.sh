#!/usr/bin/env bash
# Runs a fuzz target on its corpus, always with the same inputs.
# Usage: tests/fuzz/run.sh BUILD_FOLDER TARGET
# An input that fails is written to BUILD_FOLDER/fuzz/TARGET-crash-*.
set -euo pipefail
target=$2
folder=$(cd "$1" && pwd)/fuzz
corpus=$(cd "$(dirname "$0")" && pwd)/corpus/$target

# libFuzzer adds the inputs that it finds to the first folder.
found=$folder/$target.found
rm -rf "$found"
mkdir -p "$found"

# Freed memory that the sanitizer keeps counts as resident: 256 MB by default.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=16
exec "$folder/$target" -runs=20000 -seed=1 -rss_limit_mb=512 -max_len=4096 -len_control=0 \
  -timeout=20 -print_final_stats=1 -verbosity=0 -artifact_prefix="$folder/$target-" \
  "$found" "$corpus"
