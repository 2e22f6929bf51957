#!/usr/bin/env bash
# An entry is killed in mid-job and the job is resubmitted elsewhere: it fails truthfully, and nothing starts twice.
source "$(dirname "$0")/lib.sh"
begin
id=$(new_submission)
submit_to "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/first.json" &
job=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
kill_process entry-1
kill "$job" 2>/dev/null || true
wait "$job" 2>/dev/null || true
submit_to "$(entry_address 2)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/second.json" || true
equal "outcome of the resubmission" failed "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)"
started=$(starts_of "$id")
[ "$started" -lt 200 ] || fail "the job had ended before the kill"
start_entry 1
wait_for 30 agents_ready "$CLUSTER_AGENTS"
submit_to "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/third.json" || true
equal "outcome at the restarted entry" failed "$(answer_field "$CLUSTER_FOLDER/third.json" outcome)"
at_most "starts of the job" 199 "$(starts_of "$id")"
none_twice
other=$(new_submission)
submit_to "$(entry_address 2)" "$other" 24 "sleep:50" "$CLUSTER_FOLDER/other.json" || fail "a new job does not complete"
