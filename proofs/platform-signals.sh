#!/usr/bin/env bash
# SIGHUP reads the settings of a platform's process again, also when the file is damaged, and ends nothing; SIGTERM ends it with code 0.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=run/proofs/platform-signals
rm -rf "$folder"
mkdir -p "$folder"
fail() { echo "platform-signals: $*"; exit 1; }
trap 'kill "${process:-0}" 2>/dev/null || true' EXIT
port=19400
for role in control entry agent; do
  cat >"$folder/$role.json" <<SETTINGS
{"node": "n", "zone": "z", "host": "127.0.0.1", "seeds": ["127.0.0.1:$port"], "firstPort": $((port + 1)), "lastPort": $((port + 9)),
 "callers": "127.0.0.1:$((port + 5))", "readiness": "127.0.0.1:$((port + 6))", "operators": "127.0.0.1:$port",
 "target": "127.0.0.1:$((port + 7))", "dataFolder": "$folder/data-$role", "founding": true, "stopSeconds": 3}
SETTINGS
  java -Xmx96m -XX:+UseSerialGC -jar target/bluebellramp.jar "$role" --config "$folder/$role.json" >"$folder/$role.txt" 2>&1 &
  process=$!
  logged() { grep -q "\"decision\":\"$1\"" "$folder/$role.txt"; }
  soon() { for ((n = 0; n < 200; n++)); do "$@" && return 0; sleep 0.1; done; return 1; }
  soon logged started || fail "$role did not start"
  kill -HUP "$process"
  soon logged reload || fail "$role did not read its settings again"
  echo '{' >"$folder/$role.json"
  kill -HUP "$process"
  soon logged reload_refused || fail "$role did not refuse damaged settings"
  kill -0 "$process" || fail "$role has ended"
  kill -TERM "$process"
  code=0
  wait "$process" || code=$?
  [ "$code" = 0 ] || fail "$role ended with code $code"
  logged stopped || fail "$role did not say that it stopped"
  echo "$role: read again, refused damaged settings, stopped with 0"
done
