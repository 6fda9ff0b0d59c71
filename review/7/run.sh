#!/bin/bash
# The operator adds a route with a long name and takes another route away, in one
# version of the configuration.
# Exits with 1 if a request sent later than config_apply_ms after the
# acknowledgement is handled as only the older version allows: the rule CONFIG.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standin-2/cell.sh"

config_apply_ms=2000
name=gift-voucher-redemption-batch-of-the-winter-season-2026
[ "$TROUBLE" = 0 ] && name=gift-voucher-redemption

# route NAME PREFIX
route () {
  echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"path_prefix\":\"$2\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"basket\",\"max_attempts\":4,\"slack_factor\":4.0}"
}
# configure VERSION ROUTES: stores a configuration and waits for the answer
configure () {
  echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"basket\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls_enabled\":false,\"enforces_capacity\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}" > "$dir/config"
  note "the operator stores: $(cat "$dir/config")"
  mv "$dir/config" "$dir/new-config"
  while [ -e "$dir/new-config" ]; do sleep 0.02; done
  note "acknowledged"
}
# submit N PREFIX: hands a job in at daemon N; prints the answer
body='{"spec":"x","steps":[{"count":1,"cpu":500,"memory_request_mb":64,"estimated_ms":200}]}'
submit () {
  eval "front=\$front_$1"
  jobs=$((jobs + 1))
  id=$(printf '%016x' $((seed * 1000 + jobs)))
  answer=$("$tools/client" call POST "$front" "$2$id" "$body")
  note "daemon $1: POST $2$id: $answer"
}

start_platform 12 work_ms=200 seed="$seed"
for n in 1 2 3; do start_daemon $n 260; done
wait_ready 1 2 3
jobs=0
configure 2 "$(route r-1 /q/),$(route r-2 /old/)"
sleep 3
submit 1 /old/
case "$answer" in 200*) ;; *) exit 2 ;; esac
configure 3 "$(route r-1 /q/),$(route $name /new/)"
sleep $((config_apply_ms / 1000 + 1))
broken=0
for second in 1 5 10; do
  for n in 1 2 3; do
    submit $n /new/
    case "$answer" in 404*) broken=$((broken + 1)) ;; esac
    submit $n /old/
    case "$answer" in 200*) broken=$((broken + 1)) ;; esac
  done
  sleep 4
done
note "the three daemons are stopped and started again"
for n in 1 2 3; do
  eval "pid=\$daemon_$n"
  kill -TERM "$pid"
  wait "$pid" 2>/dev/null
  start_daemon $n 260
done
sleep 6
for n in 1 2 3; do submit $n /q/; done
note "requests that were handled as only version 2 allows: $broken of 18"
[ $broken = 0 ] || exit 1
exit 0
