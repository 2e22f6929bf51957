#!/usr/bin/env bash
# A control VM loses its disk. Restarted under its old id it takes no part; a new member replaces it; then a second VM is lost.
# Every accepted change must still be present, and a further change must be accepted.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
lost=$(($(leader_number) % 3 + 1))
CTL_WORDS=3 ctl target out target-1
kill_process "control-$lost"
rm -rf "$CLUSTER_FOLDER/data/control-$lost"
CTL_WORDS=3 ctl target out target-2
start_control "$lost"
sleep 3
echo "the wiped member says: $("$CLUSTER_ROOT/bin/bluebellrampctl" status --control "$(control_address "$lost")" 2>&1 | head -1)"
[ -n "${CLUSTER_PIDS[control-$lost]:-}" ] && kill_process "control-$lost"
start_control 4 control-4 true
CTL_WORDS=3 ctl control replace "control-$lost" --by control-4 --address "$(control_address 4)" || fail "the replacement was refused"
CONTROLS="$CONTROLS,$(control_address 4)"
leader=$(leader_number)
for n in 1 2 3; do [ "$n" != "$lost" ] && [ "$n" != "$leader" ] && second=$n; done
kill_process "control-$second"
wait_for 10 has_leader
CTL_WORDS=2 ctl target list | tr '\n' ' ' | grep -q "target-1 target-2" || fail "an accepted change is lost: $(CTL_WORDS=2 ctl target list)"
CTL_WORDS=3 ctl target in target-1 || fail "no change is accepted with the two that remain"
echo "targets out: $(CTL_WORDS=2 ctl target list | tr '\n' ' ')"
