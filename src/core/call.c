#include "call.h"

#include <stdlib.h>

struct Pending
{
  uint64_t call_id;
  WorkerDone worker_done;
  TableDone table_done;
  MuxId subject;
  uint64_t aux;
  UT_hash_handle hh;
};

static Pending *
pending_new (MuxCore *core, MuxId subject, uint64_t aux)
{
  Pending *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    return NULL;
  pending->call_id = ++core->next_call_id;
  pending->subject = subject;
  pending->aux = aux;
  HASH_ADD (hh, core->pending, call_id, sizeof pending->call_id, pending);
  return pending;
}

static void
pending_free (MuxCore *core, Pending *pending)
{
  HASH_DEL (core->pending, pending);
  free (pending);
}

bool
call_worker (MuxCore *core,
             MuxWorkerCall *call,
             WorkerDone done,
             MuxId subject,
             uint64_t aux)
{
  Pending *pending = pending_new (core, subject, aux);

  if (pending == NULL)
    return false;
  pending->worker_done = done;
  call->call_id = pending->call_id;
  mux_name_copy (call->owner, core->name);
  mux_count (core->counters, MUX_COUNT_WORKER_CALLS, 1);
  if (core->sink->worker_call (core->sink, call))
    return true;
  mux_count_retry (core->counters, MUX_REASON_RING_FULL);
  pending_free (core, pending);
  return false;
}

static void
count_table_call (MuxCore *core, const MuxTableCall *call)
{
  if (call->verb == MUX_TABLE_TXN || call->verb == MUX_TABLE_OBJECT_PUT)
    {
      mux_count (core->counters, MUX_COUNT_TABLE_WRITES, 1);
      mux_count (core->counters, MUX_COUNT_TABLE_ROWS, call->row_count);
      return;
    }
  mux_count (core->counters, MUX_COUNT_TABLE_READS, 1);
}

bool
call_table (MuxCore *core,
            MuxTableCall *call,
            TableDone done,
            MuxId subject,
            uint64_t aux)
{
  Pending *pending = pending_new (core, subject, aux);

  if (pending == NULL)
    {
      mux_table_call_free (call);
      return false;
    }
  pending->table_done = done;
  call->call_id = pending->call_id;
  if (call->timeout_ms == 0)
    call->timeout_ms = TABLE_TIMEOUT_MS;
  count_table_call (core, call);
  if (core->sink->table_call (core->sink, call))
    return true;
  mux_count_retry (core->counters, MUX_REASON_RING_FULL);
  pending_free (core, pending);
  return false;
}

static bool
pending_take (MuxCore *core, uint64_t call_id, Pending *out)
{
  Pending *pending;

  HASH_FIND (hh, core->pending, &call_id, sizeof call_id, pending);
  if (pending == NULL)
    {
      mux_count (core->counters, MUX_COUNT_EVENTS_DROPPED, 1);
      return false;
    }
  *out = *pending;
  pending_free (core, pending);
  return true;
}

void
call_worker_reply (MuxCore *core, const MuxWorkerReply *reply)
{
  Pending pending;

  if (!pending_take (core, reply->call_id, &pending))
    return;
  if (pending.worker_done != NULL)
    pending.worker_done (core, pending.subject, pending.aux, reply);
}

void
call_table_reply (MuxCore *core, const MuxTableReply *reply)
{
  Pending pending;

  if (!pending_take (core, reply->call_id, &pending))
    return;
  if (pending.table_done != NULL)
    pending.table_done (core, pending.subject, pending.aux, reply);
}

void
calls_free (MuxCore *core)
{
  Pending *pending, *next;

  HASH_ITER (hh, core->pending, pending, next)
  pending_free (core, pending);
}
