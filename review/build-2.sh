#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc="gcc -O2 -g -Wall -Wextra -pthread"
$cc -o target/review-2/platform review/standin-2/platform.c -lmicrohttpd -ljansson
$cc -o target/review-2/client review/standin-2/client.c
