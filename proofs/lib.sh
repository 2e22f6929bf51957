# Functions and defaults shared by the proofs (end-to-end tests with real processes). Source this file after setting the CLUSTER_ variables.
export CLUSTER_CONTROLS=${CLUSTER_CONTROLS:-3} CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-2} CLUSTER_AGENTS=${CLUSTER_AGENTS:-3}
PROOF_NAME=$(basename "$0" .sh)
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/proofs/$PROOF_NAME}
export CLUSTER_PORT=${CLUSTER_PORT:-18000}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../scripts/cluster.sh"
trap cluster_stop EXIT

# Required upper bound on the time from acceptance of a change until it is in force everywhere.
IN_FORCE_BOUND_MILLIS=3000

fail() { echo "$PROOF_NAME: $*"; exit 1; }
# assert_equal WHAT EXPECTED ACTUAL, assert_at_most WHAT BOUND ACTUAL: end the proof with code 1 if the assertion does not hold.
assert_equal() { [ "$2" = "$3" ] || fail "$1: expected $2, was $3"; echo "$1: $3"; }
assert_at_most() { [ "$3" -le "$2" ] || fail "$1: at most $2, was $3"; echo "$1: $3 (at most $2)"; }

start_ready_cluster() {
  cluster_prepare
  cluster_start
  cluster_configure
  wait_for 60 agents_ready "$CLUSTER_AGENTS"
}

# assert_no_duplicate_starts: fails if any attempt at a task started more than once.
assert_no_duplicate_starts() { assert_equal "tasks that started twice" 0 "$(duplicate_start_count)"; }

# last_start_millis_in_zone ZONE: the time of the last start at a target of the zone (ms since the epoch), 0 if none.
last_start_millis_in_zone() {
  local n last=0 at
  for ((n = 1; n <= CLUSTER_AGENTS; n++)); do
    [ "$(zone_of "$n")" = "$1" ] || continue
    at=$(tail -1 "$CLUSTER_FOLDER/starts/target-$n.txt" 2>/dev/null | awk '{ print $5 }')
    [ "${at:-0}" -gt "$last" ] && last=$at
  done
  echo "$last"
}
