#!/usr/bin/env bash
# Guards against settings that are accepted but not in effect on every process
# within 3 s, also on one that cannot reach the store, and against two operators
# who both win a race for one path.
#
#   tests/process/settings.sh BUILD_FOLDER
#
# Starts the platform's stand-ins and three entry processes on ports 19700 to
# 19712. Entry e2 is given a table address where nothing listens, so it learns
# the settings from the other processes only.
set -euo pipefail
build=$(cd "$1" && pwd)
source_dir=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
pids=()
table_pid=
table_port=19700
dead_table_port=19709
entry_port=19710
ctl=$build/packages/ctl/hickoryctl

fail() {
  echo "settings: $*" >&2
  tail -n 15 "$work"/*.log >&2
  exit 1
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2> /dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2> /dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

start() {  # name, command...
  local name=$1
  shift
  "$@" > "$work/$name.out" 2> "$work/$name.log" < /dev/null &
  pids+=("$!")
}

write_settings() {  # entry index, table port, hash of the administrator's key
  local e
  cat <<END
entry: e$1
chart_folder: $source_dir/charts
admin_key_hash: $3
platform:
  table_url: http://127.0.0.1:$2
  object_url: http://127.0.0.1:19701
  vm_list_url: http://127.0.0.1:19702
entries:
END
  for e in 0 1 2; do
    echo "  - {name: e$e, vm: entry-vm$e, failure_domain: domain$e, seat: 0, address: 127.0.0.1, port: $((entry_port + e))}"
  done
  cat <<END
services:
  - name: carnet
    team: bruit
    floors: {latency_critical: 0.5, batch: 0.25, watcher: 0.05}
    endpoints:
      - {name: x0, url: "http://127.0.0.1:19720", vm: endpoint-vm0, rack: rack0, failure_domain: domain0}
END
}

settings() {  # entry index, arguments of hickoryctl settings...
  local e=$1
  shift
  HICKORYUSHER_KEY=$admin_key "$ctl" --url "http://127.0.0.1:$((entry_port + e))" settings "$@"
}

millis() { date +%s%3N; }

expect_everywhere() {  # path, value, start in ms
  local e
  for e in 0 1 2; do
    until settings "$e" get "$1" 2> /dev/null | grep -qF "$1 = $2 "; do
      [ $(($(millis) - $3)) -lt 3000 ] || fail "e$e does not have $1 = $2 after 3 s"
      sleep 0.05
    done
  done
  echo "settings: $1 = $2 on e0, e1, e2 after $(($(millis) - $3)) ms"
}

expect_exit() {  # expected exit code, command...
  local expected=$1 code=0
  shift
  "$@" > "$work/command.out" 2> "$work/command.log" || code=$?
  [ "$code" -eq "$expected" ] || fail "exit code $code, expected $expected: $*"
}

secret=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
salt=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
hash=$(printf '%s:%s' "$salt" "$secret" | sha256sum | cut -d ' ' -f 1)
admin_key=admin.bootstrap.$secret

start table "$build/standins/platform/table_standin" --port $table_port
table_pid=${pids[0]}
start object "$build/standins/platform/object_standin" --port 19701
start vm_list "$build/standins/platform/vm_list_standin" --port 19702
for e in 0 1 2; do
  port=$table_port
  [ "$e" -ne 2 ] || port=$dead_table_port
  write_settings "$e" "$port" "sha256:$salt:$hash" > "$work/e$e.yaml"
  start "e$e" "$build/packages/entry/hickoryusher" --config "$work/e$e.yaml" --first-start
done
for e in 0 1 2; do
  for ((try = 0; ; try++)); do
    curl -sf -o /dev/null "http://127.0.0.1:$((entry_port + e))/healthz" && break
    [ "$try" -lt 100 ] || fail "e$e is not ready after 10 s"
    sleep 0.1
  done
done

# A key that is wrong by one digit is refused.
good_key=$admin_key
admin_key=${good_key%?}$([ "${good_key: -1}" = 0 ] && echo 1 || echo 0)
expect_exit 1 settings 0 get /
admin_key=$good_key

began=$(millis)
settings 0 set /capacity/cpu_millis 64000 > "$work/set.out" || fail "set was refused"
expect_everywhere /capacity/cpu_millis 64000 "$began"

expect_exit 0 settings 1 validate /capacity/cpu_millis 5
expect_exit 2 settings 1 validate /capacity/cpu_millis '"many"'
expect_exit 2 settings 1 set /capacity/cpu_millis 99999999999
grep -qF 'expected a value from 0 to' "$work/command.log" || fail "the mistake is not named"
echo '{"/capacity/cpu_millis": 65000}' > "$work/wanted.json"
settings 2 diff "$work/wanted.json" | grep -qF '/capacity/cpu_millis: 64000 -> 65000' || fail "wrong diff"

# The router of every process reports the policy that it uses from now on.
began=$(millis)
settings 1 set /teams/bruit/services/carnet/floors/batch 0.75 > "$work/set.out"
settings 1 set /teams/bruit/services/carnet/first_byte_timeout_ms 321 > "$work/set.out"
for e in 0 1 2; do
  until grep -qF 'event=service_policy level=info service=carnet floor_latency_critical=0 floor_batch=0.75 floor_watcher=0 first_byte_timeout_ms=321' "$work/e$e.log"; do
    [ $(($(millis) - began)) -lt 3000 ] || fail "e$e's router does not use the settings after 3 s"
    sleep 0.05
  done
done
echo "settings: service policy in use on e0, e1, e2 after $(($(millis) - began)) ms"

# Two operators change one path on the same base through two processes: one is
# accepted, the other learns the revision that it lost to.
settings 0 set /capacity/accelerators 1 --base 0 > "$work/a.out" 2> "$work/a.log" &
first=$!
settings 1 set /capacity/accelerators 2 --base 0 > "$work/b.out" 2> "$work/b.log" &
second=$!
codes=()
for pid in "$first" "$second"; do
  code=0
  wait "$pid" || code=$?
  codes+=("$code")
done
[ "$(printf '%s\n' "${codes[@]}" | sort | xargs)" = "0 4" ] || fail "race ended with exit codes ${codes[*]}"
began=$(millis)
winner=1
[ "${codes[0]}" -eq 0 ] || winner=2
expect_everywhere /capacity/accelerators $winner "$began"
settings 0 history /capacity | grep -c revision= | grep -qx 2 || fail "the history does not have 2 changes"

# Without the store every process keeps its settings, and a change is refused as
# not written.
kill -KILL "$table_pid"
wait "$table_pid" 2> /dev/null || true
pids=("${pids[@]:1}")
expect_exit 3 settings 0 set /capacity/cpu_millis 1 --base 1
for e in 0 1 2; do
  settings "$e" get /capacity/cpu_millis | grep -qF '= 64000 ' || fail "e$e lost a setting in a store outage"
done
echo "settings: ok"
