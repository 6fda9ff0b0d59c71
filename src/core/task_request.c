#include "task_private.h"

#include "commit.h"
#include "config.h"

#include <stdio.h>
#include <string.h>

/* Callers' requests to run one task. */

/* Retry advice while this daemon has no configuration or the store is down. */
#define NOT_READY_RETRY_MS 1000

static void
refuse_request (MuxCore *core,
                const MuxCoreRequest *request,
                MuxReason reason,
                uint32_t retry_ms)
{
  /* The same key or ticket may be accepted later or at another daemon, or may
   * have been already. */
  bool named = (request->key[0] != 0 && !request->key_is_new)
               || request->ticket[0] != 0;

  core_respond (core, request->call_id,
                named && mux_reason_is_transient (reason) ? MUX_OUTCOME_UNKNOWN
                                                          : MUX_OUTCOME_NOT_RUN,
                reason, retry_ms, (MuxId){ 0, 0 }, NULL);
}

static bool
same_body (const MuxBlob *a, const MuxBlob *b)
{
  size_t a_len = a == NULL ? 0 : a->len;
  size_t b_len = b == NULL ? 0 : b->len;

  return a_len == b_len
         && (a_len == 0 || memcmp (a->bytes, b->bytes, a_len) == 0);
}

void
task_join (MuxCore *core, Task *task, const MuxCoreRequest *request)
{
  /* Two submissions can't both be the key's first. */
  task->key_is_new = false;
  if (!same_body (task->body, request->body))
    refuse_request (core, request, MUX_REASON_KEY_IN_USE, 0);
  else if (!task_add_waiter (core, task, request->call_id,
                             core->now_ms + request->timeout_ms))
    refuse_request (core, request, MUX_REASON_INTERNAL, RETRY_MS);
}

bool
task_request_refused (MuxCore *core,
                      const MuxCoreRequest *request,
                      const MuxClassSpec *spec)
{
  if (core->stopping)
    refuse_request (core, request, MUX_REASON_STOPPING, RETRY_MS);
  else if (!config_loaded (core))
    refuse_request (core, request, MUX_REASON_STORE_DOWN, NOT_READY_RETRY_MS);
  else if (spec == NULL)
    refuse_request (core, request, MUX_REASON_UNKNOWN_CLASS, 0);
  else if (spec->kind != MUX_KIND_SERVICE)
    refuse_request (core, request, MUX_REASON_KIND_MISMATCH, 0);
  else if (request->timeout_ms == 0)
    refuse_request (core, request, MUX_REASON_DEADLINE, 0);
  else
    return false;
  return true;
}

void
tasks_request (MuxCore *core, const MuxCoreRequest *request)
{
  const MuxClassSpec *spec = config_class (core, request->name);
  TaskOptions options = { .spec = spec,
                          .body = request->body,
                          .call_id = request->call_id,
                          .expires_ms = core->now_ms + request->timeout_ms,
                          .attempt = 1 };
  Task *task;

  mux_count (core->counters, MUX_COUNT_REQUESTS, 1);
  if (task_request_refused (core, request, spec))
    return;
  if (request->key[0] == 0)
    {
      options.key = core_new_task_id (core);
    }
  else
    {
      options.key = mux_id_from_key (request->name, request->key);
      options.keyed = true;
      options.key_is_new = request->key_is_new;
    }
  task = task_find (core, options.key);
  if (task != NULL)
    {
      task_join (core, task, request);
      return;
    }
  if (HASH_COUNT (core->tasks) >= core->opt.queue_max * 2)
    {
      refuse_request (core, request, MUX_REASON_QUEUE_FULL, RETRY_MS);
      return;
    }
  if (options.keyed && !spec->idempotent && commit_store_down (core))
    {
      refuse_request (core, request, MUX_REASON_STORE_DOWN, NOT_READY_RETRY_MS);
      return;
    }
  if (!task_begin (core, &options))
    refuse_request (core, request, MUX_REASON_INTERNAL, RETRY_MS);
}

bool
task_begin_ticket (MuxCore *core,
                   const MuxCoreRequest *request,
                   const MuxClassSpec *spec,
                   const Ticket *ticket)
{
  TaskOptions options = { .spec = spec,
                          .key = ticket->key,
                          .body = request->body,
                          .call_id = request->call_id,
                          .expires_ms = core->now_ms + request->timeout_ms,
                          .attempt = 1 };
  Task *task = task_new (core, &options);

  if (task == NULL)
    return false;
  task->ticketed = true;
  task->granted = true;
  mux_name_copy (task->owner, ticket->owner);
  task->epoch = ticket->epoch;
  task->placement = (Intent){ .attempt = 1,
                              .incarnation = ticket->incarnation,
                              .not_after_ms = ticket->not_after_ms,
                              .home_incarnation = core->opt.incarnation };
  mux_name_copy (task->placement.worker, ticket->worker);
  mux_name_copy (task->placement.home, core->name);
  snprintf (task->placement.addr, sizeof task->placement.addr, "%s",
            ticket->addr);
  task_start_now (core, task);
  return true;
}
