#!/usr/bin/env bash
# The same submission is sent at the same moment to all entries, ten times over: it runs once and each caller gets the whole answer.
CLUSTER_ENTRIES=3
source "$(dirname "$0")/lib.sh"
begin
for round in 1 2 3 4 5 6 7 8 9 10; do
  id=$(new_submission)
  waits=()
  for n in 1 2 3; do
    submit_to "$(entry_address "$n")" "$id" 12 "sleep:50;echo:{n}" "$CLUSTER_FOLDER/answer-$round-$n.json" &
    waits+=($!)
  done
  for pid in "${waits[@]}"; do wait "$pid" || fail "round $round: a caller got no complete answer"; done
  for n in 1 2 3; do
    equal "round $round entry $n results" 12 "$(grep -c '"result":' "$CLUSTER_FOLDER/answer-$round-$n.json")"
  done
  equal "round $round starts" 12 "$(starts_of "$id")"
done
none_twice
