#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into review/target, with the JDK alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
shopt -s nullglob
javac -Xlint:-options -d target harness/*.java [1-5]/*.java
