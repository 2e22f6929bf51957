#!/usr/bin/env bash
# The leader is paused with SIGSTOP for at least 8 s while a change is accepted. After it resumes, no control may report an older revision.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
leader=$(leader_number)
revision_before=$(current_revision)
send_signal "control-$leader" STOP
# bluebellrampctl tries the paused leader first and must fall back to the other controls.
CONTROLS="$(control_address "$leader"),$CONTROLS"
CTL_WORDS=3 ctl target out target-3 || fail "no change was accepted while the leader was frozen"
revision_after=$(current_revision)
assert_equal "revision after the change" $((revision_before + 1)) "$revision_after"
sleep 8
send_signal "control-$leader" CONT
for round in 1 2 3 4 5; do
  for n in 1 2 3; do
    shown_revision=$("$CLUSTER_ROOT/bin/bluebellrampctl" status --control "$(control_address "$n")" | sed -n 's/^revision \([0-9]*\) .*/\1/p')
    assert_equal "round $round: revision at control-$n" "$revision_after" "$shown_revision"
  done
done
id=$(new_submission_id)
submit_job "$(entry_address 1)" "$id" 24 "sleep:50" "$CLUSTER_FOLDER/job.json" || fail "a job does not complete"
assert_equal "starts at the target that is out" 0 "$(grep -c "^$id " "$CLUSTER_FOLDER/starts/target-3.txt" 2>/dev/null || true)"
assert_no_duplicate_starts
