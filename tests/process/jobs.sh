#!/usr/bin/env bash
# Jobs over HTTP with separate processes: two entries, four workers and the
# platform's stand-ins. One owner is killed, one worker dies and one stops
# answering. Guards against tasks that are lost, that run twice at a time or
# that are not started again.
#
#   tests/process/jobs.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."

build=${1:-build}
platform_port=19800
worker_port=19810
entry_port=19820
workers=4
state=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2> /dev/null || true; done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
}

fail() {
  echo "jobs: FAILED: $*" >&2
  for log in "$state"/e*.log; do
    echo "== $log" >&2
    tail -n 60 "$log" >&2
  done
  for ((i = 0; i < workers; i++)); do runs "$i" >&2 || true; done
  exit 1
}
trap 'stop_all; rm -rf "$state"' EXIT

start() {  # name, command...
  local name=$1
  shift
  "$@" > "$state/$name.out" 2> "$state/$name.log" < /dev/null &
  pids+=("$!")
  echo "$!" > "$state/$name.pid"
}

entry_url() { echo "http://127.0.0.1:$((entry_port + $1))"; }
worker_url() { echo "http://127.0.0.1:$((worker_port + $1))"; }

write_settings() {  # entry index
  local i
  cat <<END
entry: e$1
chart_folder: $PWD/charts
platform:
  table_url: http://127.0.0.1:$platform_port
  object_url: http://127.0.0.1:$((platform_port + 1))
  vm_list_url: http://127.0.0.1:$((platform_port + 2))
entries:
  - {name: e0, vm: entry-vm0, failure_domain: d0, seat: 0, address: 127.0.0.1, port: $entry_port}
  - {name: e1, vm: entry-vm1, failure_domain: d0, seat: 1, address: 127.0.0.1, port: $((entry_port + 1))}
services:
  - name: carnet
    floors: {latency_critical: 0.5}
    endpoints:
      - {name: x0, url: "http://127.0.0.1:19890", vm: endpoint-vm0, rack: rack0, failure_domain: d0}
workers:
END
  for ((i = 0; i < workers; i++)); do
    echo "  - {name: w$i, url: \"$(worker_url "$i")\", vm: worker-vm$i, rack: rack$((i / 2)), failure_domain: d0, cpu_millis: 4000, memory_bytes: 8000000000}"
  done
}

add_vm() {  # name
  curl -sf -o /dev/null "http://127.0.0.1:$((platform_port + 2))/v1/vms" \
    -d "{\"name\":\"$1\",\"address\":\"127.0.0.1\",\"failure_domain\":\"d0\",\"state\":\"live\"}"
}

within() {  # seconds, description, command...
  local until=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$until" ] || fail "$what"
    sleep 0.2
  done
}

submit() {  # entry, id, kind, run_ms, tasks, cpu_millis, urgent; prints the status
  curl -s -m 5 -o "$state/answer" -w '%{http_code}' "$(entry_url "$1")/v1/jobs" -d \
    "{\"id\":\"$2\",\"kind\":\"$3\",\"team\":\"t\",\"cpu_millis\":$6,\"memory_bytes\":1000000,\"expected_run_ms\":$4,\"tasks\":$5,\"urgent\":${7:-false}}"
}

expect() {  # description, expected, found
  [ "$2" = "$3" ] || fail "$1: expected $2, found $3 $(cat "$state/answer")"
}

job_state() {  # entry, id
  curl -s -m 5 "$(entry_url "$1")/v1/jobs/$2" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

job_is() { [ "$(job_state "$1" "$2")" = "$3" ]; }

# One line per run: worker task attempt started ended end resumed.
runs() {  # worker
  curl -sf -m 5 "$(worker_url "$1")/runs" | grep -o '{[^{}]*}' |
    sed 's/.*"attempt":\([0-9]*\).*"end":"\([a-z]*\)","ended_ms":\([0-9]*\).*"resumed_ms":\([0-9]*\),"started_ms":\([0-9]*\),"task":\([0-9]*\).*/w'"$1"' \6 \1 \5 \3 \2 \4/' || true
}

all_runs() {
  local i
  for ((i = 0; i < workers; i++)); do runs "$i"; done
}

running_worker() {  # task; prints the worker that runs it
  all_runs | awk -v task="$1" '$2 == task && $5 == 0 {print $1}'
}

set_mode() {  # worker name, mode
  curl -sf -o /dev/null "$(worker_url "${1#w}")/behaviour" -d "{\"mode\":\"$2\"}"
}

owns() { grep -q event=slice_loaded "$state/e$1.log"; }
owner_of_last_term() { if owns 0; then echo 0; else echo 1; fi; }
is_up() { [ -n "$(running_worker "$1")" ]; }
# Task i of a job has the number of the job x 65536 + i.
first_task() {  # entry, job
  local number
  number=$(curl -sf -m 5 "$(entry_url "$1")/v1/jobs/$2" | sed -n 's/.*"number":\([0-9]*\).*/\1/p')
  echo $((number * 65536))
}
has_running() { [ "$(all_runs | awk '$5 == 0' | wc -l)" -ge "$1" ]; }
starts_of() { all_runs | awk -v task="$1" '$2 == task' | wc -l; }
is_up_elsewhere() { all_runs | awk -v t="$1" -v w="$2" '$2 == t && $5 == 0 && $1 != w {f = 1} END {exit !f}'; }
ready() { curl -sf -o /dev/null "$(entry_url "$1")/healthz"; }

# Reads lines of all_runs. Every task of the batch jobs ended as done exactly
# once, and the runs of one task do not overlap. Times are of one machine's wall
# clock.
check_runs() {  # number of tasks
  sort -k2,2n -k4,4n | awk -v want="$1" '
    $2 == last && ($4 < ended || ended == 0) {print "task " $2 " ran twice at a time"; bad = 1}
    {last = $2; ended = $5}
    $6 == "done" {if (++done[$2] > 1) {print "task " $2 " was done twice"; bad = 1}}
    END {
      for (task in done) n++
      if (n != want) {print "done tasks: expected " want ", found " n; bad = 1}
      exit bad
    }'
}

# The check can fail: an overlap, a task done twice, a task not done.
expect_bad() { if check_runs "$1" > /dev/null; then fail "check_runs missed: $2"; fi; }
printf '%s\n' 'w0 5 1 100 300 killed' 'w1 5 2 200 400 done' | expect_bad 1 "overlap"
printf '%s\n' 'w0 5 1 100 200 done' 'w1 5 2 300 400 done' | expect_bad 1 "done twice"
printf '%s\n' 'w0 5 1 100 0 ' 'w1 5 2 300 400 done' | expect_bad 1 "still running"
printf '%s\n' 'w0 5 1 100 200 killed' | expect_bad 1 "not done"

start table "$build/standins/platform/table_standin" --port "$platform_port"
start object "$build/standins/platform/object_standin" --port $((platform_port + 1))
start vm_list "$build/standins/platform/vm_list_standin" --port $((platform_port + 2))
start workers "$build/standins/worker/worker_standin" --port "$worker_port" --count "$workers" \
  --per-rack 2 --failure-domain d0 --cpu-millis 4000 --memory-bytes 8000000000 --object-url "http://127.0.0.1:$((platform_port + 1))"
within 10 "the VM list is up" add_vm entry-vm0
add_vm entry-vm1
for ((i = 0; i < workers; i++)); do add_vm "worker-vm$i"; done
for e in 0 1; do
  write_settings "$e" > "$state/e$e.yaml"
  start "e$e" "$build/packages/entry/hickoryusher" --config "$state/e$e.yaml" --first-start
done
within 15 "entry e0 is ready" ready 0
within 15 "entry e1 is ready" ready 1

# A batch job runs; submitting it again does not run it again.
expect "submit" 201 "$(submit 0 first batch 1000 4 1000)"
expect "submit again" 200 "$(submit 1 first batch 1000 4 1000)"
expect "other job with the same id" 409 "$(submit 1 first batch 1000 5 1000)"
expect "zero tasks" 400 "$(submit 1 bad batch 1000 0 1000)"
expect "too large for every worker" 422 "$(submit 1 huge batch 1000 1 4001)"
within 30 "job first is done" job_is 1 first done

# Which entry owns the slice; it is the only one so far.
owner=$(owner_of_last_term)
survivor=$((1 - owner))

# The owner dies while a watcher and a batch job run. Both go on running, and
# the other entry takes over and finishes what was still waiting.
expect "submit watcher" 201 "$(submit "$survivor" watch watcher 0 1 1000)"
expect "submit second" 201 "$(submit "$survivor" second batch 3000 20 1000)"
watch_task=$(first_task "$survivor" watch)
within 10 "the watcher is up" is_up "$watch_task"
within 10 "job second has started" has_running 8
kill -KILL "$(cat "$state/e$owner.pid")"
wait "$(cat "$state/e$owner.pid")" 2> /dev/null || true
killed_at=$SECONDS
within 20 "e$survivor owns the slice" owns "$survivor"
echo "jobs: slice taken over after $((SECONDS - killed_at)) s"
within 60 "job second is done" job_is "$survivor" second done
[ "$(starts_of "$watch_task")" -eq 1 ] || fail "the watcher was restarted when its owner died"

# The watcher's worker dies; a second worker keeps running but does not answer,
# so that its tasks may start elsewhere only after its lease.
expect "submit third" 201 "$(submit "$survivor" third batch 15000 8 1000)"
within 10 "job third has started" has_running 9
dead=$(running_worker "$watch_task")
silent=$(all_runs | awk -v dead="$dead" '$5 == 0 && $1 != dead {print $1}' | sort | tail -n 1)
[ -n "$silent" ] || fail "no second worker runs a task"
set_mode "$dead" dead
set_mode "$silent" silent
died_at=$SECONDS
within 30 "the watcher is up again" is_up_elsewhere "$watch_task" "$dead"
echo "jobs: watcher up again after $((SECONDS - died_at)) s"
within 90 "job third is done" job_is "$survivor" third done

# Urgent work evicts batch work, which resumes from its checkpoint. The two
# workers that still answer have room for eight tasks.
expect "submit fourth" 201 "$(submit "$survivor" fourth batch 9000 8 1000)"
fourth=$(first_task "$survivor" fourth)
within 20 "job fourth runs" has_running 8
sleep 2
expect "submit urgent" 201 "$(submit "$survivor" urgent batch 1000 1 2000 true)"
within 15 "the urgent job is done" job_is "$survivor" urgent done
within 60 "job fourth is done" job_is "$survivor" fourth done
resumed=$(all_runs | awk -v first="$fourth" '$2 >= first && $2 < first + 8 && $7 > 0 && $6 == "done"' | wc -l)
[ "$resumed" -ge 1 ] || fail "no task of job fourth resumed from a checkpoint"
echo "jobs: tasks resumed from a checkpoint: $resumed"

# A job of a cancelled watcher ends.
expect "cancel" 202 "$(curl -s -o "$state/answer" -w '%{http_code}' -X DELETE "$(entry_url "$survivor")/v1/jobs/watch")"
within 20 "the watcher is cancelled" job_is "$survivor" watch cancelled
expect "unknown job" 404 "$(curl -s -o "$state/answer" -w '%{http_code}' "$(entry_url "$survivor")/v1/jobs/none")"

all_runs | check_runs 41 || fail "the workers' records are wrong"
echo "jobs: ok after $SECONDS s; runs=$(all_runs | wc -l) restarted=$(all_runs | awk '$3 > 1' | wc -l)"
