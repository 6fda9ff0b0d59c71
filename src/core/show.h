#ifndef CORE_SHOW_H
#define CORE_SHOW_H

#include "core_private.h"

/* Responses to operators' queries: the cell as this daemon sees it. */
void show_status (MuxCore *core, uint64_t call_id);
void show_workers (MuxCore *core, uint64_t call_id);
void show_risk (MuxCore *core, uint64_t call_id);

#endif
