#!/usr/bin/env bash
# run-case.sh N: runs review/N as review/N/run.sh does. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.."
case "$1" in [1-5]) ;; *) exit 2 ;; esac
[ -s target/bluebellramp.jar ] && [ -d review/target ] || { echo "build first: deploy/build, then review/build.sh"; exit 2; }
code=0
timeout --signal=TERM --kill-after=5 112 java -Dsun.net.httpserver.nodelay=true -cp review/target "Case$1" "review/$1" || code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
