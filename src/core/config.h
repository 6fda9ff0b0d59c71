#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include "core_private.h"

/* What operators set: the log of changes in the table, applied in order. */
Config *config_new (void);
void config_free (Config *config);
/** config_abandon() - answer every change in flight; before config_free() */
void config_abort_changes (MuxCore *core);
/** config_changing() - changes in flight; a graceful stop awaits 0 */
uint32_t config_pending_changes (const MuxCore *core);
/** config_ask() - every MUX_ASK_CONFIG_* and MUX_CORE_DRAIN */
void config_request (MuxCore *core, const MuxCoreRequest *ask);
/** config_peer() - MUX_PEER_CONFIG_* */
void config_peer_message (MuxCore *core, const MuxPeerMsg *msg);
/** config_heard() - a peer has this revision in force */
void config_peer_revision (MuxCore *core, Member *member, uint64_t revision);
void config_tick (MuxCore *core);
int64_t config_wake_ms (const MuxCore *core);
/** config_revision() - in force here; 0: none yet */
uint64_t config_revision (const MuxCore *core);
/** config_loaded() - it was read from the table or a peer since the start */
bool config_loaded (const MuxCore *core);
/** config_class() - NULL: not configured; valid until the next change */
const MuxClassSpec *config_class (const MuxCore *core, const char *name);
/** config_drained() - operators want no new work on this worker */
bool config_drained (const MuxCore *core, const char *worker);

#endif
