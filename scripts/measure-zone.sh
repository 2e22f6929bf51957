#!/usr/bin/env bash
# Measures a load on separate local processes while a zone leaves and returns, or under another fault. Prints the bench's reports.
# Usage: scripts/measure-zone.sh FAULT[:SECONDS]..., one run for each on the same processes, of LENGTH if no time is given:
#   none            no fault, no zone change
#   zone            the zone ZONE_NUMBER (default 2) is out from OUT_AT to IN_AT (s)
#   zone-leader     the same, and the leader of the controls is killed at both changes
#   zone-entry      the same, and entry 1 is killed as the zone leaves
#   zone-twice      out, in and out again as fast as the commands go, then in at IN_AT
#   failing, slow   the last target fails everything, or is 5 times slower
#   bursts          10 jobs at once every 10 s
#   cancels         half of the open jobs are cancelled at a third and at two thirds
# Inputs: the CLUSTER_ variables of cluster.sh, LOAD (of all slots), LENGTH (s), SEED, OUT_AT, IN_AT, WARM_UP (s), OUT (folder
# of the reports), MEASURE_LOCK (a file that is locked during each run, so that runs do not disturb each other).
export CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-3} CLUSTER_SITE=${CLUSTER_SITE:-ogun}
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-zone}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
CHANGING=()
trap 'kill "${CHANGING[@]}" 2>/dev/null || true; cluster_stop' EXIT

WARM_UP=${WARM_UP:-5} LENGTH=${LENGTH:-35} OUT_AT=${OUT_AT:-10} IN_AT=${IN_AT:-22} SEED=${SEED:-1}
SLOTS_OF_TARGET=8
SLOTS=$((CLUSTER_AGENTS * SLOTS_OF_TARGET))
LOAD=${LOAD:-0.76} # 120% of the 56 slots that are left of 88 when a zone of 4 targets is out
zone=${ZONES[${ZONE_NUMBER:-2} - 1]}
changes=$CLUSTER_FOLDER/changes.txt
OUT=${OUT:-$CLUSTER_FOLDER/reports}

note() { echo "$(now_millis) $*" >>"$changes"; }
# accept_zone DIRECTION: has the change accepted, and notes when the leader logged it. The command itself waits until it is in force.
accept_zone() {
  local change
  change="zone-$1-$(now_millis)"
  resend_zone "$1" "$change" &
  CHANGING+=($!)
  wait_for 20 is_accepted "$change"
  echo "$(accepted_at "$change") $1 $zone" >>"$changes"
}
resend_zone() { # DIRECTION CHANGE: under one id until an answer comes, as an operator would.
  local tries
  for tries in 1 2 3 4 5 6 7 8; do
    CTL_WORDS=3 ctl zone "$1" "$zone" --change "$2" >>"$CLUSTER_FOLDER/out/changes.txt" 2>&1 && return
    echo "try $tries of $2 failed" >>"$CLUSTER_FOLDER/out/changes.txt"
  done
}
accepted_lines() { grep -hs "$1 by" "$CLUSTER_FOLDER"/log/bluebellramp-control-* | grep change_accepted; } # CHANGE
is_accepted() { [ -n "$(accepted_lines "$1")" ]; }
accepted_at() { # CHANGE: the first time of the log line (ms since the epoch)
  local line
  line=$(accepted_lines "$1" | sed -n 's/.*"time": *"\([^"]*\)".*/\1/p' | sort | head -1)
  date -d "$line" +%s%3N
}

faulty_target() { # OPTIONS...: puts a relay between the last target and its agent.
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

zone_options() {
  local z n files count
  for z in "${ZONES[@]}"; do
    files= count=0
    for ((n = 1; n <= CLUSTER_AGENTS; n++)); do
      [ "$(zone_of "$n")" = "$z" ] || continue
      files+="${files:+,}$CLUSTER_FOLDER/starts/target-$n.txt" count=$((count + 1))
    done
    echo "--zone $z:$((count * SLOTS_OF_TARGET))=$files"
  done
}

entries=()
for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do entries+=(--entry "http://$(entry_address "$n")"); done
bench_load() { "$CLUSTER_ROOT/bin/bluebellramp-bench" load "${entries[@]}" --service "$SERVICE" --slots "$SLOTS" "$@"; }

# take_lock, leave_lock: no process that outlives a run may be started between them, since it would keep the lock.
take_lock() {
  [ -n "${MEASURE_LOCK:-}" ] || return 0
  exec 7>"$MEASURE_LOCK"
  flock -w 300 7
}
leave_lock() { exec 7>&-; }

sleep_until() { while [ $((SECONDS - began)) -lt "$1" ]; do sleep 0.1; done; }

# change_zones FAULT: takes the zone out and in again while the load runs.
change_zones() {
  local leader
  leader=$(leader_number)
  sleep_until "$OUT_AT"
  [ "$1" != zone-entry ] || kill_process entry-1
  accept_zone out
  [ "$1" != zone-leader ] || kill_process "control-$leader"
  if [ "$1" = zone-twice ]; then
    accept_zone in
    accept_zone out
  fi
  sleep_until "$IN_AT"
  accept_zone in
}

# run_load FAULT: one run.
run_load() {
  local options=()
  case "$1" in
    zone-entry) options=(--resubmits 3) ;; # a balancer goes on to the next entry
    bursts) options=(--burst-every 10 --burst-jobs 10) ;;
    cancels) options=(--cancel-at $((LENGTH / 3)) --cancel-at $((LENGTH * 2 / 3))) ;;
  esac
  : >"$changes"
  echo "== $1 at $CLUSTER_SITE: load average $(cut -d' ' -f1-3 /proc/loadavg)"
  # shellcheck disable=SC2046
  bench_load --load "$LOAD" --seconds "$LENGTH" --seed "$SEED" $(zone_options) --changes "$changes" \
    --out "$OUT/$1.json" --history "$OUT/$1.history" "${options[@]}" >"$OUT/$1.txt" 2>&1 &
  local load=$!
  began=$SECONDS
  [[ $1 != zone* ]] || change_zones "$1"
  wait "$load" || echo "the load ended with $?"
  cat "$OUT/$1.txt" "$changes"
  echo "load average at the end $(cut -d' ' -f1-3 /proc/loadavg)"
}

# mend: starts again what a fault has killed.
mend() {
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
default_length=$LENGTH
for run in "${@:-zone}"; do
  fault=${run%%:*} LENGTH=$default_length
  [ "$fault" = "$run" ] || LENGTH=${run#*:}
  case "$fault" in
    failing) faulty_target --fail-millis 10 ;;
    slow) faulty_target --slow-factor 5 ;;
  esac
  mend
  sleep 2
  take_lock
  run_load "$fault"
  leave_lock
done
