#ifndef DAEMON_PROCESS_H
#define DAEMON_PROCESS_H

#include "settings_table.h"

#include "adapter/peer.h"

#include <signal.h>

/** DOC: process set-up that both kinds of daemon share */

/**
 * mux_block_signals() - block SIGTERM, SIGINT and SIGHUP, ignore SIGPIPE
 * @signals: receives the set of blocked signals
 *
 * To be called before any thread starts, so that all threads inherit the mask.
 * With SIGPIPE ignored, a write to a closed connection fails with EPIPE.
 */
void mux_block_signals (sigset_t *signals);
/** mux_wait_for_stop_signal() - wait for SIGTERM or SIGINT
 * SIGHUP is only logged: settings come from flags and the environment, which
 * can't change while the process runs. */
void mux_wait_for_stop_signal (const sigset_t *signals);

/** mux_peer_options() - options of the peer adapter that settings determine
 * The caller sets inbox, queue, silence_timeout_ms and counters. */
MuxPeerZmqOptions mux_peer_options (const MuxDaemonOptions *given);

#endif
