#!/usr/bin/env bash
# Entries, agents and controls are stopped with SIGTERM and restarted one at a time under load. Each must exit with code 0, and no call may
# be interrupted or fail.
source "$(dirname "$0")/lib.sh"
start_ready_cluster
cp /dev/null "$CLUSTER_FOLDER/calls.txt"
run_caller() { # NUMBER ENTRIES: submits jobs, each under a new id, until the file "stop" exists
  local id round=0
  while [ ! -e "$CLUSTER_FOLDER/stop" ]; do
    round=$((round + 1))
    id=$(new_submission_id)
    if submit_job "$2" "$id" 12 "sleep:150;echo:{n}" "$CLUSTER_FOLDER/call-$1-$round.json"; then
      echo "complete $1-$round" >>"$CLUSTER_FOLDER/calls.txt"
    else
      echo "other $1-$round" >>"$CLUSTER_FOLDER/calls.txt"
    fi
  done
}
# The two callers list the entries in opposite order, so that each can fall back to the other entry during a restart, as behind a load
# balancer that checks /ready.
run_caller 1 "$ENTRIES" &
first_caller_pid=$!
run_caller 2 "$(entry_address 2),$(entry_address 1)" &
second_caller_pid=$!
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
wait "$first_caller_pid" "$second_caller_pid"
failed_calls=0
for file in "$CLUSTER_FOLDER"/call-*.json; do
  outcome=$(answer_field "$file" outcome)
  case "$outcome" in
    complete | not_run) ;;
    *) echo "$file: $(cat "$file" "$file.err")"; failed_calls=$((failed_calls + 1)) ;;
  esac
done
echo "calls: $(grep -c complete "$CLUSTER_FOLDER/calls.txt") complete of $(wc -l <"$CLUSTER_FOLDER/calls.txt")"
assert_equal "calls cut or failed" 0 "$failed_calls"
assert_no_duplicate_starts
