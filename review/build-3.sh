#!/bin/sh
# Builds what the scripts of the third review start, from the sources of the
# stand-ins and the libraries that the build of the deploy file has made.
set -e
cd "$(dirname "$0")/.."
B=build/review-3
T=target
test -x $T/cuminmuxd || make -j8 B=$T $T/cuminmuxd
mkdir -p $B
gcc -O2 -g -Wall -Wextra -pthread -Iinclude -I. -Itest -D_GNU_SOURCE \
  -o $B/world review/standin-3/world.c review/standin-3/worker.c review/standin-3/pause.c \
  platform/test/soak/serve.c platform/test/soak/store.c test/standin/listen.c \
  test/support/tcp_forwarder.c demo/support/http.c \
  src/daemon/clock.c -Wl,--start-group $T/libplatform.a $T/libcell.a \
  $T/libadapter.a $T/libcore.a $T/libpolicy.a $T/libport.a $T/libmodel.a \
  $T/libbase.a -Wl,--end-group -lulfius -lorcania -ljansson -lzmq -lmsgpackc \
  -largtable2 -lck -lxxhash -lcurl -lmicrohttpd -lgnutls -lm
