#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include "core_private.h"

/* Configuration set by operators: a log of changes in the store, which each
 * daemon applies in order. */
Config *config_new (void);
void config_free (Config *config);
/** config_abort_changes() - respond to every pending change; call before
 * config_free() */
void config_abort_changes (MuxCore *core);
/** config_pending_changes() - return the number of pending changes, for which
 * a graceful shutdown waits */
uint32_t config_pending_changes (const MuxCore *core);
/** config_request() - handle MUX_CORE_CONFIG_* and MUX_CORE_DRAIN */
void config_request (MuxCore *core, const MuxCoreRequest *request);
/** config_peer_message() - handle MUX_PEER_CONFIG_* */
void config_peer_message (MuxCore *core, const MuxPeerMsg *msg);
/** config_peer_revision() - note that a peer has @revision in force */
void config_peer_revision (MuxCore *core, Member *member, uint64_t revision);
void config_tick (MuxCore *core);
int64_t config_wake_ms (const MuxCore *core);
/** config_revision() - return the revision in force here; 0: none */
uint64_t config_revision (const MuxCore *core);
/** config_loaded() - true once read from the store or a peer */
bool config_loaded (const MuxCore *core);
/** config_class() - return the class in force, valid until the next change;
 * NULL: not configured */
const MuxClassSpec *config_class (const MuxCore *core, const char *name);
/** config_drained() - true if an operator drains this worker */
bool config_drained (const MuxCore *core, const char *worker);

#endif
