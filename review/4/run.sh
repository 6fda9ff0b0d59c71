#!/bin/sh
# review/4/run.sh [--seed N]; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-scenario.sh" review/4 avail "$@"
