#ifndef CORE_CALL_H
#define CORE_CALL_H

#include "core_private.h"

/* Calls in flight. The subject is an id, not a pointer: the object may have
 * been freed when the reply arrives, and a late reply must not find it. */
typedef void (*WorkerCallback) (MuxCore *core,
                                MuxId subject,
                                uint64_t aux,
                                const MuxWorkerReply *reply);
typedef void (*TableCallback) (MuxCore *core,
                               MuxId subject,
                               uint64_t aux,
                               const MuxTableReply *reply);

/** call_worker() - start a call; @done is called once with @subject, @aux and
 * the reply
 *
 * Return: false: nothing was sent and @done will not be called.
 */
bool call_worker (MuxCore *core,
                  MuxWorkerCall *call,
                  WorkerCallback done,
                  MuxId subject,
                  uint64_t aux);
/** call_table() - as call_worker(); takes ownership of @call */
bool call_table (MuxCore *core,
                 MuxTableCall *call,
                 TableCallback done,
                 MuxId subject,
                 uint64_t aux);
/** call_worker_reply() - pass a reply to the callback of its call, if the call
 * is still pending */
void call_worker_reply (MuxCore *core, const MuxWorkerReply *reply);
/** call_table_reply() - as call_worker_reply() */
void call_table_reply (MuxCore *core, const MuxTableReply *reply);
/** calls_tick() - complete calls whose reply was lost */
void calls_tick (MuxCore *core);
void calls_free (MuxCore *core);

#endif
