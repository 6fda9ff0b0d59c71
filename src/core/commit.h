#ifndef CORE_COMMIT_H
#define CORE_COMMIT_H

#include "task.h"

/* Group commit of the intents of keyed tasks: one transaction of many rows is
 * in flight at a time, at a rate of at most this daemon's share of
 * writes_per_s. */
Commit *commit_new (void);
void commit_free (Commit *commit);
/** commit_put() - write @task's intent if its row still has row_rev
 *
 * Ends in one of the task's ROW_* or STORE_DOWN events.
 *
 * Return: false: memory is exhausted.
 */
bool commit_put (MuxCore *core, Task *task);
/** commit_read() - read @task's row; ends in the same events */
void commit_read (MuxCore *core, Task *task);
/** commit_write_interval_ms() - return the interval between writes that keeps
 * all live daemons together within writes_per_s */
int64_t commit_write_interval_ms (const MuxCore *core);
void commit_tick (MuxCore *core);
int64_t commit_wake_ms (const MuxCore *core);
/** commit_store_down() - true if the store failed to answer a moment ago */
bool commit_store_down (const MuxCore *core);

/** intent_to_blob() - encode as the JSON of a row; NULL: memory is exhausted */
MuxBlob *intent_to_blob (const Intent *intent);
bool intent_from_blob (const MuxBlob *blob, Intent *intent);

#endif
