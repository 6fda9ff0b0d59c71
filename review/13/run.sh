#!/bin/sh
# run.sh [--seed N]; TROUBLE=0: without the disruption
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standin-3/play.sh" "$here" attempts "$@"
