#!/usr/bin/env bash
# A silent partition cuts the leader's VM off for 60 s while operators write on both sides under the same revision and jobs run.
# Each control listens and sends on an IP number of its own; its advertised address is a relay, which holds all bytes from and to
# an IP number that is cut. The majority's change is in force in time, nothing is accepted on the other side, and nothing reverts.
source "$(dirname "$0")/lib.sh"
ISOLATION_SECONDS=60
# Life of a permit (ms), inside which another leader must be there.
PERMIT_MILLIS=2000
# Two jobs of this size together keep all slots busy for longer than a command line takes to start.
JOB_TASKS=600

own_address() { echo "127.0.0.1$1:$((CLUSTER_PORT + 100 + $1))"; }

start_control() { # NUMBER
  local file="$CLUSTER_FOLDER/settings/control-$1.json"
  cat >"$file" <<JSON
{
  "member": "control-$1", "zone": "$(zone_of "$1")", "listen": "$(own_address "$1")",
  "advertised": "$(control_address "$1")", "bindOutgoing": true,
  "dataFolder": "$CLUSTER_FOLDER/data/control-$1", "members": $(members_json), "logFolder": "$CLUSTER_FOLDER/log"
}
JSON
  launch "control-$1" bluebellramp-control "$file"
}

start_relay() {
  local n routes=
  for n in 1 2 3; do routes+="${routes:+, }{\"listen\": \"$(control_address "$n")\", \"upstream\": \"$(own_address "$n")\"}"; done
  echo "{\"routes\": [$routes], \"cutFile\": \"$CLUSTER_FOLDER/cut\"}" >"$CLUSTER_FOLDER/settings/relay.json"
  "$CLUSTER_ROOT/bin/launch" io.bluebellramp.samples.RelayMainKt 48 --config "$CLUSTER_FOLDER/settings/relay.json" >"$CLUSTER_FOLDER/out/relay.txt" 2>&1 &
  CLUSTER_PIDS[relay]=$!
}

cut_off() { echo "127.0.0.1$1" >"$CLUSTER_FOLDER/cut.draft" && mv "$CLUSTER_FOLDER/cut.draft" "$CLUSTER_FOLDER/cut"; }
heal() { rm "$CLUSTER_FOLDER/cut"; }

# request METHOD HOST:PORT PATH [BODY]: the answer of one call, straight to a process.
request() {
  timeout 5 bash -c 'exec 7<>"/dev/tcp/${1%:*}/${1##*:}"
    printf "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s" "$2" "$3" "$1" "${#4}" "$4" >&7
    cat <&7' _ "$2" "$1" "$3" "${4:-}" 2>/dev/null || true
}
local_status() { request GET "$(own_address "$1")" "/v1/status?local=true"; }
local_revision() { local_status "$1" | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2; }
grants_lease() {
  request POST "$(own_address "$1")" /leases "{\"entry\": \"entry-9\", \"incarnation\": \"probe\", \"address\": \"127.0.0.1:1\",
    \"site\": \"$SITE\", \"zone\": \"$(zone_of 1)\", \"revision\": 0, \"oldestPermit\": 1000000, \"agents\": 0, \"leaving\": true}" | grep -q '"granted":true'
}
# change_at CONTROLS WORD...: a change through these controls only.
change_at() { local at=$1; shift; timeout 20 "$CLUSTER_ROOT/bin/bluebellrampctl" "$1" "$2" "$3" --control "$at" "${@:4}"; }

# record_revisions: one line "NUMBER REVISION" for each control, again and again.
record_revisions() { local n; while sleep 0.5; do for n in 1 2 3; do echo "$n $(local_revision "$n")"; done; done >>"$CLUSTER_FOLDER/revisions.txt"; }
# force_millis FILE: the time from acceptance to in force, as the answer in FILE tells it.
force_millis() { sed -n 's/.*in force everywhere after \([0-9]*\) ms more.*/\1/p' "$1"; }
# elected_millis SINCE: when one of the other controls became leader after SINCE (ms since the epoch), 0 if none did.
elected_millis() {
  local time at first=0
  for time in $(grep -h ': leader, leader control-' "$CLUSTER_FOLDER"/log/bluebellramp-control-*.log | sed -n 's/.*"time": "\([^"]*\)".*/\1/p'); do
    at=$(date -d "$time" +%s%3N)
    if [ "$at" -gt "$1" ] && { [ "$first" = 0 ] || [ "$at" -lt "$first" ]; }; then first=$at; fi
  done
  echo "$first"
}
# run_jobs ENTRY: jobs one after another until the file "stop" is there; one line for each outcome.
run_jobs() {
  local k=0 file id
  until [ -e "$CLUSTER_FOLDER/stop" ]; do
    k=$((k + 1)) file="$CLUSTER_FOLDER/job-$1-$k.json" id=$(new_submission)
    submit_to "$(entry_address "$1")" "$id" "$JOB_TASKS" "sleep:200" "$file" || true
    echo "$(answer_field "$file" outcome)" >>"$CLUSTER_FOLDER/outcomes.txt"
  done
}
# longest_pause FROM TO: the longest time between two starts at any targets (ms).
longest_pause() {
  cat "$CLUSTER_FOLDER"/starts/*.txt | awk -v from="$1" -v to="$2" '$5 >= from && $5 <= to { print $5 }' | sort -n |
    awk -v last="$1" '{ if ($1 - last > most) most = $1 - last; last = $1 } END { print most + 0 }'
}

cluster_prepare
start_relay
cluster_start
wait_for 60 has_leader
cluster_configure
wait_for 60 agents_ready "$CLUSTER_AGENTS"
leader=$(leader_number)
before=$(revision)
others=
for n in 1 2 3; do [ "$n" = "$leader" ] || others+="${others:+,}$(control_address "$n")"; done
grants_lease "$leader" || fail "the leader grants no lease before the partition"
run_jobs 1 & jobs=($!)
run_jobs 2 & jobs+=($!)
record_revisions & recorder=$!
trap 'kill "$recorder" "${jobs[@]}" 2>/dev/null || true; cluster_stop' EXIT
wait_for 30 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
sleep 2

echo "control-$leader is cut off under revision $before"
cut_off "$leader"
cut_at=$(now_millis)
change_at "$(own_address "$leader")" target out target-1 --based-on "$before" --change isolated-1 >"$CLUSTER_FOLDER/isolated.txt" 2>&1 &
isolated=$!
change_at "$others" target out target-2 --based-on "$before" --change majority-1 | tee "$CLUSTER_FOLDER/majority.txt" ||
  fail "the majority accepts no change"
equal "revision of the majority" $((before + 1)) "$(sed -n 's/.*revision \([0-9]*\).*/\1/p' "$CLUSTER_FOLDER/majority.txt" | head -1)"
at_most "from acceptance to in force (ms)" "$BOUND_MILLIS" "$(force_millis "$CLUSTER_FOLDER/majority.txt")"
elected_at=$(elected_millis "$cut_at")
[ "$elected_at" -gt 0 ] || fail "no other leader is recorded"
at_most "from the cut to another leader (ms)" "$PERMIT_MILLIS" $((elected_at - cut_at))
if wait "$isolated"; then fail "a change was accepted on the isolated side: $(cat "$CLUSTER_FOLDER/isolated.txt")"; fi
echo "isolated side: $(tail -1 "$CLUSTER_FOLDER/isolated.txt")"
grants_lease "$leader" && fail "the isolated control still grants leases"
equal "role of the isolated control is leader" 0 "$(local_status "$leader" | grep -c '"role":"leader"')"
equal "revision at the isolated control" "$before" "$(local_revision "$leader")"

zone=${ZONES[2]}
change_at "$others" zone out "$zone" --change majority-2 || fail "the zone cannot be taken out"
out_at=$(now_millis)
sleep 8
at_most "last start in $zone after its removal was in force (ms)" "$BOUND_MILLIS" $(($(last_start_in "$zone") - out_at))
change_at "$others" zone in "$zone" --change majority-3 || fail "the zone cannot be returned"
change_at "$others" target out target-2 --based-on "$before" --change majority-1 >"$CLUSTER_FOLDER/resent.txt" || fail "a resend is not answered as at first"
equal "revision in the answer to the resend" $((before + 1)) "$(sed -n 's/.*revision \([0-9]*\).*/\1/p' "$CLUSTER_FOLDER/resent.txt" | head -1)"
last=$((before + 3))
left=$((ISOLATION_SECONDS - ($(now_millis) - cut_at) / 1000))
[ "$left" -le 0 ] || sleep "$left"
equal "revision at the isolated control at the end" "$before" "$(local_revision "$leader")"
heal
healed_at=$(now_millis)
echo "isolated for $(((healed_at - cut_at) / 1000)) s"

caught_up() { [ "$(local_revision "$leader")" = "$last" ]; }
wait_for 10 caught_up || fail "the isolated control does not catch up: $(local_status "$leader")"
echo "caught up after (ms): $(($(now_millis) - healed_at))"
sleep 5
if change_at "$(own_address "$leader")" target out target-1 --based-on "$before" --change isolated-1 >"$CLUSTER_FOLDER/late.txt" 2>&1; then
  fail "the change of the isolated side was accepted late: $(cat "$CLUSTER_FOLDER/late.txt")"
fi
echo "resent after healing: $(tail -1 "$CLUSTER_FOLDER/late.txt")"
for n in 1 2 3; do equal "revision at control-$n" "$last" "$(local_revision "$n")"; done
CTL_WORDS=2 ctl target list >"$CLUSTER_FOLDER/targets.txt"
equal "targets out" target-2 "$(cat "$CLUSTER_FOLDER/targets.txt")"

touch "$CLUSTER_FOLDER/stop"
wait "${jobs[@]}"
kill "$recorder"
wait "$recorder" 2>/dev/null || true
equal "revisions that fell at a control" 0 "$(awk 'NF == 2 { if ($2 < last[$1]) fell++; last[$1] = $2 } END { print fell + 0 }' "$CLUSTER_FOLDER/revisions.txt")"
echo "jobs: $(sort "$CLUSTER_FOLDER/outcomes.txt" | uniq -c | tr '\n' ' ')"
equal "jobs that are not complete" 0 "$(grep -vc '^complete$' "$CLUSTER_FOLDER/outcomes.txt" || true)"
at_most "longest pause of all starts during the isolation (ms)" "$BOUND_MILLIS" "$(longest_pause "$cut_at" "$healed_at")"
none_twice
