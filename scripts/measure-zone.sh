#!/usr/bin/env bash
# Measures a load on local processes while a zone is out of service and returns, or under another fault. Prints the reports of the load tool.
# Usage: scripts/measure-zone.sh FAULT[:SECONDS]..., one run for each on the same processes, for LENGTH seconds by default:
#   none            no fault, no zone change
#   zone            zone ZONE_NUMBER (default 2) is out of service from OUT_AT to IN_AT (s)
#   zone-leader     as zone, and the leader is killed once the change that takes the zone out is accepted
#   zone-entry      as zone, and entry 1 is killed just before the zone is taken out
#   zone-twice      out, in and out again as fast as the changes are accepted, then in at IN_AT
#   failing, slow   the last target fails every task, or is 5 times slower
#   bursts          10 jobs at once every 10 s
#   cancels         half of the open jobs are cancelled after a third and after two thirds of the run
# Inputs: the CLUSTER_ variables of cluster.sh, LOAD (share of all slots), LENGTH (s), SEED, OUT_AT, IN_AT, WARM_UP (s), OUT (directory
# of the reports), MEASURE_LOCK (a file that is locked during each run, so that concurrent measurements do not affect each other).
export CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-3} CLUSTER_SITE=${CLUSTER_SITE:-ogun}
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-zone}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
CHANGE_PIDS=()
trap 'kill "${CHANGE_PIDS[@]}" 2>/dev/null || true; cluster_stop' EXIT

WARM_UP=${WARM_UP:-5} LENGTH=${LENGTH:-35} OUT_AT=${OUT_AT:-10} IN_AT=${IN_AT:-22} SEED=${SEED:-1}
SLOTS_PER_TARGET=8
SLOTS=$((CLUSTER_AGENTS * SLOTS_PER_TARGET))
LOAD=${LOAD:-0.76} # 120% of the 56 of 88 slots that remain while a zone with 4 targets is out of service
zone=${ZONES[${ZONE_NUMBER:-2} - 1]}
changes_file=$CLUSTER_FOLDER/changes.txt
OUT=${OUT:-$CLUSTER_FOLDER/reports}

record_change() { echo "$(now_millis) $*" >>"$changes_file"; }
# start_zone_change DIRECTION: starts the change in the background, waits until the leader has logged its acceptance, and records that time.
# The background command itself waits until the change is in force.
start_zone_change() {
  local change
  change="zone-$1-$(now_millis)"
  resend_zone_change "$1" "$change" &
  CHANGE_PIDS+=($!)
  wait_for 20 is_accepted "$change"
  echo "$(acceptance_millis "$change") $1 $zone" >>"$changes_file"
}
resend_zone_change() { # DIRECTION CHANGE: sends the change up to 8 times under the same id until it succeeds, as an operator would.
  local attempt
  for attempt in 1 2 3 4 5 6 7 8; do
    CTL_WORDS=3 ctl zone "$1" "$zone" --change "$2" >>"$CLUSTER_FOLDER/out/changes.txt" 2>&1 && return
    echo "attempt $attempt of $2 failed" >>"$CLUSTER_FOLDER/out/changes.txt"
  done
}
acceptance_log_lines() { grep -hs "$1 by" "$CLUSTER_FOLDER"/log/bluebellramp-control-* | grep change_accepted; } # CHANGE
is_accepted() { [ -n "$(acceptance_log_lines "$1")" ]; }
acceptance_millis() { # CHANGE: the earliest time at which a control logged the acceptance (ms since the epoch)
  local line
  line=$(acceptance_log_lines "$1" | sed -n 's/.*"time": *"\([^"]*\)".*/\1/p' | sort | head -1)
  date -d "$line" +%s%3N
}

start_faulty_target() { # OPTIONS...: puts a relay between the last target and its agent.
  local n=$CLUSTER_AGENTS relay
  relay="127.0.0.1:$((CLUSTER_PORT + 500 + n))"
  kill_process "target-$n"
  [ -z "${CLUSTER_PIDS[relay]:-}" ] || kill_process relay
  "$CLUSTER_ROOT/bin/bluebellramp-bench" faulty-target --listen "$relay" --agent "$(agent_address "$n")" \
    --target "$(target_address "$n")" "$@" >"$CLUSTER_FOLDER/out/relay.txt" 2>&1 &
  CLUSTER_PIDS[relay]=$!
  sed -i "s/\"agent\": \"[^\"]*\"/\"agent\": \"$relay\"/" "$CLUSTER_FOLDER/settings/target-$n.json"
  launch "target-$n" bluebellramp-target "$CLUSTER_FOLDER/settings/target-$n.json"
}

zone_arguments() {
  local z n files count
  for z in "${ZONES[@]}"; do
    files= count=0
    for ((n = 1; n <= CLUSTER_AGENTS; n++)); do
      [ "$(zone_of "$n")" = "$z" ] || continue
      files+="${files:+,}$CLUSTER_FOLDER/starts/target-$n.txt" count=$((count + 1))
    done
    echo "--zone $z:$((count * SLOTS_PER_TARGET))=$files"
  done
}

entries=()
for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do entries+=(--entry "http://$(entry_address "$n")"); done
bench_load() { "$CLUSTER_ROOT/bin/bluebellramp-bench" load "${entries[@]}" --service "$SERVICE" --slots "$SLOTS" "$@"; }

# acquire_lock, release_lock: do not start a process that outlives the run between them, since it would inherit and hold the lock.
acquire_lock() {
  [ -n "${MEASURE_LOCK:-}" ] || return 0
  exec 7>"$MEASURE_LOCK"
  flock -w 300 7
}
release_lock() { exec 7>&-; }

sleep_until() { while [ $((SECONDS - run_start_seconds)) -lt "$1" ]; do sleep 0.1; done; }

# run_zone_changes FAULT: takes the zone out of service and returns it while the load runs.
run_zone_changes() {
  local leader
  leader=$(leader_number)
  sleep_until "$OUT_AT"
  [ "$1" != zone-entry ] || kill_process entry-1
  start_zone_change out
  [ "$1" != zone-leader ] || kill_process "control-$leader"
  if [ "$1" = zone-twice ]; then
    start_zone_change in
    start_zone_change out
  fi
  sleep_until "$IN_AT"
  start_zone_change in
}

# run_load FAULT: one run, with its report on standard output.
run_load() {
  local options=()
  case "$1" in
    zone-entry) options=(--resubmits 3) ;; # resubmits as a load balancer would that falls back to the next entry
    bursts) options=(--burst-every 10 --burst-jobs 10) ;;
    cancels) options=(--cancel-at $((LENGTH / 3)) --cancel-at $((LENGTH * 2 / 3))) ;;
  esac
  : >"$changes_file"
  echo "== $1 at $CLUSTER_SITE: load average $(cut -d' ' -f1-3 /proc/loadavg)"
  # shellcheck disable=SC2046
  bench_load --load "$LOAD" --seconds "$LENGTH" --seed "$SEED" $(zone_arguments) --changes "$changes_file" \
    --out "$OUT/$1.json" --history "$OUT/$1.history" "${options[@]}" >"$OUT/$1.txt" 2>&1 &
  local load_pid=$!
  run_start_seconds=$SECONDS
  [[ $1 != zone* ]] || run_zone_changes "$1"
  wait "$load_pid" || echo "the load tool ended with exit code $?"
  cat "$OUT/$1.txt" "$changes_file"
  echo "load average at the end $(cut -d' ' -f1-3 /proc/loadavg)"
}

# restart_killed_processes: restarts the controls and entries that a fault has killed, and waits until all agents are connected.
restart_killed_processes() {
  local n
  for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do [ -n "${CLUSTER_PIDS[control-$n]:-}" ] || start_control "$n"; done
  for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do [ -n "${CLUSTER_PIDS[entry-$n]:-}" ] || start_entry "$n"; done
  wait_for 60 agents_ready "$CLUSTER_AGENTS"
}

cluster_prepare
mkdir -p "$OUT"
cluster_start
wait_for 60 has_leader
cluster_configure >/dev/null
wait_for 90 agents_ready "$CLUSTER_AGENTS"
for ((n = 1; n <= CLUSTER_AGENTS; n++)); do touch "$CLUSTER_FOLDER/starts/target-$n.txt"; done
bench_load --load 0.5 --seconds "$WARM_UP" --seed 99 >/dev/null || true
default_length_seconds=$LENGTH
for run in "${@:-zone}"; do
  fault=${run%%:*} LENGTH=$default_length_seconds
  [ "$fault" = "$run" ] || LENGTH=${run#*:}
  case "$fault" in
    failing) start_faulty_target --fail-millis 10 ;;
    slow) start_faulty_target --slow-factor 5 ;;
  esac
  restart_killed_processes
  sleep 2
  acquire_lock
  run_load "$fault"
  release_lock
done
