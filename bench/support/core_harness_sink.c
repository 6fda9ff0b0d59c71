#include "bench/support/core_harness_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static HarnessCall *
call_new (int64_t due_ms)
{
  HarnessCall *call = calloc (1, sizeof *call);

  harness_must (call != NULL, "memory is out");
  call->due_ms = due_ms;
  return call;
}

void
harness_call_free (HarnessCall *call)
{
  mux_blob_unref (call->call.body);
  if (call->table != NULL)
    mux_table_call_free (call->table);
  free (call);
}

static void
on_answer (MuxCoreSink *sink, const MuxCoreResponse *answer)
{
  CoreHarness *h = (CoreHarness *) sink;

  h->answers[answer->outcome]++;
  h->last = *answer;
  h->last.body = NULL;
}

static bool
on_worker_call (MuxCoreSink *sink, const MuxWorkerCall *call)
{
  CoreHarness *h = (CoreHarness *) sink;
  HarnessCall *item = call_new (h->now_ms + HARNESS_WORKER_MS);

  h->asked[call->verb]++;
  item->call = *call;
  mux_name_copy (item->call.owner, HARNESS_NAME);
  mux_blob_ref (call->body);
  item->worker = (uint32_t) strtoul (call->worker + 1, NULL, 10);
  DL_APPEND (h->worker_calls, item);
  return true;
}

static bool
on_table_call (MuxCoreSink *sink, MuxTableCall *call)
{
  CoreHarness *h = (CoreHarness *) sink;
  HarnessCall *item = call_new (h->now_ms + h->options.table_ms);

  item->table = call;
  DL_APPEND (h->table_calls, item);
  return true;
}

void
harness_member_name (uint32_t member, char *out)
{
  snprintf (out, MUX_NAME_LEN, "entry-m%02u", member);
}

/* The first member grants each ask on the next of the workers it holds. */
static void
grant (CoreHarness *h, const MuxPeerMsg *ask)
{
  uint32_t worker = h->next_worker++ % h->options.workers;
  HarnessCall *item = call_new (h->now_ms + HARNESS_WORKER_MS);

  item->worker = worker;
  item->task = ask->task;
  item->call.verb = MUX_WORKER_RELEASE; /* marks a grant */
  item->call.size = (MuxSize){ 100, 100, 0, 1 };
  DL_APPEND (h->worker_calls, item);
}

static bool
on_peer_send (MuxCoreSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  CoreHarness *h = (CoreHarness *) sink;

  (void) addr;
  h->sent[msg->verb]++;
  if (msg->verb == MUX_PEER_GRANT_REQUEST && h->options.remote)
    grant (h, msg);
  return true;
}

static void
on_state_log (MuxCoreSink *sink, int level, const char *event, const char *text)
{
  CoreHarness *h = (CoreHarness *) sink;

  (void) level;
  (void) text;
  h->suspects += strcmp (event, "member_suspect") == 0;
}

void
harness_sink_init (CoreHarness *h)
{
  h->sink = (MuxCoreSink){ on_answer, on_worker_call, on_table_call,
                           on_peer_send, on_state_log };
}
