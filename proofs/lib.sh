# What every proof with real processes shares. Source it after setting the CLUSTER_ variables.
export CLUSTER_CONTROLS=${CLUSTER_CONTROLS:-3} CLUSTER_ENTRIES=${CLUSTER_ENTRIES:-2} CLUSTER_AGENTS=${CLUSTER_AGENTS:-3}
PROOF_NAME=$(basename "$0" .sh)
export CLUSTER_FOLDER=${CLUSTER_FOLDER:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/proofs/$PROOF_NAME}
export CLUSTER_PORT=${CLUSTER_PORT:-18000}
# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../scripts/cluster.sh"
trap cluster_stop EXIT

# The users' bound between acceptance of a change and its being in force everywhere (ms).
BOUND_MILLIS=3000

fail() { echo "$PROOF_NAME: $*"; exit 1; }
# equal WHAT EXPECTED ACTUAL, at_most WHAT BOUND ACTUAL: fail unless it holds.
equal() { [ "$2" = "$3" ] || fail "$1: expected $2, was $3"; echo "$1: $3"; }
at_most() { [ "$3" -le "$2" ] || fail "$1: at most $2, was $3"; echo "$1: $3 (at most $2)"; }

begin() {
  cluster_prepare
  cluster_start
  cluster_configure
  wait_for 60 agents_ready "$CLUSTER_AGENTS"
}

# none_twice: fails if any task started twice.
none_twice() { equal "tasks that started twice" 0 "$(starts_twice)"; }

# last_start_in ZONE: the last start at a target of the zone (ms since the epoch), 0 if none.
last_start_in() {
  local n last=0 at
  for ((n = 1; n <= CLUSTER_AGENTS; n++)); do
    [ "$(zone_of "$n")" = "$1" ] || continue
    at=$(tail -1 "$CLUSTER_FOLDER/starts/target-$n.txt" 2>/dev/null | awk '{ print $5 }')
    [ "${at:-0}" -gt "$last" ] && last=$at
  done
  echo "$last"
}
