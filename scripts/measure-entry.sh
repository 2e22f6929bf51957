#!/usr/bin/env bash
# Measures one entry at each given rate of task starts: CPU time per task, memory and response times. One process simulates the agents.
# Usage: scripts/measure-entry.sh RATE... (starts per second), one step for each on the same processes.
# Inputs: the CLUSTER_ variables of cluster.sh (CLUSTER_AGENTS: simulated agents, default 470), LENGTH and WARM_UP (s), WIDTH (mean number
# of tasks of a job), ENTRY_PROCESSORS (cores that the entry's JVM assumes, default 4), ENTRY_OPTIONS (additional options of the entry's JVM).
export CLUSTER_CONTROLS=${CLUSTER_CONTROLS:-1} CLUSTER_ENTRIES=1 CLUSTER_AGENTS=${CLUSTER_AGENTS:-470}
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-entry}
export BLUEBELLRAMP_JAVA_OPTIONS="-XX:ActiveProcessorCount=${ENTRY_PROCESSORS:-4}"
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
trap cluster_stop EXIT

LENGTH=${LENGTH:-15} WARM_UP=${WARM_UP:-30} WIDTH=${WIDTH:-18}
WARM_UP_STARTS_PER_SECOND=1000
SLOTS=$((CLUSTER_AGENTS * 8))
# Mean run time of a bench task before scaling, and the scale factor: 0.23 s per task.
MEAN_TASK_SECONDS=0.58425
TIME_SCALE=0.4

# cpu_seconds PID, resident_mb PID: CPU time and resident memory of a process, from /proc.
cpu_seconds() { awk '{ print ($14 + $15) / 100 }' "/proc/$1/stat"; }
resident_mb() { awk '/VmRSS/ { print int($2 / 1024) }' "/proc/$1/status"; }

# bench_load RATE SECONDS: runs the load tool and prints its report.
bench_load() {
  "$CLUSTER_ROOT/bin/bluebellramp-bench" load --entry "http://$(entry_address 1)" --service "$SERVICE" --slots "$SLOTS" --seed 1 \
    --load "$(awk "BEGIN { print $1 * $MEAN_TASK_SECONDS * $TIME_SCALE / $SLOTS }")" --seconds "$2" --width "$WIDTH" --time-scale "$TIME_SCALE"
}

run_step() { # RATE
  local before after tasks report="$CLUSTER_FOLDER/out/load-$1.txt"
  before=$(cpu_seconds "$entry")
  bench_load "$1" "$LENGTH" >"$report" 2>&1 || echo "the load tool ended with exit code $?"
  after=$(cpu_seconds "$entry")
  tasks=$(sed -n 's/^.* jobs, \([0-9]*\) tasks.*/\1/p' "$report")
  echo "== $1 starts/s for $LENGTH s, width $WIDTH: $tasks tasks, $(awk "BEGIN { printf \"%.3f\", ($after - $before) * 1000 / $tasks }") ms of the entry a task," \
    "$(resident_mb "$entry") MB resident, load average $(cut -d' ' -f1 /proc/loadavg)"
  grep -E '^(jobs|response|slowdown)' "$report"
}

cluster_prepare
for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do start_control "$n"; done
BLUEBELLRAMP_JAVA_OPTIONS="$BLUEBELLRAMP_JAVA_OPTIONS ${ENTRY_OPTIONS:-}" start_entry 1
entry=${CLUSTER_PIDS[entry-1]}
wait_for 30 has_leader
cluster_configure >/dev/null
zones=()
for zone in "${ZONES[@]}"; do zones+=(--zone "$zone"); done
"$CLUSTER_ROOT/bin/bluebellramp-bench" agents --count "$CLUSTER_AGENTS" --entry "$(entry_address 1)" --slots 8 --service "$SERVICE" --site "$SITE" \
  "${zones[@]}" --tasks-as-told >"$CLUSTER_FOLDER/out/agents.txt" 2>&1 &
CLUSTER_PIDS[agents]=$!
wait_for 60 grep -q ", $CLUSTER_AGENTS of $CLUSTER_AGENTS permitted" "$CLUSTER_FOLDER/out/agents.txt"
bench_load "$WARM_UP_STARTS_PER_SECOND" "$WARM_UP" >/dev/null || true
for rate in "$@"; do run_step "$rate"; done
stop_process agents || echo "the simulated agents ended with exit code $?"
grep -A3 '^starts:' "$CLUSTER_FOLDER/out/agents.txt"
echo "best second: $(sed -n 's/^.* s: \([0-9]*\) starts.s.*/\1/p' "$CLUSTER_FOLDER/out/agents.txt" | sort -n | tail -1) starts"
