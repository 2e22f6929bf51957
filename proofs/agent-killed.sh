#!/usr/bin/env bash
# An agent is killed while its tasks run. The job must fail with an exact or unknown number of started tasks, and resubmitting the same id
# must start nothing.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
id=$(new_submission_id)
submit_job "$(entry_address 1)" "$id" 24 "sleep:3000" "$CLUSTER_FOLDER/first.json" &
submit_pid=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-2.txt"
kill_process agent-2
start_agent 2
wait "$submit_pid" || true
assert_equal "outcome after the kill" failed "$(answer_field "$CLUSTER_FOLDER/first.json" outcome)"
started=$(start_count "$id")
submit_job "$(entry_address 2)" "$id" 24 "sleep:3000" "$CLUSTER_FOLDER/second.json" || true
assert_equal "outcome of the resubmission" failed "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
sleep 4
assert_equal "starts after the resubmission" "$started" "$(start_count "$id")"
assert_no_duplicate_starts
