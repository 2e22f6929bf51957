#!/usr/bin/env bash
# Measures the CPU time of idle agents, by thread. Usage: scripts/measure-idle.sh [RECORDING]
# With RECORDING, Java Flight Recorder profiles agent 1 into that file, and agent 1 is left out of the figures.
# Inputs: the CLUSTER_ variables of cluster.sh, WARM_UP and LENGTH (s), OTHER_LIB: jar directory for agents with even numbers, to compare two builds.
RECORDING=${1:-}
export CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-3}
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-idle}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
trap cluster_stop EXIT
WARM_UP=${WARM_UP:-12} LENGTH=${LENGTH:-25}

eval "$(declare -f start_agent | sed '1s/start_agent/original_start_agent/')"
start_agent() {
  if [ -n "${OTHER_LIB:-}" ] && [ $(($1 % 2)) = 0 ]; then
    BLUEBELLRAMP_LIB=$OTHER_LIB original_start_agent "$1"
  else
    original_start_agent "$1"
  fi
}

# thread_ticks: prints a line of agent and thread id, thread name and CPU time (1/100 s) for each thread of each agent.
thread_ticks() {
  local n pid file
  for ((n = 1; n <= CLUSTER_AGENTS; n++)); do
    [ -z "$RECORDING" ] || [ "$n" != 1 ] || continue
    pid=${CLUSTER_PIDS[agent-$n]}
    for file in /proc/"$pid"/task/*/stat; do
      sed "s/^\([0-9]*\) (\(.*\)) \(.*\)/\3 $n-\1 \2/" "$file" 2>/dev/null
    done
  done | awk '{ thread = $52; for (i = 53; i <= NF; i++) thread = thread "_" $i; gsub(/[0-9@-]+/, "", thread); print $51, thread, $12 + $13 }'
}

cluster_prepare
cluster_start
cluster_configure >/dev/null
wait_for 60 agents_ready "$CLUSTER_AGENTS"
sleep "$WARM_UP"
[ -z "$RECORDING" ] || jcmd "${CLUSTER_PIDS[agent-1]}" JFR.start settings=profile >/dev/null
before=$(thread_ticks)
sleep "$LENGTH"
after=$(thread_ticks)
[ -z "$RECORDING" ] || jcmd "${CLUSTER_PIDS[agent-1]}" JFR.dump filename="$RECORDING" >/dev/null
echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
agents=$((CLUSTER_AGENTS - (${#RECORDING} > 0)))
{ sed 's/^/before /' <<<"$before"; sed 's/^/after /' <<<"$after"; } | awk -v agents="$agents" -v seconds="$LENGTH" '
  $1 == "before" { old[$2] = $4; next }
  { spent = $4 - old[$2]; all += spent; by[$3] += spent; agent[int($2)] += spent }
  END {
    for (n in agent) printf "agent %d: %.2f%%\n", n, agent[n] / seconds
    printf "one agent: %.2f%% of a core\n", all / agents / seconds
    for (thread in by) if (by[thread] > 0) printf "%.3f%% %s\n", by[thread] / agents / seconds, thread
  }' | sort -t' ' -k1 -rn
