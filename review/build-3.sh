#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review-3. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/standins-3/*.java
