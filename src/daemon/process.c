#include "process.h"

#include "base/log.h"

#include <pthread.h>

void
mux_block_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  sigaddset (signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
mux_wait_for_stop_signal (const sigset_t *signals)
{
  int number = 0;

  while (sigwait (signals, &number) != 0 || number == SIGHUP)
    if (number == SIGHUP)
      mux_log (MUX_LOG_NOTICE, "reload", "changed=nothing");
}

static const char *
null_if_empty (const char *text)
{
  return *text != 0 ? text : NULL;
}

MuxPeerZmqOptions
mux_peer_options (const MuxDaemonOptions *given)
{
  MuxPeerZmqOptions options = {
    .listen = given->peer_listen,
    .name = given->name,
    .secret_key = null_if_empty (given->curve_secret_key),
    .public_key = null_if_empty (given->curve_public_key),
  };

  return options;
}
