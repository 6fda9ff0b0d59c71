#!/bin/sh
# review/run-scenario.sh FOLDER SCENARIO [--seed N]: plays a scenario of
# review/standin/ and writes FOLDER/record.txt.  TROUBLE=0 leaves the
# disruption out.  Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
folder=$1
scenario=$2
seed=1
[ "$3" = --seed ] && seed=$4
cd "$(dirname "$0")/.." || exit 2
[ -x target/cuminmuxd ] && [ -x target/review/scenario ] || exit 2
SCRATCH=$(mktemp -d) || exit 2
export SCRATCH
target/review/scenario "$scenario" target/cuminmuxd "$folder/record.txt" \
  "$seed" "${TROUBLE:-1}" &
pid=$!
# The daemons end with the scenario.
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
rm -rf "$SCRATCH"
[ "$status" -le 1 ] || status=2
exit "$status"
