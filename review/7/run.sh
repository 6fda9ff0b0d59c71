#!/bin/bash
# Workers crash one after the other and come back; no run ever ends "failed".
# Exits with 1 if an accepted job that nobody cancelled is shown as failed: the
# rule LOST.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standin-2/cell.sh"

jobs=200
crashes="crash_from_ms=6000 crash_until_ms=80000 crash_every_ms=2000 crash_down_ms=3000"
[ "$TROUBLE" = 0 ] && crashes=

start_platform 14 work_ms=5000 seed="$seed" $crashes
for n in 1 2 3; do start_daemon $n 260; done
wait_ready 1 2 3
sleep 2
note "three daemons ready; $jobs jobs of eight tasks follow, each task works 5 s"
"$tools/client" jobs "$record" $jobs 350 85000 112000 \
  '{"spec":"x","steps":[{"count":8,"cpu":2000,"memory_request_mb":256,"estimated_ms":5000}]}' \
  "$front_1" "$front_2" "$front_3"
sort -k2,2 -s "$record" > /dev/null
accepted=$(awk '$2 == "submit" && int($4 / 100) == 2 { print $3 }' "$record" | sort -u | wc -l)
failed=$(awk '$2 == "state" && /"failed"/ { print $3 }' "$record")
note "accepted: $accepted; runs that ended failed: $(grep -c '^[0-9]* end .* failed$' "$dir/events")"
note "workers that crashed: $(grep -c 'crashes$' "$dir/events"); runs lost with them: $(grep -c '^[0-9]* lost ' "$dir/events"); runs done: $(grep -c '^[0-9]* end .* done$' "$dir/events")"
for id in $failed; do
  note "shown as failed without cause: $id; its tasks that were lost three times or more:"
  awk -v id="$id" '($2 == "lost" || $2 == "start" || $2 == "end") && index($4, id) == 1 { l[$4] = l[$4] "\n    " $0; if ($2 == "lost") n[$4]++ }
       END { for (t in n) if (n[t] >= 3) print l[t] }' "$dir/events" >> "$record"
done
[ "$accepted" -gt 0 ] || exit 2
[ -z "$failed" ] || exit 1
exit 0
