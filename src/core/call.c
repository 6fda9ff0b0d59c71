#include "call.h"

#include <stdlib.h>

/* An adapter replies within a call's timeout. This long after it the reply is
 * considered lost, as a ring was full or memory was exhausted. */
#define REPLY_LOST_AFTER_MS 5000
/* Interval of checks for overdue calls. */
#define OVERDUE_CHECK_INTERVAL_MS 1000

struct PendingCall
{
  uint64_t call_id;
  WorkerCallback worker_done;
  TableCallback table_done;
  MuxId subject;
  uint64_t aux;
  int64_t overdue_ms; /* the reply is considered lost */
  int verb;
  char worker[MUX_NAME_LEN];
  UT_hash_handle hh;
};

static PendingCall *
pending_new (MuxCore *core, MuxId subject, uint64_t aux)
{
  PendingCall *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    return NULL;
  pending->call_id = ++core->next_call_id;
  pending->subject = subject;
  pending->aux = aux;
  HASH_ADD (hh, core->pending_calls, call_id, sizeof pending->call_id, pending);
  return pending;
}

static void
pending_free (MuxCore *core, PendingCall *pending)
{
  HASH_DEL (core->pending_calls, pending);
  free (pending);
}

bool
call_worker (MuxCore *core,
             MuxWorkerCall *call,
             WorkerCallback done,
             MuxId subject,
             uint64_t aux)
{
  PendingCall *pending = pending_new (core, subject, aux);

  if (pending == NULL)
    return false;
  pending->worker_done = done;
  pending->verb = call->verb;
  pending->overdue_ms = core->now_ms + call->timeout_ms + REPLY_LOST_AFTER_MS;
  mux_name_copy (pending->worker, call->worker);
  call->call_id = pending->call_id;
  mux_name_copy (call->owner, core->name);
  if (core->sink->worker_call (core->sink, call))
    return true;
  mux_count_retry (core->counters, MUX_REASON_RING_FULL);
  pending_free (core, pending);
  return false;
}

bool
call_table (MuxCore *core,
            MuxTableCall *call,
            TableCallback done,
            MuxId subject,
            uint64_t aux)
{
  PendingCall *pending = pending_new (core, subject, aux);

  if (pending == NULL)
    {
      mux_table_call_free (call);
      return false;
    }
  pending->table_done = done;
  call->call_id = pending->call_id;
  if (call->timeout_ms == 0)
    call->timeout_ms = TABLE_TIMEOUT_MS;
  pending->verb = call->verb;
  pending->overdue_ms = core->now_ms + call->timeout_ms + REPLY_LOST_AFTER_MS;
  if (core->sink->table_call (core->sink, call))
    return true;
  mux_count_retry (core->counters, MUX_REASON_RING_FULL);
  pending_free (core, pending);
  return false;
}

static bool
pending_take (MuxCore *core, uint64_t call_id, PendingCall *out)
{
  PendingCall *pending;

  HASH_FIND (hh, core->pending_calls, &call_id, sizeof call_id, pending);
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
  PendingCall pending;

  if (!pending_take (core, reply->call_id, &pending))
    return;
  if (pending.worker_done != NULL)
    pending.worker_done (core, pending.subject, pending.aux, reply);
}

void
call_table_reply (MuxCore *core, const MuxTableReply *reply)
{
  PendingCall pending;

  if (!pending_take (core, reply->call_id, &pending))
    return;
  if (pending.table_done != NULL)
    pending.table_done (core, pending.subject, pending.aux, reply);
}

static void
complete_lost (MuxCore *core, const PendingCall *lost)
{
  MuxWorkerReply worker = { .call_id = lost->call_id,
                            .verb = (MuxWorkerVerb) lost->verb,
                            .status = MUX_WORKER_NO_ANSWER };
  MuxTableReply table = { .call_id = lost->call_id,
                          .verb = (MuxTableVerb) lost->verb,
                          .status = MUX_TABLE_UNKNOWN };

  mux_name_copy (worker.worker, lost->worker);
  if (lost->worker_done != NULL)
    call_worker_reply (core, &worker);
  else
    call_table_reply (core, &table);
}

/*
 * A reply may be dropped on its way to the core. Its receiver would wait for
 * ever: a worker would not be renewed again, and no further group of intents
 * written. An overdue call is therefore completed here as one that may have
 * taken effect; a reply that arrives afterwards is dropped.
 */
void
calls_tick (MuxCore *core)
{
  PendingCall *pending, *next;

  if (core->now_ms < core->next_overdue_check_ms)
    return;
  core->next_overdue_check_ms = core->now_ms + OVERDUE_CHECK_INTERVAL_MS;
  HASH_ITER (hh, core->pending_calls, pending, next)
  {
    PendingCall lost = *pending;

    if (core->now_ms < lost.overdue_ms)
      continue;
    mux_count_retry (core->counters, MUX_REASON_RING_FULL);
    complete_lost (core, &lost);
    /* The callback may have ended any other call, so restart the search with
     * the next tick. */
    core->next_overdue_check_ms = core->now_ms;
    return;
  }
}

void
calls_free (MuxCore *core)
{
  PendingCall *pending, *next;

  HASH_ITER (hh, core->pending_calls, pending, next)
  pending_free (core, pending);
}
