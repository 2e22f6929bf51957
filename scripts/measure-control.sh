#!/usr/bin/env bash
# Measures the control processes of a local cluster. Usage: scripts/measure-control.sh STEP..., one after another on the same processes:
#   rest              CPU time, memory and network bytes without load, by control and thread
#   record=FILE       profiles the leader without load with Java Flight Recorder and writes the recording to FILE
#   entries=COUNT     starts additional entries until COUNT run
#   agents=COUNT      COUNT simulated agents at all entries: times from acceptance until in force of CHANGES changes, then as rest
#   failover=COUNT    time without a leader after SIGKILL of the leader, COUNT times
#   commits=RATE      latency of RATE commits a second, three members in one process, and of disk syncs; KOTLIN_TEST: path of the kotlin-test jar
# Inputs: the CLUSTER_ variables of cluster.sh, WARM_UP and LENGTH (s), CHANGES.
export CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-3}
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/measure-control}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"
trap cluster_stop EXIT
WARM_UP=${WARM_UP:-15} LENGTH=${LENGTH:-20} CHANGES=${CHANGES:-20}

start_controls_and_entries() {
  local n
  cluster_prepare
  for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do start_control "$n"; done
  for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do start_entry "$n"; done
  wait_for 60 has_leader
  cluster_configure >/dev/null
}

# resource_usage: lines "CONTROL KIND NAME VALUE" with the CPU ticks (1/100 s) of each thread and the bytes of each connection.
resource_usage() {
  local n pid
  for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do
    pid=${CLUSTER_PIDS[control-$n]:-}
    [ -n "$pid" ] || continue
    awk -v n="$n" '{ name = $0; sub(/^[^(]*\(/, "", name); sub(/\).*/, "", name); sub(/.*\) /, ""); gsub(/[ 0-9@-]+/, "_", name)
      split(FILENAME, part, "/"); print n, "ticks", name "/" part[5], $12 + $13 }' /proc/"$pid"/task/*/stat
    ss -tinpH 2>/dev/null | awk -v n="$n" -v pid="pid=$pid," '
      /^[A-Z]/ { socket = index($0, pid) ? $4 "-" $5 : "" }
      socket != "" { bytes = 0; for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) { split($i, part, ":"); bytes += part[2] }
        if (bytes > 0) print n, "bytes", socket, bytes }'
  done
}

# measure_rest: resource usage of each control during LENGTH seconds without load.
measure_rest() {
  local before after n leader
  leader=$(leader_number)
  sleep 2
  before=$(resource_usage)
  sleep "$LENGTH"
  after=$(resource_usage)
  for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do
    echo "control-$n$([ "$n" = "$leader" ] && echo ", leader"): $(awk '/VmRSS/ { print int($2 / 1024) }' "/proc/${CLUSTER_PIDS[control-$n]}/status") MB resident"
  done
  { sed 's/^/before /' <<<"$before"; sed 's/^/after /' <<<"$after"; } | awk -v seconds="$LENGTH" '
    $1 == "before" { old[$2, $3, $4] = $5; next }
    { spent = ($5 - old[$2, $3, $4]) / seconds; sub(/\/.*/, "", $4); all[$2, $3] += spent; if ($3 == "ticks") by[$2, $4] += spent }
    END {
      for (n = 1; n <= 9; n++) if ((n, "ticks") in all)
        printf "control-%d 100: %.2f%% of a core, %.0f bytes a second sent and received\n", n, all[n, "ticks"], all[n, "bytes"]
      for (key in by) if (by[key] >= 0.05) { split(key, part, SUBSEP); printf "control-%d %.2f%% %s\n", part[1], by[key], part[2] }
    }' | sort -k1,1 -k2,2rn | sed 's/ 100:/:/'
  echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

# http_post HOST:PORT PATH BODY: prints the response of a POST request.
http_post() {
  local answer
  exec 7<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'POST %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' "$2" "$1" "${#3}" "$3" >&7
  answer=$(cat <&7)
  exec 7>&- 7<&-
  echo "$answer"
}

# percentiles NAME: p50, p90, p99 and the maximum of the numbers on standard input.
percentiles() {
  sort -n | awk -v name="$1" '{ v[NR] = $1 } function at(p) { i = int((NR - 1) * p) + 1; return v[i] }
    END { printf "%s: %d samples, p50 %.1f, p90 %.1f, p99 %.1f, most %.1f\n", name, NR, at(0.5), at(0.9), at(0.99), v[NR] }'
}

# measure_changes: submits CHANGES changes that take a zone out of service and return it in turn, with random pauses so that they
# arrive at any phase of the periodic lease requests.
measure_changes() {
  local i leader revision direction answers="$CLUSTER_FOLDER/changes.txt"
  leader=$(control_address "$(leader_number)")
  revision=$(current_revision)
  : >"$answers"
  for ((i = 0; i < CHANGES; i++)); do
    [ $((i % 2)) = 0 ] && direction=zonesOut || direction=zonesIn
    http_post "$leader" "/v1/changes?wait=true" "{\"change\": \"m-$revision-$i\", \"basedOn\": $((revision + i)), \"$direction\": [\"${ZONES[1]}\"]}" >>"$answers"
    echo >>"$answers"
    sleep "0.$((RANDOM % 400 + 100))"
  done
  sed -n 's/.*"acceptedMillis": *\([0-9.]*\).*/\1/p' "$answers" | percentiles "call to acceptance (ms)"
  sed -n 's/.*"inForceMillis": *\([0-9.]*\).*/\1/p' "$answers" | percentiles "acceptance to in force (ms)"
}

measure_with_agents() { # COUNT
  local zone zones=() n entries=() out="$CLUSTER_FOLDER/out/agents-$1.txt"
  for zone in "${ZONES[@]}"; do zones+=(--zone "$zone"); done
  for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do entries+=(--entry "$(entry_address "$n")"); done
  "$CLUSTER_ROOT/bin/bluebellramp-bench" agents --count "$1" "${entries[@]}" --slots 8 --service "$SERVICE" --site "$SITE" "${zones[@]}" >"$out" 2>&1 &
  CLUSTER_PIDS[agents]=$!
  wait_for 60 grep -q ", $1 of $1 permitted" "$out"
  measure_changes
  measure_rest
  stop_process agents || echo "the simulated agents ended with exit code $?"
}

is_leader() { [ "$(metric_sum "$(control_address "$1")" bluebellramp_control_leader 2>/dev/null)" = 1 ]; } # NUMBER
another_member_leads() { local n; for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do [ "$n" = "$1" ] || ! is_leader "$n" || return 0; done; return 1; }
has_caught_up() { [ "$(metric_sum "$(control_address "$1")" bluebellramp_control_claims_whole 2>/dev/null)" = 1 ]; }

measure_failover() {
  local leader killed_at_millis
  leader=$(leader_number)
  killed_at_millis=$(now_millis)
  kill_process "control-$leader"
  until another_member_leads "$leader"; do sleep 0.005; done
  echo $(($(now_millis) - killed_at_millis))
  echo "$leader" >"$CLUSTER_FOLDER/killed"
}

measure_failovers() { # COUNT
  local i killed times="$CLUSTER_FOLDER/failover.txt"
  for ((i = 0; i < $1; i++)); do
    measure_failover >>"$times"
    killed=$(cat "$CLUSTER_FOLDER/killed")
    start_control "$killed"
    wait_for 30 has_caught_up "$killed"
    sleep 1
  done
  echo "time without a leader (ms): $(tr '\n' ' ' <"$times")"
  percentiles "time without a leader (ms)" <"$times"
  echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

# measure_commits RATE: runs the benchmark in CommitLatency.kt.
measure_commits() {
  local path
  path=$(ls -d "$CLUSTER_ROOT"/replication/target/{classes,test-classes} "$CLUSTER_ROOT"/dist/target/lib/*.jar "${KOTLIN_TEST:?the jar of kotlin-test}" | tr '\n' ':')
  rm -rf "$CLUSTER_FOLDER/commits-$1"
  java -cp "$path" io.bluebellramp.replication.CommitLatencyKt "$CLUSTER_FOLDER/commits-$1" "$1" "$LENGTH"
  echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

record_leader_profile() { # FILE
  local leader
  leader=${CLUSTER_PIDS[control-$(leader_number)]}
  jcmd "$leader" JFR.start settings=profile >/dev/null
  sleep "$LENGTH"
  jcmd "$leader" JFR.dump filename="$1" >/dev/null
}

add_entries() { # COUNT
  local n first=$((CLUSTER_ENTRIES + 1))
  CLUSTER_ENTRIES=$1
  ENTRIES=$(address_list entry "$1")
  for ((n = first; n <= $1; n++)); do start_entry "$n"; done
  sleep "$WARM_UP"
}

[ $# -gt 0 ] || { sed -n '2,9p' "$0" >&2; exit 2; }
for step in "$@"; do
  if [ ${#CLUSTER_PIDS[@]} = 0 ] && [[ $step != commits=* ]]; then
    start_controls_and_entries
    sleep "$WARM_UP"
  fi
  echo "== $step, entries: $CLUSTER_ENTRIES"
  case "$step" in
    rest) measure_rest ;;
    record=*) record_leader_profile "${step#*=}" ;;
    entries=*) add_entries "${step#*=}" ;;
    agents=*) measure_with_agents "${step#*=}" ;;
    failover=*) measure_failovers "${step#*=}" ;;
    commits=*) measure_commits "${step#*=}" ;;
    *) echo "unknown: $step" >&2; exit 2 ;;
  esac
done
