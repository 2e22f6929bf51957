#!/usr/bin/env bash
# An entry is frozen for 10 s and its job is resubmitted meanwhile. After it wakes nothing has started twice and both answers agree.
source "$(dirname "$0")/lib.sh"
begin
id=$(new_submission)
submit_to "$(entry_address 1)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/first.json" &
job=$!
wait_for 10 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
signal entry-1 STOP
submit_to "$(entry_address 2)" "$id" 200 "sleep:400" "$CLUSTER_FOLDER/second.json" &
second=$!
sleep 10
signal entry-1 CONT
wait "$job" || true
wait "$second" || true
equal "the answers agree" "$(answer_field "$CLUSTER_FOLDER/second.json" outcome)" "$(answer_field "$CLUSTER_FOLDER/first.json" outcome)"
at_most "starts of the job" 200 "$(starts_of "$id")"
none_twice
other=$(new_submission)
submit_to "$(entry_address 1)" "$other" 24 "sleep:50" "$CLUSTER_FOLDER/other.json" || fail "a new job at the woken entry does not complete"
