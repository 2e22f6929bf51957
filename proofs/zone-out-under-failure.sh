#!/usr/bin/env bash
# A zone is taken out of service under load while the leader is killed, and again while an agent of the zone is paused for 10 s.
# No task may start in the zone later than 3 s after the change was accepted, and none may start twice. The first job, and a job after the
# zone has returned, must complete.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
zone=${ZONES[1]}
id=$(new_submission_id)
submit_job "$(entry_address 1)" "$id" 800 "sleep:200" "$CLUSTER_FOLDER/first.json" &
submit_pid=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-2.txt"
leader=$(leader_number)
CTL_WORDS=3 ctl zone out "$zone" >"$CLUSTER_FOLDER/zone-out.txt" 2>&1 &
change_pid=$!
sleep 0.5
kill_process "control-$leader"
wait "$change_pid" || true
accepted_at_millis=$(now_millis)
cat "$CLUSTER_FOLDER/zone-out.txt"
wait_for 10 has_leader
CTL_WORDS=2 ctl zone list | grep -q "^$zone .* out" || { CTL_WORDS=3 ctl zone out "$zone"; accepted_at_millis=$(now_millis); }
start_control "$leader"
sleep 4
assert_at_most "last start in $zone after acceptance (ms)" "$IN_FORCE_BOUND_MILLIS" $(($(last_start_millis_in_zone "$zone") - accepted_at_millis))
wait "$submit_pid" || fail "the first job is not complete: $(cat "$CLUSTER_FOLDER/first.json")"
CTL_WORDS=3 ctl zone in "$zone"

id=$(new_submission_id)
submit_job "$(entry_address 2)" "$id" 800 "sleep:200" "$CLUSTER_FOLDER/second.json" &
submit_pid=$!
starts_before=$(wc -l <"$CLUSTER_FOLDER/starts/target-2.txt")
has_more_starts() { [ "$(wc -l <"$CLUSTER_FOLDER/starts/target-2.txt")" -gt "$starts_before" ]; }
wait_for 10 has_more_starts
send_signal agent-2 STOP
CTL_WORDS=3 ctl zone out "$zone"
accepted_at_millis=$(now_millis)
sleep 10
send_signal agent-2 CONT
sleep 2
assert_at_most "last start in $zone after acceptance, agent frozen (ms)" "$IN_FORCE_BOUND_MILLIS" $(($(last_start_millis_in_zone "$zone") - accepted_at_millis))
CTL_WORDS=3 ctl zone in "$zone"
wait "$submit_pid" || true
echo "second job: $(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
assert_no_duplicate_starts
id=$(new_submission_id)
submit_job "$(entry_address 2)" "$id" 48 "sleep:100" "$CLUSTER_FOLDER/third.json" || fail "no complete job after the zone returned"
