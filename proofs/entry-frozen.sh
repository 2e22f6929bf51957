#!/usr/bin/env bash
# An entry is paused with SIGSTOP for 10 s while its job is resubmitted to another entry. After it resumes, no task may have started
# twice, and both answers must agree.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
id=$(new_submission_id)
submit_job "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/first.json" &
submit_pid=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
send_signal entry-1 STOP
submit_job "$(entry_address 2)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/second.json" &
second_submit_pid=$!
sleep 10
send_signal entry-1 CONT
wait "$submit_pid" || true
wait "$second_submit_pid" || true
assert_equal "the answers agree" "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)" "$(answer_field "$CLUSTER_FOLDER/first.json" outcome)"
assert_at_most "starts of the job" 200 "$(start_count "$id")"
assert_no_duplicate_starts
other=$(new_submission_id)
submit_job "$(entry_address 1)" "$other" 24 "sleep:50" "$CLUSTER_FOLDER/other.json" || fail "a new job at the woken entry does not complete"
