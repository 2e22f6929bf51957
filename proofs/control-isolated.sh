#!/usr/bin/env bash
# A partition without connection resets isolates the leader's VM for 60 s, while operators submit changes based on the same revision on both
# sides and jobs run. Each control listens on and connects from its own IP address; its advertised address is a relay, which holds back all
# bytes from and to an isolated IP address. The majority's change must be in force within the bound, the isolated side must accept nothing,
# and no revision may go back.
source "$(dirname "$0")/lib.sh"
ISOLATION_SECONDS=60
# Lifetime of a permit. A new leader must be elected within it, so that an election does not interrupt work.
PERMIT_LIFETIME_MILLIS=2000
# Two jobs of this size keep all slots busy for longer than bluebellrampctl takes to start.
JOB_TASKS=600

direct_address() { echo "127.0.0.1$1:$((CLUSTER_PORT + 100 + $1))"; }

start_control() { # NUMBER
  local file="$CLUSTER_FOLDER/settings/control-$1.json"
  cat >"$file" <<JSON
{
  "member": "control-$1", "zone": "$(zone_of "$1")", "listen": "$(direct_address "$1")",
  "advertised": "$(control_address "$1")", "bindOutgoing": true,
  "dataFolder": "$CLUSTER_FOLDER/data/control-$1", "members": $(founding_members_json), "logFolder": "$CLUSTER_FOLDER/log"
}
JSON
  launch "control-$1" bluebellramp-control "$file"
}

start_relay() {
  local n routes=
  for n in 1 2 3; do routes+="${routes:+, }{\"listen\": \"$(control_address "$n")\", \"upstream\": \"$(direct_address "$n")\"}"; done
  echo "{\"routes\": [$routes], \"cutFile\": \"$CLUSTER_FOLDER/cut\"}" >"$CLUSTER_FOLDER/settings/relay.json"
  "$CLUSTER_ROOT/bin/launch" io.bluebellramp.samples.RelayMainKt 48 --config "$CLUSTER_FOLDER/settings/relay.json" >"$CLUSTER_FOLDER/out/relay.txt" 2>&1 &
  CLUSTER_PIDS[relay]=$!
}

isolate_control() { echo "127.0.0.1$1" >"$CLUSTER_FOLDER/cut.draft" && mv "$CLUSTER_FOLDER/cut.draft" "$CLUSTER_FOLDER/cut"; }
heal_partition() { rm "$CLUSTER_FOLDER/cut"; }

# http_request METHOD HOST:PORT PATH [BODY]: prints the response of a process, without the relay.
http_request() {
  timeout 5 bash -c 'exec 7<>"/dev/tcp/${1%:*}/${1##*:}"
    printf "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s" "$2" "$3" "$1" "${#4}" "$4" >&7
    cat <&7' _ "$2" "$1" "$3" "${4:-}" 2>/dev/null || true
}
local_status() { http_request GET "$(direct_address "$1")" "/v1/status?local=true"; }
local_revision() { local_status "$1" | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2; }
grants_lease() {
  http_request POST "$(direct_address "$1")" /leases "{\"entry\": \"entry-9\", \"incarnation\": \"probe\", \"address\": \"127.0.0.1:1\",
    \"site\": \"$SITE\", \"zone\": \"$(zone_of 1)\", \"revision\": 0, \"oldestPermit\": 1000000, \"agents\": 0, \"leaving\": true}" | grep -q '"granted":true'
}
# apply_change_at CONTROLS WORD...: submits a change through these controls only.
apply_change_at() { local controls=$1; shift; timeout 20 "$CLUSTER_ROOT/bin/bluebellrampctl" "$1" "$2" "$3" --control "$controls" "${@:4}"; }

# record_revisions: appends a line "NUMBER REVISION" for each control to revisions.txt, pausing 0.5 s between rounds, until it is killed.
record_revisions() { local n; while sleep 0.5; do for n in 1 2 3; do echo "$n $(local_revision "$n")"; done; done >>"$CLUSTER_FOLDER/revisions.txt"; }
# in_force_millis FILE: the time from acceptance until in force, as reported by the answer in FILE (ms).
in_force_millis() { sed -n 's/.*in force everywhere after \([0-9]*\) ms more.*/\1/p' "$1"; }
# first_election_millis_after SINCE: when a control first became leader after SINCE (both in ms since the epoch), 0 if none did.
first_election_millis_after() {
  local time at first=0
  for time in $(grep -h ': leader, leader control-' "$CLUSTER_FOLDER"/log/bluebellramp-control-*.log | sed -n 's/.*"time": "\([^"]*\)".*/\1/p'); do
    at=$(date -d "$time" +%s%3N)
    if [ "$at" -gt "$1" ] && { [ "$first" = 0 ] || [ "$at" -lt "$first" ]; }; then first=$at; fi
  done
  echo "$first"
}
# run_jobs_until_stopped ENTRY: submits one job after another until the file "stop" exists; appends each outcome to outcomes.txt.
run_jobs_until_stopped() {
  local number=0 file id
  until [ -e "$CLUSTER_FOLDER/stop" ]; do
    number=$((number + 1)) file="$CLUSTER_FOLDER/job-$1-$number.json" id=$(new_submission_id)
    submit_job "$(entry_address "$1")" "$id" "$JOB_TASKS" "sleep:200" "$file" || true
    echo "$(answer_field "$file" outcome)" >>"$CLUSTER_FOLDER/outcomes.txt"
  done
}
# longest_start_gap_millis FROM TO: the longest time without a task start at any target between FROM and TO (ms since the epoch).
longest_start_gap_millis() {
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
initial_revision=$(current_revision)
other_controls=
for n in 1 2 3; do [ "$n" = "$leader" ] || other_controls+="${other_controls:+,}$(control_address "$n")"; done
grants_lease "$leader" || fail "the leader grants no lease before the partition"
run_jobs_until_stopped 1 & job_loop_pids=($!)
run_jobs_until_stopped 2 & job_loop_pids+=($!)
record_revisions & recorder_pid=$!
trap 'kill "$recorder_pid" "${job_loop_pids[@]}" 2>/dev/null || true; cluster_stop' EXIT
wait_for 30 test -s "$CLUSTER_FOLDER/starts/target-1.txt"
sleep 2

echo "control-$leader is cut off under revision $initial_revision"
isolate_control "$leader"
isolated_at_millis=$(now_millis)
apply_change_at "$(direct_address "$leader")" target out target-1 --based-on "$initial_revision" --change isolated-1 >"$CLUSTER_FOLDER/isolated.txt" 2>&1 &
isolated_change_pid=$!
apply_change_at "$other_controls" target out target-2 --based-on "$initial_revision" --change majority-1 | tee "$CLUSTER_FOLDER/majority.txt" ||
  fail "the majority accepts no change"
assert_equal "revision of the majority" $((initial_revision + 1)) "$(sed -n 's/.*revision \([0-9]*\).*/\1/p' "$CLUSTER_FOLDER/majority.txt" | head -1)"
assert_at_most "from acceptance to in force (ms)" "$IN_FORCE_BOUND_MILLIS" "$(in_force_millis "$CLUSTER_FOLDER/majority.txt")"
elected_at_millis=$(first_election_millis_after "$isolated_at_millis")
[ "$elected_at_millis" -gt 0 ] || fail "no other leader is recorded"
assert_at_most "from the cut to another leader (ms)" "$PERMIT_LIFETIME_MILLIS" $((elected_at_millis - isolated_at_millis))
if wait "$isolated_change_pid"; then fail "a change was accepted on the isolated side: $(cat "$CLUSTER_FOLDER/isolated.txt")"; fi
echo "isolated side: $(tail -1 "$CLUSTER_FOLDER/isolated.txt")"
grants_lease "$leader" && fail "the isolated control still grants leases"
assert_equal "role of the isolated control is leader" 0 "$(local_status "$leader" | grep -c '"role":"leader"')"
assert_equal "revision at the isolated control" "$initial_revision" "$(local_revision "$leader")"

zone=${ZONES[2]}
apply_change_at "$other_controls" zone out "$zone" --change majority-2 || fail "the zone cannot be taken out"
zone_out_at_millis=$(now_millis)
sleep 8
assert_at_most "last start in $zone after its removal was in force (ms)" "$IN_FORCE_BOUND_MILLIS" $(($(last_start_millis_in_zone "$zone") - zone_out_at_millis))
apply_change_at "$other_controls" zone in "$zone" --change majority-3 || fail "the zone cannot be returned"
apply_change_at "$other_controls" target out target-2 --based-on "$initial_revision" --change majority-1 >"$CLUSTER_FOLDER/resent.txt" || fail "a resend is not answered as at first"
assert_equal "revision in the answer to the resend" $((initial_revision + 1)) "$(sed -n 's/.*revision \([0-9]*\).*/\1/p' "$CLUSTER_FOLDER/resent.txt" | head -1)"
final_revision=$((initial_revision + 3))
remaining_seconds=$((ISOLATION_SECONDS - ($(now_millis) - isolated_at_millis) / 1000))
[ "$remaining_seconds" -le 0 ] || sleep "$remaining_seconds"
assert_equal "revision at the isolated control at the end" "$initial_revision" "$(local_revision "$leader")"
heal_partition
healed_at_millis=$(now_millis)
echo "isolated for $(((healed_at_millis - isolated_at_millis) / 1000)) s"

has_caught_up() { [ "$(local_revision "$leader")" = "$final_revision" ]; }
wait_for 10 has_caught_up || fail "the isolated control does not catch up: $(local_status "$leader")"
echo "caught up after (ms): $(($(now_millis) - healed_at_millis))"
sleep 5
if apply_change_at "$(direct_address "$leader")" target out target-1 --based-on "$initial_revision" --change isolated-1 >"$CLUSTER_FOLDER/late.txt" 2>&1; then
  fail "the change of the isolated side was accepted late: $(cat "$CLUSTER_FOLDER/late.txt")"
fi
echo "resent after healing: $(tail -1 "$CLUSTER_FOLDER/late.txt")"
for n in 1 2 3; do assert_equal "revision at control-$n" "$final_revision" "$(local_revision "$n")"; done
CTL_WORDS=2 ctl target list >"$CLUSTER_FOLDER/targets.txt"
assert_equal "targets out" target-2 "$(cat "$CLUSTER_FOLDER/targets.txt")"

touch "$CLUSTER_FOLDER/stop"
wait "${job_loop_pids[@]}"
kill "$recorder_pid"
wait "$recorder_pid" 2>/dev/null || true
assert_equal "revisions that fell at a control" 0 "$(awk 'NF == 2 { if ($2 < last[$1]) fell++; last[$1] = $2 } END { print fell + 0 }' "$CLUSTER_FOLDER/revisions.txt")"
echo "jobs: $(sort "$CLUSTER_FOLDER/outcomes.txt" | uniq -c | tr '\n' ' ')"
assert_equal "jobs that are not complete" 0 "$(grep -vc '^complete$' "$CLUSTER_FOLDER/outcomes.txt" || true)"
assert_at_most "longest pause of all starts during the isolation (ms)" "$IN_FORCE_BOUND_MILLIS" "$(longest_start_gap_millis "$isolated_at_millis" "$healed_at_millis")"
assert_no_duplicate_starts
