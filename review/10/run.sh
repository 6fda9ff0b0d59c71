#!/bin/bash
# The policy service gives tickets of 160 characters, as a signed token has.
# Exits with 1 if accepted jobs have nothing running for 3 s though there is
# room for them twice over: the rule LOST.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standin-2/cell.sh"

chars=160
[ "$TROUBLE" = 0 ] && chars=16
jobs=10

start_platform 12 work_ms=500 ticket_chars=$chars seed="$seed"
for n in 1 2 3; do start_daemon $n 260; done
wait_ready 1 2 3
sleep 2
"$tools/client" jobs "$record" $jobs 200 1000 30000 \
  '{"spec":"x","steps":[{"count":2,"cpu":2000,"memory_request_mb":256,"estimated_ms":500}]}' \
  "$front_1" "$front_2" "$front_3"
accepted=$(awk '$2 == "submit" && int($4 / 100) == 2 { print $3 }' "$record" | sort -u | wc -l)
open=$(grep -c " open .* accepted$" "$record")
for n in 1 2 3; do
  grep -q '"event":"placed"\|start_refused' "$dir/daemon-$n.log" && note "daemon $n gave orders"
done
grep " refused " "$dir/events" | head -n 10 >> "$record"
note "accepted: $accepted; not ended after 30 s: $open; starts: $(grep -c " start " "$dir/events"); starts refused for their ticket: $(grep -c " refused " "$dir/events")"
[ "$accepted" -gt 0 ] || exit 2
# All room is free while nothing runs: any job that has not begun breaks the rule.
[ "$open" = 0 ] || exit 1
exit 0
