#!/usr/bin/env bash
# An entry is killed while a job runs, and the job is resubmitted to another entry. The job must be reported as failed, and no task may
# start twice.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
id=$(new_submission_id)
submit_job "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/first.json" &
submit_pid=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
kill_process entry-1
kill "$submit_pid" 2>/dev/null || true
wait "$submit_pid" 2>/dev/null || true
submit_job "$(entry_address 2)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/second.json" || true
assert_equal "outcome of the resubmission" failed "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
started=$(start_count "$id")
[ "$started" -lt 200 ] || fail "the job had ended before the kill"
start_entry 1
wait_for 30 agents_ready "$CLUSTER_AGENTS"
submit_job "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/third.json" || true
assert_equal "outcome at the restarted entry" failed "$(answer_field "$CLUSTER_FOLDER/third.json" outcome)"
assert_at_most "starts of the job" 199 "$(start_count "$id")"
assert_no_duplicate_starts
other=$(new_submission_id)
submit_job "$(entry_address 2)" "$other" 24 "sleep:50" "$CLUSTER_FOLDER/other.json" || fail "a new job does not complete"
