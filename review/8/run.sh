#!/bin/bash
# A job is handed in that is to run every 90 days, four times, from now on.
# Exits with 1 if an occurrence begins before its time: the rule ORDER.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standin-2/cell.sh"

day_ms=$((24 * 3600 * 1000))
interval_ms=$((90 * day_ms))
[ "$TROUBLE" = 0 ] && interval_ms=$((30 * day_ms))

start_platform 12 work_ms=1000 seed="$seed"
for n in 1 2 3; do start_daemon $n 260; done
wait_ready 1 2 3
sleep 2
id=$(printf '%016x' $((seed * 1000 + 1)))
due=$(date +%s%3N)
body="{\"spec\":\"settlement\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memory_request_mb\":1024,\"estimated_ms\":1000}],\"first_due_ms\":$due,\"interval_ms\":$interval_ms,\"repetitions\":4}"
note "sent: POST /q/$id $body"
answer=$("$tools/client" call POST "$front_1" "/q/$id" "$body")
note "answer: $answer"
sleep 12
note "state: $("$tools/client" call GET "$front_2" "/q/$id")"
grep " start \| end " "$dir/events" >> "$record"
on_time=$(grep -c " start [^ ]* $id\.0\." "$dir/events")
early=$(grep " start [^ ]* $id\." "$dir/events" | grep -vc " $id\.0\.")
note "starts of the occurrence that is due: $on_time; of later ones: $early"
[ "$early" = 0 ] || exit 1
# A job that is refused for what it asks for owes no start; one of 30 days is not.
case "$answer" in
  4[0-9][0-9]*) [ "$TROUBLE" != 0 ] && [ "$on_time" = 0 ] && exit 0 ;;
esac
[ "$on_time" -gt 0 ] || exit 2
exit 0
