# Sourced by the scripts of the cases: starts the stand-in for the platform and
# daemons with the command and the settings of deploy/system.toml, and ends
# exactly what it has started.  Needs $case (the folder of the case).
root=$(cd "$case/../.." && pwd)
tools=$root/target/review-2
record=$case/record.txt

for program in "$root/target/cuminmuxd" "$tools/platform" "$tools/client"; do
  if [ ! -x "$program" ]; then
    echo "can't run: $program is missing" >&2
    exit 2
  fi
done
dir=$(mktemp -d)
: > "$record"

# The shell's own children that still run, and no number that may be another's.
end_all () {
  for pid in $(jobs -pr); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap end_all EXIT
trap 'exit 2' INT TERM

note () {
  echo "$(($(date +%s%3N) - began)) $*" >> "$record"
}
began=$(date +%s%3N)

# start_platform WORKERS [NAME=VALUE...]
start_platform () {
  "$tools/platform" "$dir" "$@" 2> "$dir/platform.err" &
  for try in $(seq 100); do
    [ -e "$dir/store" ] && return
    sleep 0.1
  done
  echo "can't run: the platform does not start" >&2
  exit 2
}

# Ports below those that the system gives to outgoing connections; a range in
# which nothing listens.
find_ports () {
  for try in $(seq 50); do
    port_base=$((10000 + ($$ + try * 37) % 1400 * 16))
    for port in $(seq $((port_base + 4)) $((port_base + 15))); do
      (: < "/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue 2
    done
    return
  done
}
find_ports

# start_daemon N MEMORY_MB: daemon N listens on 127.0.0.1
start_daemon () {
  eval "zone=\$(echo nizwa-hall bahla-hall izki-hall | cut -d' ' -f$((($1 - 1) % 3 + 1)))"
  port=$((port_base + $1 * 4))
  eval "front_$1=127.0.0.1:$port"
  (
    cd "$root" || exit 2
    exec env -i PATH="$PATH" HOME="$dir" LANG=C CUMINMUX_NODE_FILE="$dir/node.toml" \
      CUMINMUX_NAME="frontend-$zone-$1" CUMINMUX_DATA_CENTRE="$zone" \
      CUMINMUX_LISTEN="127.0.0.1:$port" CUMINMUX_READY_LISTEN="127.0.0.1:$((port + 1))" \
      CUMINMUX_METRICS_LISTEN="127.0.0.1:$((port + 2))" \
      CUMINMUX_PEER_LISTEN="127.0.0.1:$((port + 3))" CUMINMUX_CPU_SHARE=0.25 \
      CUMINMUX_MEMORY_MB="$2" CUMINMUX_LINK_MBPS=1000.0 \
      CUMINMUX_STORE="$(cat "$dir/store")" CUMINMUX_APPROVALS="$(cat "$dir/advisor")" \
      CUMINMUX_REVOKE_TIMEOUT_MS= CUMINMUX_QUOTA_OVERRUN= CUMINMUX_LEASE_MS=6000 \
      CUMINMUX_HEARTBEAT_MS=250 CUMINMUX_SUSPECT_MS=600 CUMINMUX_DEAD_MS=1000 \
      target/cuminmuxd
  ) >> "$dir/daemon-$1.log" 2>&1 &
  eval "daemon_$1=$!"
}

# wait_ready N...: until these daemons are ready
wait_ready () {
  for n in "$@"; do
    eval "port=\${front_$n#*:}"
    for try in $(seq 150); do
      case "$("$tools/client" call GET "127.0.0.1:$((port + 1))" /-/readiness)" in
        200*) continue 2 ;;
      esac
      sleep 0.1
    done
    echo "can't run: daemon $n is not ready" >&2
    exit 2
  done
}

seed=1
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    *) echo "usage: run.sh [--seed N]" >&2; exit 2 ;;
  esac
done
