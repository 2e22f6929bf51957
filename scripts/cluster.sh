# Functions that start and stop a local cluster of separate processes on loopback. Source this file.
# Inputs: CLUSTER_FOLDER (deleted and recreated by cluster_prepare), CLUSTER_SITE (brekke or ogun), CLUSTER_PORT (base of the port numbers),
# CLUSTER_CONTROLS, CLUSTER_ENTRIES and CLUSTER_AGENTS (number of processes; each agent has one target).
set -euo pipefail

CLUSTER_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLUSTER_FOLDER=${CLUSTER_FOLDER:-$CLUSTER_ROOT/run/local}
CLUSTER_SITE=${CLUSTER_SITE:-brekke}
CLUSTER_PORT=${CLUSTER_PORT:-17000}
CLUSTER_CONTROLS=${CLUSTER_CONTROLS:-3}
CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-2}
CLUSTER_AGENTS=${CLUSTER_AGENTS:-11}
declare -A CLUSTER_PIDS=()

case "$CLUSTER_SITE" in
  brekke) SITE=vestland SERVICE=permit-desk ZONES=(bergen-a bergen-b voss-c) ;;
  ogun) SITE=ogun-lagos SERVICE=sale-desk ZONES=(abeokuta ikorodu sagamu) ;;
  *) echo "unknown site $CLUSTER_SITE; brekke or ogun" >&2; exit 2 ;;
esac

control_address() { echo "127.0.0.1:$((CLUSTER_PORT + 100 + $1))"; }
entry_address() { echo "127.0.0.1:$((CLUSTER_PORT + 200 + $1))"; }
agent_address() { echo "127.0.0.1:$((CLUSTER_PORT + 300 + $1))"; }
target_address() { echo "127.0.0.1:$((CLUSTER_PORT + 400 + $1))"; }
zone_of() { echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"; }

# address_list KIND COUNT: the addresses, separated by commas. quoted_address_list KIND COUNT: the same as JSON strings.
address_list() { local n out=; for ((n = 1; n <= $2; n++)); do out+="${out:+,}$("$1_address" "$n")"; done; echo "$out"; }
quoted_address_list() { echo "\"$(address_list "$1" "$2" | sed 's/,/", "/g')\""; }

CONTROLS=$(address_list control "$CLUSTER_CONTROLS")
ENTRIES=$(address_list entry "$CLUSTER_ENTRIES")
ctl() { local words=(); while [ $# -gt 0 ] && [[ $1 != -* ]] && [ ${#words[@]} -lt "${CTL_WORDS:-2}" ]; do words+=("$1"); shift; done
  "$CLUSTER_ROOT/bin/bluebellrampctl" "${words[@]}" --control "$CONTROLS" --entry "$ENTRIES" "$@"; }

# founding_members_json: the founding members as a JSON array.
founding_members_json() { local n out=; for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do
  out+="${out:+, }{\"member\": \"control-$n\", \"address\": \"$(control_address "$n")\"}"; done; echo "[$out]"; }

cluster_prepare() {
  rm -rf "$CLUSTER_FOLDER"
  mkdir -p "$CLUSTER_FOLDER"/{settings,log,starts,out}
}

# launch NAME PROGRAM SETTINGS: starts a program in the background and stores its process id in CLUSTER_PIDS under NAME.
launch() {
  BLUEBELLRAMP_JAVA_OPTIONS="${BLUEBELLRAMP_JAVA_OPTIONS:--XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=1}" \
    "$CLUSTER_ROOT/bin/$2" --config "$3" >>"$CLUSTER_FOLDER/out/$1.txt" 2>&1 &
  CLUSTER_PIDS[$1]=$!
}

start_control() { # NUMBER [MEMBER] [JOINING]
  local file="$CLUSTER_FOLDER/settings/control-$1.json"
  cat >"$file" <<JSON
{
  "member": "${2:-control-$1}", "zone": "$(zone_of "$1")", "listen": "$(control_address "$1")",
  "dataFolder": "$CLUSTER_FOLDER/data/${2:-control-$1}", "members": $(founding_members_json), "joining": ${3:-false},
  "logFolder": "$CLUSTER_FOLDER/log"
}
JSON
  launch "control-$1" bluebellramp-control "$file"
}

start_entry() { # NUMBER
  local file="$CLUSTER_FOLDER/settings/entry-$1.json"
  cat >"$file" <<JSON
{
  "entry": "entry-$1", "site": "$SITE", "zone": "$(zone_of "$1")", "listen": "$(entry_address "$1")",
  "controls": [${ENTRY_CONTROLS:-$(quoted_address_list control "$CLUSTER_CONTROLS")}], "logFolder": "$CLUSTER_FOLDER/log"
}
JSON
  launch "entry-$1" bluebellramp-entry "$file"
}

start_agent() { # NUMBER
  local file="$CLUSTER_FOLDER/settings/agent-$1.json"
  cat >"$file" <<JSON
{
  "agent": "agent-$1", "site": "$SITE", "zone": "$(zone_of "$1")", "listen": "$(agent_address "$1")",
  "entries": [$(quoted_address_list entry "$CLUSTER_ENTRIES")], "logFolder": "$CLUSTER_FOLDER/log"
}
JSON
  launch "agent-$1" bluebellramp-agent "$file"
}

start_target() { # NUMBER
  local file="$CLUSTER_FOLDER/settings/target-$1.json"
  cat >"$file" <<JSON
{
  "target": "target-$1", "service": "$SERVICE", "listen": "$(target_address "$1")",
  "agent": "$(agent_address "$1")", "startsFile": "$CLUSTER_FOLDER/starts/target-$1.txt"
}
JSON
  launch "target-$1" bluebellramp-target "$file"
}

cluster_start() {
  local n
  for ((n = 1; n <= CLUSTER_CONTROLS; n++)); do start_control "$n"; done
  for ((n = 1; n <= CLUSTER_ENTRIES; n++)); do start_entry "$n"; done
  for ((n = 1; n <= CLUSTER_AGENTS; n++)); do start_agent "$n"; start_target "$n"; done
}

# cluster_configure: applies the sample base file and overlay of the site as the configuration.
cluster_configure() {
  local folder="$CLUSTER_ROOT/samples/config/$CLUSTER_SITE"
  ctl config apply --base "$folder/base.json" --overlay "$SITE=$folder/overlay-$SITE.json"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds, and fails after the timeout.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || { echo "timed out waiting for: $*" >&2; return 1; }
    sleep 0.2
  done
}

# http_status HOST:PORT PATH: prints the status code of a GET request.
http_status() {
  local host=${1%:*} port=${1##*:} status_line
  exec 9<>"/dev/tcp/$host/$port" || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&9
  read -r status_line <&9
  exec 9>&- 9<&-
  echo "$status_line" | cut -d' ' -f2
}

is_ready() { [ "$(http_status "$1" /ready 2>/dev/null)" = 200 ]; }

# metric_sum HOST:PORT NAME: the sum of a metric over all its labels.
metric_sum() {
  local host=${1%:*} port=${1##*:}
  exec 8<>"/dev/tcp/$host/$port" || return 1
  printf 'GET /metrics HTTP/1.0\r\nHost: %s\r\n\r\n' "$1" >&8
  grep -E "^$2(\{| )" <&8 | awk '{ sum += $NF } END { print sum + 0 }'
  exec 8>&- 8<&-
}

# agents_ready COUNT: succeeds when every entry is connected to that many agents.
agents_ready() {
  local listing
  listing=$(CTL_WORDS=1 ctl status) || return 1
  [ "$(grep -c "agents $1 " <<<"$listing")" = "$CLUSTER_ENTRIES" ]
}

send_signal() { kill "-$2" "${CLUSTER_PIDS[$1]}"; } # NAME SIGNAL
kill_process() { kill -KILL "${CLUSTER_PIDS[$1]}" 2>/dev/null || true; wait "${CLUSTER_PIDS[$1]}" 2>/dev/null || true; unset "CLUSTER_PIDS[$1]"; }
stop_process() { local code=0; kill -TERM "${CLUSTER_PIDS[$1]}"; wait "${CLUSTER_PIDS[$1]}" || code=$?; unset "CLUSTER_PIDS[$1]"; return $code; }

cluster_stop() {
  local name
  for name in "${!CLUSTER_PIDS[@]}"; do
    kill -CONT "${CLUSTER_PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${CLUSTER_PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!CLUSTER_PIDS[@]}"; do wait "${CLUSTER_PIDS[$name]}" 2>/dev/null || true; done
  CLUSTER_PIDS=()
}

starts_report() { "$CLUSTER_ROOT/bin/bluebellramp-bench" starts "$CLUSTER_FOLDER"/starts/*.txt; }

# now_millis: the current time (ms since the epoch).
now_millis() { date +%s%3N; }

# new_submission_id: prints a new submission id (UUID version 7).
new_submission_id() {
  local now
  now=$(now_millis)
  printf '%08x-%04x-7%03x-a%03x-%04x%04x%04x\n' $((now >> 16)) $((now & 65535)) $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

# answer_field FILE NAME: the first value of a field in an answer printed by bluebellrampctl --json.
answer_field() { sed -n "s/^ *\"$2\": \"\{0,1\}\([^\",]*\)\"\{0,1\},*\$/\1/p" "$1" | head -1; }

# submit_job ENTRIES ID TASKS PAYLOAD FILE: submits a job of TASKS tasks with the same payload and writes the answer to FILE.
submit_job() {
  "$CLUSTER_ROOT/bin/bluebellrampctl" submit --entry "$1" --service "$SERVICE" --submission "$2" --tasks "$3" --payload "$4" --json >"$5" 2>"$5.err"
}

# start_count ID: the number of starts that the targets recorded for a submission.
# duplicate_start_count: the number of attempts at tasks that started more than once.
start_count() { cat "$CLUSTER_FOLDER"/starts/*.txt 2>/dev/null | grep -c "^$1 " || true; }
duplicate_start_count() { cat "$CLUSTER_FOLDER"/starts/*.txt 2>/dev/null | awk '{ print $1, $2 }' | sort | uniq -d | wc -l; }

# leader_number: the number of the control that is the leader, or nothing.
leader_number() { CTL_WORDS=1 ctl status | sed -n 's/^leader control-\([0-9]*\) .*/\1/p'; }
has_leader() { [ -n "$(leader_number)" ]; }
current_revision() { CTL_WORDS=1 ctl status | sed -n 's/^revision \([0-9]*\) .*/\1/p'; }
