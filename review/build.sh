#!/bin/sh
# Builds the stand-ins of the cases with scripts, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
  -o target/review/scenario review/standin/*.c -ljansson
