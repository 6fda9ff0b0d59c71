#ifndef CORE_SHOW_H
#define CORE_SHOW_H

#include "core_private.h"

/* Answers to operators' questions about this daemon's view. */
void show_status (MuxCore *core, uint64_t call);
void show_workers (MuxCore *core, uint64_t call);
void show_risk (MuxCore *core, uint64_t call);

#endif
