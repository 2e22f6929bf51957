#!/usr/bin/env bash
# Measures response times of warmed-up local processes: single requests at low load, jobs at a share of all slots, and the latency of each hop.
# Usage: scripts/measure-response.sh STEP..., one after another on the same processes:
#   requests   REQUESTS a second (default 30) of REQUEST_MILLIS (default 50), with jobs at 2% load only
#   LOAD       bench jobs at this share of all slots, such as 0.8
# Inputs: the CLUSTER_ variables of cluster.sh; COMPILERS: JIT compilers in use, first (default; only C1) or all; MORE_OPTIONS: additional JVM
# options; WARM_UP, LENGTH and DROP (s): load before the steps, length of a step, and the start of a step that is left out of the figures
# because the load tool itself is still warming up; SEED; OTHER_LIB: jar directory for agents and targets with even numbers, to compare two builds.
export CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-3} TZ=UTC
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-response}
export BLUEBELLRAMP_JAVA_OPTIONS="-XX:ActiveProcessorCount=2 ${MORE_OPTIONS:-}"
[ "${COMPILERS:-first}" = all ] || BLUEBELLRAMP_JAVA_OPTIONS+=" -XX:TieredStopAtLevel=1"
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
trap cluster_stop EXIT

WARM_UP=${WARM_UP:-40} LENGTH=${LENGTH:-40} DROP=${DROP:-10} SEED=${SEED:-1}
REQUESTS=${REQUESTS:-30} REQUEST_MILLIS=${REQUEST_MILLIS:-50}
SLOTS=$((CLUSTER_AGENTS * 8))

eval "$(declare -f launch | sed '1s/launch/original_launch/')"
launch() {
  if [ -n "${OTHER_LIB:-}" ] && [[ $1 =~ ^(agent|target)-[0-9]*[02468]$ ]]; then
    BLUEBELLRAMP_LIB=$OTHER_LIB original_launch "$@"
  else
    original_launch "$@"
  fi
}

entries=()
scrapes=()
for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do
  entries+=(--entry "http://$(entry_address "$n")")
  scrapes+=(--scrape "http://$(entry_address "$n")/metrics")
done
# bench_load OPTIONS...: runs the load tool, with all JIT compilers and without a limit on its processors.
bench_load() {
  BLUEBELLRAMP_JAVA_OPTIONS= "$CLUSTER_ROOT/bin/bluebellramp-bench" load "${entries[@]}" --service "$SERVICE" --slots "$SLOTS" --seed "$SEED" "$@"
}

# submission_events: prints submission, event and time of day (ms) for each admission, placement and start in the logs of entries and agents,
# and for each start that the targets recorded (event odd or even, by the number of the target).
submission_events() {
  local n
  cat "$CLUSTER_FOLDER"/log/bluebellramp-{entry,agent}-*.log |
    awk 'function field(name) { return match($0, "\"" name "\": \"[^\"]*\"") ? substr($0, RSTART + length(name) + 5, RLENGTH - length(name) - 6) : "" }
      /"decision": "(admit|place|start)"/ { split(substr(field("time"), 12), t, ":"); print field("submission"), field("decision"), (t[1] * 3600 + t[2] * 60 + (t[3] + 0)) * 1000 }'
  for ((n = 1; n <= CLUSTER_AGENTS; n++)); do awk -v n="$n" '{ print $1, n % 2 ? "odd" : "even", $5 % 86400000 }' "$CLUSTER_FOLDER/starts/target-$n.txt"; done
}

# percentiles NAME: median, p90, p99 and maximum of the numbers on standard input.
percentiles() {
  sort -n | awk -v name="$1" '{ v[NR] = $1 } function p(q) { i = int(q * NR + 0.999999); return v[i < 1 ? 1 : i] }
    END { if (NR) printf "%-58s %6d: median %.1f, p90 %.1f, p99 %.1f, most %.1f\n", name, NR, p(0.5), p(0.9), p(0.99), v[NR]; else print name, "none" }'
}

# counted_submissions HISTORY: prints kind, submission, tasks, response time and ideal time (ms) for each complete submission after DROP.
counted_submissions() {
  sed 's/[{}"]//g' "$1" | awk -F, -v drop=$((DROP * 1000)) '{ for (i = 1; i <= NF; i++) { split($i, f, ":"); record[f[1]] = f[2] }
    if (record["outcome"] == "complete" && record["intendedMillis"] >= drop) print record["kind"], record["submission"], record["tasks"], record["answeredMillis"] - record["intendedMillis"], record["idealMillis"] }'
}

# hop_latencies HISTORY: percentiles of the latency of each hop, for submissions with one task.
hop_latencies() {
  counted_submissions "$1" | awk '$3 == 1' >"$CLUSTER_FOLDER/out/single.txt"
  submission_events | awk 'function hex(text, i, n) { for (i = 1; i <= length(text); i++) n = n * 16 + index("0123456789abcdef", substr(text, i, 1)) - 1; return n }
    FNR == NR { response[$2] = $4; ideal[$2] = $5; next }
    $1 in response { event = $2; if (event == "odd" || event == "even") { side[$1] = event; event = "run" } if (!(($1, event) in at)) at[$1, event] = $3 }
    END { for (id in response) { if (!((id, "run") in at) || !((id, "start") in at)) continue
      created = hex(substr(id, 1, 8) substr(id, 10, 4)) % 86400000
      print "id_to_claim_granted", at[id, "admit"] - created; print "claim_granted_to_placement", at[id, "place"] - at[id, "admit"]
      print "placement_to_start_at_agent", at[id, "start"] - at[id, "place"]; print "start_at_agent_to_start_at_target_" side[id], at[id, "run"] - at[id, "start"]
      print "start_at_target_to_answer_over_ideal_" side[id], created + response[id] - at[id, "run"] - ideal[id] } }' "$CLUSTER_FOLDER/out/single.txt" - >"$CLUSTER_FOLDER/out/hops.txt"
  local hop
  for hop in $(cut -d' ' -f1 "$CLUSTER_FOLDER/out/hops.txt" | sort -u); do
    awk -v hop="$hop" '$1 == hop { print $2 }' "$CLUSTER_FOLDER/out/hops.txt" | percentiles "  $hop (ms)"
  done
}

# cpu_millis: the CPU time of the processes by program, and the idle and stolen time of the whole machine (ms).
cpu_millis() {
  local name
  for name in "${!CLUSTER_PIDS[@]}"; do awk -v kind="${name%-*}" '{ print kind, ($14 + $15) * 10 }' "/proc/${CLUSTER_PIDS[$name]}/stat"; done
  awk '$1 == "cpu" { print "idle", $5 * 10; print "stolen", $9 * 10 }' /proc/stat
}

run_step() { # STEP
  local options report="$CLUSTER_FOLDER/out/$1.txt" history="$CLUSTER_FOLDER/out/$1.history"
  if [ "$1" = requests ]; then
    options=(--requests "$REQUESTS" --request-millis "$REQUEST_MILLIS" --load 0.02 --width 1 --widest 1)
  else
    options=(--load "$1")
  fi
  echo "== $1, $LENGTH s, the first $DROP s dropped, load average $(cut -d' ' -f1-3 /proc/loadavg)"
  cpu_millis >"$CLUSTER_FOLDER/out/before.txt"
  bench_load "${options[@]}" --seconds "$LENGTH" --history "$history" "${scrapes[@]}" >"$report" 2>&1 || echo "the load tool ended with exit code $?"
  cpu_millis | awk 'FNR == NR { before[$1] += $2; next } { after[$1] += $2 } END { printf "processor time (s):"
    for (kind in after) printf " %s %.1f", kind, (after[kind] - before[kind]) / 1000; print "" }' "$CLUSTER_FOLDER/out/before.txt" -
  echo "load average at the end $(cut -d' ' -f1-3 /proc/loadavg)"
  cat "$report"
  counted_submissions "$history" | awk '$1 == "request" { print $4 - $5 }' | percentiles "request over its ideal (ms)"
  counted_submissions "$history" | awk '$1 == "job" { print $4 / $5 * 1000 }' | percentiles "slowdown of a job (thousandths)"
  counted_submissions "$history" | awk '$1 == "job" { print $4 - $5 }' | percentiles "job over its ideal (ms)"
  hop_latencies "$history"
}

cluster_prepare
cluster_start
wait_for 60 has_leader
cluster_configure >/dev/null
wait_for 90 agents_ready "$CLUSTER_AGENTS"
bench_load --load 0.5 --requests "$REQUESTS" --request-millis "$REQUEST_MILLIS" --seconds "$WARM_UP" >/dev/null 2>&1 || true
for step in "$@"; do run_step "$step"; done
echo "started twice: $(duplicate_start_count)"
