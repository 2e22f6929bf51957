#!/usr/bin/env bash
# A zone is taken out of service under load while the leader is killed, and again while an agent of the zone is frozen for 10 s.
# No task starts there later than 3 s after the change was accepted; nothing starts twice; the jobs complete.
source "$(dirname "$0")/lib.sh"
begin
zone=${ZONES[1]}
id=$(new_submission)
submit_to "$(entry_address 1)" "$id" 800 "sleep:200" "$CLUSTER_FOLDER/first.json" &
job=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-2.txt"
leader=$(leader_number)
CTL_WORDS=3 ctl zone out "$zone" >"$CLUSTER_FOLDER/zone-out.txt" 2>&1 &
change=$!
sleep 0.5
kill_process "control-$leader"
wait "$change" || true
accepted=$(now_millis)
cat "$CLUSTER_FOLDER/zone-out.txt"
wait_for 10 has_leader
CTL_WORDS=2 ctl zone list | grep -q "^$zone .* out" || { CTL_WORDS=3 ctl zone out "$zone"; accepted=$(now_millis); }
start_control "$leader"
sleep 4
at_most "last start in $zone after acceptance (ms)" "$BOUND_MILLIS" $(($(last_start_in "$zone") - accepted))
wait "$job" || fail "the first job is not complete: $(cat "$CLUSTER_FOLDER/first.json")"
CTL_WORDS=3 ctl zone in "$zone"

id=$(new_submission)
submit_to "$(entry_address 2)" "$id" 800 "sleep:200" "$CLUSTER_FOLDER/second.json" &
job=$!
before=$(wc -l <"$CLUSTER_FOLDER/starts/target-2.txt")
more_starts() { [ "$(wc -l <"$CLUSTER_FOLDER/starts/target-2.txt")" -gt "$before" ]; }
wait_for 10 more_starts
signal agent-2 STOP
CTL_WORDS=3 ctl zone out "$zone"
accepted=$(now_millis)
sleep 10
signal agent-2 CONT
sleep 2
at_most "last start in $zone after acceptance, agent frozen (ms)" "$BOUND_MILLIS" $(($(last_start_in "$zone") - accepted))
CTL_WORDS=3 ctl zone in "$zone"
wait "$job" || true
echo "second job: $(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
none_twice
id=$(new_submission)
submit_to "$(entry_address 2)" "$id" 48 "sleep:100" "$CLUSTER_FOLDER/third.json" || fail "no complete job after the zone returned"
