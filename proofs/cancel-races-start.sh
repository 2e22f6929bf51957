#!/usr/bin/env bash
# Jobs are cancelled at about the time they start. Each answer must agree with the starts that the targets recorded: `not_run` with none,
# now or later; `failed` with the exact number; `complete` with all.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
for round in 1 2 3 4 5 6 7 8; do
  id=$(new_submission_id)
  submit_job "$(entry_address 1)" "$id" 48 "sleep:300" "$CLUSTER_FOLDER/answer-$round.json" &
  submit_pid=$!
  sleep "0.$((round * 9 % 10))"
  "$CLUSTER_ROOT/bin/bluebellrampctl" cancel "$id" --entry "$(entry_address 1)" --json >"$CLUSTER_FOLDER/cancel-$round.json" 2>&1 || true
  wait "$submit_pid" || true
  sleep 0.5
  outcome=$(answer_field "$CLUSTER_FOLDER/answer-$round.json" outcome)
  starts=$(start_count "$id")
  case "$outcome" in
    not_run) assert_equal "round $round: starts of a job that did not run" 0 "$starts" ;;
    failed) assert_equal "round $round: starts of a cancelled job" "$(answer_field "$CLUSTER_FOLDER/answer-$round.json" startedTasks)" "$starts" ;;
    complete) assert_equal "round $round: starts of a complete job" 48 "$starts" ;;
    *) fail "round $round: no answer: $(cat "$CLUSTER_FOLDER/answer-$round.json.err")" ;;
  esac
done
assert_no_duplicate_starts
