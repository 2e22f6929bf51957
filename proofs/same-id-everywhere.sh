#!/usr/bin/env bash
# The same submission is sent to all entries concurrently, in ten rounds. It must run once, and each caller must get the complete answer.
CLUSTER_ENTRIES=3
source "$(dirname "$0")/lib.sh"
start_ready_cluster
for round in 1 2 3 4 5 6 7 8 9 10; do
  id=$(new_submission_id)
  submit_pids=()
  for n in 1 2 3; do
    submit_job "$(entry_address "$n")" "$id" 12 "sleep:50;echo:{n}" "$CLUSTER_FOLDER/answer-$round-$n.json" &
    submit_pids+=($!)
  done
  for pid in "${submit_pids[@]}"; do wait "$pid" || fail "round $round: a caller got no complete answer"; done
  for n in 1 2 3; do
    assert_equal "round $round entry $n results" 12 "$(grep -c '"result":' "$CLUSTER_FOLDER/answer-$round-$n.json")"
  done
  assert_equal "round $round starts" 12 "$(start_count "$id")"
done
assert_no_duplicate_starts
