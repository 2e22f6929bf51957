#!/usr/bin/env bash
# The disk of a control VM is lost. Under its old id it takes no part; a new member replaces it; then another VM is lost.
# Every accepted change is still there and a further one is accepted.
source "$(dirname "$0")/lib.sh"
begin
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
