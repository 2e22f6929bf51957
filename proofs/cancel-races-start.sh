#!/usr/bin/env bash
# Jobs are cancelled about when they start. Each answer agrees with what the targets recorded: `not_run` with no start, now or later;
# `failed` with the true number of starts; `complete` with all.
source "$(dirname "$0")/lib.sh"
begin
for round in 1 2 3 4 5 6 7 8; do
  id=$(new_submission)
  submit_to "$(entry_address 1)" "$id" 48 "sleep:300" "$CLUSTER_FOLDER/answer-$round.json" &
  job=$!
  sleep "0.$((round * 9 % 10))"
  "$CLUSTER_ROOT/bin/bluebellrampctl" cancel "$id" --entry "$(entry_address 1)" --json >"$CLUSTER_FOLDER/cancel-$round.json" 2>&1 || true
  wait "$job" || true
  sleep 0.5
  outcome=$(answer_field "$CLUSTER_FOLDER/answer-$round.json" outcome)
  starts=$(starts_of "$id")
  case "$outcome" in
    not_run) equal "round $round: starts of a job that did not run" 0 "$starts" ;;
    failed) equal "round $round: starts of a cancelled job" "$(answer_field "$CLUSTER_FOLDER/answer-$round.json" startedTasks)" "$starts" ;;
    complete) equal "round $round: starts of a complete job" 48 "$starts" ;;
    *) fail "round $round: no answer: $(cat "$CLUSTER_FOLDER/answer-$round.json.err")" ;;
  esac
done
none_twice
