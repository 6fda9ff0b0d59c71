#include "bench/support/core_harness_private.h"

#include <stdio.h>
#include <string.h>

static void
send_grant (CoreHarness *h, const HarnessCall *item)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT,
                     .task = item->task,
                     .epoch = 1,
                     .incarnation = HARNESS_WORKER_LIFE,
                     .size = item->call.size };

  snprintf (msg.worker, sizeof msg.worker, "w%04u", item->worker);
  snprintf (msg.worker_addr, sizeof msg.worker_addr, "10.1.0.1:%u",
            10000 + item->worker);
  core_harness_peer (h, 0, &msg);
}

void
harness_answer_worker (CoreHarness *h, HarnessCall *item)
{
  StandinWorker *worker = h->worker[item->worker];
  MuxEvent event = { MUX_EVENT_WORKER_REPLY, { .worker_reply = NULL } };
  MuxWorkerReply *reply;

  if (item->call.call_id == 0)
    {
      send_grant (h, item);
      harness_call_free (item);
      return;
    }
  reply = standin_worker_call (worker, &item->call, h->now_ms, NULL);
  harness_must (reply != NULL, "no reply");
  h->worker_tick_ms[item->worker] = standin_worker_tick (worker, h->now_ms);
  if (item->call.wait_ms > 0 && reply->status == MUX_WORKER_OK
      && reply->state == MUX_TASK_RUNNING)
    {
      HarnessCall *old;

      item->task = item->call.task;
      HASH_FIND (hh, h->held, &item->task, sizeof item->task, old);
      if (old == NULL)
        {
          HASH_ADD (hh, h->held, task, sizeof item->task, item);
          mux_worker_reply_free (reply);
          return;
        }
    }
  event.u.worker_reply = reply;
  harness_step (h, &event);
  mux_worker_reply_free (reply);
  harness_call_free (item);
}

void
harness_task_ended (void *ctx, MuxId task)
{
  CoreHarness *h = ctx;
  HarnessCall *item;

  HASH_FIND (hh, h->held, &task, sizeof task, item);
  if (item == NULL)
    return;
  HASH_DEL (h->held, item);
  item->due_ms = h->now_ms;
  item->call.wait_ms = 0;
  DL_PREPEND (h->worker_calls, item);
}

static MuxTableReply *
table_reply (CoreHarness *h, const MuxTableCall *call)
{
  static StandinRowSet set;
  MuxTableStatus status = MUX_TABLE_OK;
  MuxTableReply *reply;
  uint64_t rev = 0;

  set.count = 0;
  set.more = false;
  switch (call->verb)
    {
    case MUX_TABLE_TXN:
      status = standin_platform_txn (h->platform, call->rows, call->row_count,
                                     &rev, &set);
      break;
    case MUX_TABLE_GET:
      set.count = call->row_count;
      for (uint32_t i = 0; i < call->row_count; i++)
        set.row[i] = (MuxRow){ .rev = 0 };
      for (uint32_t i = 0; i < call->row_count; i++)
        memcpy (set.row[i].key, call->rows[i].key, MUX_ROW_KEY_LEN);
      standin_platform_get (h->platform, &set);
      break;
    case MUX_TABLE_SCAN:
      standin_platform_scan (h->platform, call->rows[0].key, call->rows[1].key,
                             call->limit, &set);
      break;
    case MUX_TABLE_OBJECT_PUT:
      rev = standin_platform_object_put (h->platform, call->rows[0].key,
                                         call->rows[0].value);
      break;
    case MUX_TABLE_OBJECT_GET:
      set.count = 1;
      set.row[0] = (MuxRow){ .rev = 0 };
      set.row[0].value = standin_platform_object_get (
          h->platform, call->rows[0].key, &set.row[0].rev);
      break;
    }
  reply = mux_table_reply_new (call, status, set.count);
  harness_must (reply != NULL, "memory is out");
  reply->rev = rev;
  reply->more = set.more;
  memcpy (reply->rows, set.row, set.count * sizeof set.row[0]);
  return reply;
}

void
harness_answer_table (CoreHarness *h, HarnessCall *item)
{
  MuxTableReply *reply = table_reply (h, item->table);
  MuxEvent event = { MUX_EVENT_TABLE_REPLY, { .table_reply = reply } };

  harness_step (h, &event);
  mux_table_reply_free (reply);
  harness_call_free (item);
}
