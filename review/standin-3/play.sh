#!/bin/sh
# play.sh FOLDER SCENARIO [--seed N]: one play; the record stands in
# FOLDER/record.txt.  TROUBLE=0: without the disruption.
folder=$(cd "$1" && pwd)
scenario=$2
shift 2
seed=1
test "$1" = --seed && seed=$2
cd "$(dirname "$0")/../.." || exit 2
test -x build/review-3/world && test -x target/cuminmuxd || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
rm -f "$folder/record.txt"
timeout -k 2 118 build/review-3/world "$scenario" "$seed" "${TROUBLE:-1}" \
  "$folder/record.txt" "$scratch"
status=$?
test -n "$KEEP" && cp "$scratch"/*.log "$KEEP"
test $status -le 1 || status=2
exit $status
