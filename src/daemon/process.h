#ifndef DAEMON_PROCESS_H
#define DAEMON_PROCESS_H

#include "settings_table.h"

#include "adapter/peer.h"

#include <signal.h>

/** DOC: what both kinds of daemon process set up alike */

/**
 * mux_block_signals() - SIGTERM, SIGINT and SIGHUP are waited for, not handled
 * @wanted: receives the set
 *
 * A write to a closed connection is an error of the write from now on.  Call it
 * before any thread starts.
 */
void mux_block_signals (sigset_t *wanted);
/** mux_wait_for_stop() - until SIGTERM or SIGINT; a SIGHUP is noted alone:
 * settings are flags and environment, which don't change while a process lives
 */
void mux_wait_for_stop_signal (const sigset_t *wanted);

/** mux_peer_options() - what the settings say of the way to other daemons; the
 * inbox, the queue, the silence and the counters are left to fill in */
MuxPeerZmqOptions mux_peer_options (const MuxDaemonOptions *given);

#endif
