#ifndef CORE_COMMIT_H
#define CORE_COMMIT_H

#include "task.h"

/* Intents of keyed tasks, written in groups: one transaction in flight, at
 * most this daemon's part of writes_per_s, each of many rows. */
Commit *commit_new (void);
void commit_free (Commit *commit);
/** commit_put() - write @task's intent on condition of its row_rev; ends in
 * one of the task's ROW_* or STORE_DOWN events.  False: memory is out. */
bool commit_put (MuxCore *core, Task *task);
/** commit_read() - read @task's row; ends as above */
void commit_read (MuxCore *core, Task *task);
/** commit_pace_ms() - between two writes, so that all living daemons together
 * stay within what the table takes */
int64_t commit_write_interval_ms (const MuxCore *core);
void commit_tick (MuxCore *core);
int64_t commit_wake_ms (const MuxCore *core);
/** commit_store_down() - the table answered nothing lately */
bool commit_store_down (const MuxCore *core);

/** intent_to_blob() - JSON of a row; NULL: memory is out */
MuxBlob *intent_to_blob (const Intent *intent);
bool intent_from_blob (const MuxBlob *blob, Intent *intent);

#endif
