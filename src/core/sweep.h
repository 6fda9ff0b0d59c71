#ifndef CORE_SWEEP_H
#define CORE_SWEEP_H

#include "core_private.h"

/* Rows of keys and of ended jobs are dropped once they are older than keys
 * are remembered; one daemon at a time goes round, a page after the other. */
Sweep *sweep_new (void);
void sweep_free (Sweep *sweep);
void sweep_tick (MuxCore *core);
int64_t sweep_wake_ms (const MuxCore *core);

#endif
