#!/usr/bin/env bash
# An agent is killed between start and answer: the job fails with a true count or unknown, and a resubmission of the same id starts nothing.
source "$(dirname "$0")/lib.sh"
begin
id=$(new_submission)
submit_to "$(entry_address 1)" "$id" 24 "sleep:3000" "$CLUSTER_FOLDER/first.json" &
job=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-2.txt"
kill_process agent-2
start_agent 2
wait "$job" || true
equal "outcome after the kill" failed "$(answer_field "$CLUSTER_FOLDER/first.json" outcome)"
started=$(starts_of "$id")
submit_to "$(entry_address 2)" "$id" 24 "sleep:3000" "$CLUSTER_FOLDER/second.json" || true
equal "outcome of the resubmission" failed "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
sleep 4
equal "starts after the resubmission" "$started" "$(starts_of "$id")"
none_twice
