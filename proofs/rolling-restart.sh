#!/usr/bin/env bash
# Entries, agents and controls are restarted one after the other under load by SIGTERM: each exits with 0 and no call is cut.
source "$(dirname "$0")/lib.sh"
begin
cp /dev/null "$CLUSTER_FOLDER/calls.txt"
caller() { # NUMBER ENTRY: submits jobs until the file stop exists; a refusal as not run is submitted again under a new id
  local id round=0
  while [ ! -e "$CLUSTER_FOLDER/stop" ]; do
    round=$((round + 1))
    id=$(new_submission)
    if submit_to "$2" "$id" 12 "sleep:150;echo:{n}" "$CLUSTER_FOLDER/call-$1-$round.json"; then
      echo "complete $1-$round" >>"$CLUSTER_FOLDER/calls.txt"
    else
      echo "other $1-$round" >>"$CLUSTER_FOLDER/calls.txt"
    fi
  done
}
# A caller goes to the other entry first while one restarts, as behind a balancer that watches /ready.
caller 1 "$ENTRIES" &
first=$!
caller 2 "$(entry_address 2),$(entry_address 1)" &
second=$!
sleep 2
for name in entry-1 entry-2; do
  stop_process "$name" || fail "$name did not exit with 0"
  "start_${name%-*}" "${name#*-}"
  wait_for 30 agents_ready "$CLUSTER_AGENTS"
done
for name in agent-1 agent-2 agent-3; do
  stop_process "$name" || fail "$name did not exit with 0"
  "start_${name%-*}" "${name#*-}"
  wait_for 30 agents_ready "$CLUSTER_AGENTS"
done
for name in control-1 control-2 control-3; do
  stop_process "$name" || fail "$name did not exit with 0"
  "start_${name%-*}" "${name#*-}"
  wait_for 30 has_leader
  sleep 2
done
touch "$CLUSTER_FOLDER/stop"
wait "$first" "$second"
cut=0
for file in "$CLUSTER_FOLDER"/call-*.json; do
  outcome=$(answer_field "$file" outcome)
  case "$outcome" in
    complete | not_run) ;;
    *) echo "$file: $(cat "$file" "$file.err")"; cut=$((cut + 1)) ;;
  esac
done
echo "calls: $(grep -c complete "$CLUSTER_FOLDER/calls.txt") complete of $(wc -l <"$CLUSTER_FOLDER/calls.txt")"
equal "calls cut or failed" 0 "$cut"
none_twice
