#!/usr/bin/env bash
# Requests through separate processes under faults of endpoints, store, VMs and
# entry processes.
source tests/process/support.sh "$1" 19400
scripts/demo up > /dev/null

echo "== endpoint faults"
all="0 1 2 3 4 5 6 7"
behaviour die_mid_answer 0 $all
check "half an answer is never passed off as whole" "unknown truncated 504" "$(send 0 half no "")"
check "and its request ran once" 1 "$(runs_of half)"
behaviour close_after_read 0 $all
check "a connection closed after reading is unknown" "unknown *" "$(send 0 closed no "")"
check "and its request was not sent again" 1 "$(runs_of closed)"
behaviour hang 0 $all
check "a hanging endpoint is unknown at the deadline" "unknown *" "$(send 0 hang no "" 500)"
behaviour not_run 0 $all
check "a refusal by every endpoint is not run" "not_run *" "$(send 0 refused no "")"
check "and nothing ran" 0 "$(runs_of refused)"
behaviour normal 0 $all
sleep 2
check "the service is back" "answered - 200" "$(send 0 back no "")"

echo "== store faults"
held=$(ticket 1)
faults 0 '{"outage":true}'
check "a ticket is served in a store outage" "answered - 200" "$(send 0 outage-ticket no "$held")"
check "a request without a key is served in a store outage" "answered - 200" "$(send 0 outage-plain no "")"
check "a caller's key is unknown in a store outage" "unknown key_unresolved 504" "$(send 0 outage-key no k1)"
faults 0 '{"outage":false,"lost_answers":1}'
check "a lost answer of the store is resolved" "answered - 200" "$(send 0 lost-key no k2)"
check "the same key through another entry gets the same answer" "answered - 200" "$(send 1 lost-key no k2)"
check "and ran once" 1 "$(runs_of lost-key)"
check "the key of the outage can be used again" "answered - 200" "$(send 2 outage-key no k1)"

echo "== frozen entry process"
frozen=$(ticket 1)
kill -STOP "$(pid_of e1)"
check "a ticket of a frozen issuer is unknown" "unknown *" "$(send 0 frozen no "$frozen" 3000)"
kill -CONT "$(pid_of e1)"
sleep 1
send 0 frozen no "$frozen" > /dev/null
check "and ran at most once after it woke" "[01]" "$(runs_of frozen)"

echo "== leaving VM"
curl -sf -o /dev/null "http://127.0.0.1:$((DEMO_PLATFORM_PORT + 2))/v1/vms" \
  -d '{"name":"endpoint-vm0","address":"127.0.0.1","failure_domain":"tpe-a","state":"leaving"}'
sleep 3
curl -sf -o /dev/null -X DELETE "$(control_url 0)/runs"
for i in $(seq 1 40); do send 0 "leaving-$i" yes "" > /dev/null; done
check "a leaving VM gets no request after 3 s" "event=stats runs=0 *" "$(curl -s "$(control_url 0)/stats")"
check "while its failure domain goes on serving" "answered *" "$(send 0 others yes "")"

echo "== graceful stop"
behaviour normal 800 $all
for i in $(seq 1 6); do send 0 "drain-$i" no "" > "$DEMO_STATE/drain-$i" & done
sleep 0.4
kill -TERM "$(pid_of e0)"
sleep 0.1
check "the health check fails at once" "503*" "$(curl -s -o /dev/null -w '%{http_code}' "$(entry_url 0)/healthz")"
wait $(jobs -p | tail -n 6) || true
check "no request in progress was cut off" "6" "$(cat "$DEMO_STATE"/drain-* | grep -c '^answered')"
finish
