#!/usr/bin/env bash
# SIGHUP makes a process of the platform jar reload its settings and reject a damaged file without exiting; SIGTERM ends it with code 0.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=run/proofs/platform-signals
rm -rf "$folder"
mkdir -p "$folder"
fail() { echo "platform-signals: $*"; exit 1; }
trap 'kill "${pid:-0}" 2>/dev/null || true' EXIT
port=19400
for role in control entry agent; do
  cat >"$folder/$role.json" <<SETTINGS
{"node": "n", "zone": "z", "host": "127.0.0.1", "seeds": ["127.0.0.1:$port"], "firstPort": $((port + 1)), "lastPort": $((port + 9)),
 "callers": "127.0.0.1:$((port + 5))", "readiness": "127.0.0.1:$((port + 6))", "operators": "127.0.0.1:$port",
 "target": "127.0.0.1:$((port + 7))", "dataFolder": "$folder/data-$role", "founding": true, "stopSeconds": 3}
SETTINGS
  java -Xmx96m -XX:+UseSerialGC -jar target/bluebellramp.jar "$role" --config "$folder/$role.json" >"$folder/$role.txt" 2>&1 &
  pid=$!
  has_logged() { grep -q "\"decision\":\"$1\"" "$folder/$role.txt"; }
  wait_until() { for ((n = 0; n < 200; n++)); do "$@" && return 0; sleep 0.1; done; return 1; }
  wait_until has_logged started || fail "$role did not start"
  kill -HUP "$pid"
  wait_until has_logged reload || fail "$role did not read its settings again"
  echo '{' >"$folder/$role.json"
  kill -HUP "$pid"
  wait_until has_logged reload_refused || fail "$role did not refuse damaged settings"
  kill -0 "$pid" || fail "$role has ended"
  kill -TERM "$pid"
  code=0
  wait "$pid" || code=$?
  [ "$code" = 0 ] || fail "$role ended with code $code"
  has_logged stopped || fail "$role did not say that it stopped"
  echo "$role: read again, refused damaged settings, stopped with 0"
done
