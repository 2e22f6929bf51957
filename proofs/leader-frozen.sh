#!/usr/bin/env bash
# The leader is frozen for 10 s; a change is accepted meanwhile. After it wakes no process shows an older revision.
source "$(dirname "$0")/lib.sh"
begin
leader=$(leader_number)
before=$(revision)
signal "control-$leader" STOP
# The command line asks the frozen leader first and must go on to the others by itself.
CONTROLS="$(control_address "$leader"),$CONTROLS"
CTL_WORDS=3 ctl target out target-3 || fail "no change was accepted while the leader was frozen"
after=$(revision)
equal "revision after the change" $((before + 1)) "$after"
sleep 8
signal "control-$leader" CONT
for round in 1 2 3 4 5; do
  for n in 1 2 3; do
    seen=$("$CLUSTER_ROOT/bin/bluebellrampctl" status --control "$(control_address "$n")" | sed -n 's/^revision \([0-9]*\) .*/\1/p')
    equal "round $round: revision at control-$n" "$after" "$seen"
  done
done
id=$(new_submission)
submit_to "$(entry_address 1)" "$id" 24 "sleep:50" "$CLUSTER_FOLDER/job.json" || fail "a job does not complete"
equal "starts at the target that is out" 0 "$(grep -c "^$id " "$CLUSTER_FOLDER/starts/target-3.txt" 2>/dev/null || true)"
none_twice
