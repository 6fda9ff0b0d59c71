#ifndef CORE_SWEEP_H
#define CORE_SWEEP_H

#include "core_private.h"

/* Removes rows of keys and of ended jobs that are older than keys are
 * remembered.  One daemon at a time scans them, page by page. */
Sweep *sweep_new (void);
void sweep_free (Sweep *sweep);
void sweep_tick (MuxCore *core);
int64_t sweep_wake_ms (const MuxCore *core);

#endif
