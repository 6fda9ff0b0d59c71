#ifndef CORE_CALL_H
#define CORE_CALL_H

#include "core_private.h"

/* Calls in flight.  The subject is an id, not a pointer: by the time of the
 * reply the thing may be gone, and a late reply must find nothing. */
typedef void (*WorkerCallback) (MuxCore *core,
                                MuxId subject,
                                uint64_t aux,
                                const MuxWorkerReply *reply);
typedef void (*TableCallback) (MuxCore *core,
                               MuxId subject,
                               uint64_t aux,
                               const MuxTableReply *reply);

/** call_worker() - false: nothing was sent and @done will not be called */
bool call_worker (MuxCore *core,
                  MuxWorkerCall *call,
                  WorkerCallback done,
                  MuxId subject,
                  uint64_t aux);
/** call_table() - takes @call over; false as for call_worker() */
bool call_table (MuxCore *core,
                 MuxTableCall *call,
                 TableCallback done,
                 MuxId subject,
                 uint64_t aux);
void call_worker_reply (MuxCore *core, const MuxWorkerReply *reply);
void call_table_reply (MuxCore *core, const MuxTableReply *reply);
/** calls_tick() - answer calls whose reply was lost */
void calls_tick (MuxCore *core);
void calls_free (MuxCore *core);

#endif
