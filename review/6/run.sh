#!/bin/bash
# The planner is killed while the small tasks of some jobs run on a worker; they
# end before its successor asks that worker, which lists 500 ends at a time.
# Exits with 1 if a task starts again after its run has ended done and that end
# is acknowledged then or later, unless the worker's lease lapsed between the two:
# the rule TWICE.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standin-2/cell.sh"

jobs=16
tasks=50
work_ms=4000

start_platform 12 work_ms=$work_ms seed="$seed"
for n in 1 2 3; do start_daemon $n 260; done
wait_ready 1 2 3
sleep 2
body="{\"spec\":\"x\",\"steps\":[{\"count\":$tasks,\"cpu\":40,\"memory_request_mb\":40,\"estimated_ms\":$work_ms}]}"
note "$jobs times: POST /q/ID $body"
for job in $(seq $jobs); do
  id=$(printf '%016x' $((seed * 1000 + job)))
  note "$id: $("$tools/client" call POST "$front_1" "/q/$id" "$body")"
done
sleep 3.5
note "starts so far: $(grep -c " start " "$dir/events")"
# The planner is the daemon that has logged a placement.
for n in 1 2 3; do
  grep -q '"event":"placed"' "$dir/daemon-$n.log" || continue
  eval "pid=\$daemon_$n"
  if [ "$TROUBLE" != 0 ]; then
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null
    note "the planner, daemon $n, was killed"
    sleep 1
    start_daemon $n 260
  fi
  break
done
sleep 25
note "state of the last: $("$tools/client" call GET "$front_3" "/q/$id")"
awk '$2 == "start" { if ($4 in done) { again[$4] = $0 } }
     $2 == "end" && $6 == "done" { if (!($4 in done)) done[$4] = $0; ended[$4 " " $5] = $1 }
     $2 == "lapse" { lapse[$3] = $1 }
     $2 == "acked" && $6 == "done" && !($3 in lapse && lapse[$3] >= ended[$4 " " $5]) { acked[$4 " " $5] = $0 }
     END { for (t in again) { split(done[t], e, " "); if ((t " " e[5]) in acked) {
             print done[t]; print again[t]; print acked[t " " e[5]]; n++ } }
           print "twice " n + 0 }' "$dir/events" > "$dir/judged"
twice=$(awk '/^twice/ { print $2 }' "$dir/judged")
head -n 15 "$dir/judged" >> "$record"
note "starts: $(grep -c " start " "$dir/events"), ends done: $(grep -c " end .* done$" "$dir/events"); tasks started again after an end done that was acknowledged: $twice"
[ "$(grep -c " start " "$dir/events")" -ge $((jobs * tasks)) ] || exit 2
[ "$twice" = 0 ] || exit 1
exit 0
