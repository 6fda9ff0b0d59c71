#include "support/core_record.h"

#include "support/golden.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Most pending calls of a node, and size of the label kept for each. */
#define CALLS_MAX 1024
#define LABEL_LEN 192

static const char *const ask_names[] = {
  [MUX_CORE_RUN_TASK] = "request",
  [MUX_CORE_ISSUE_TICKET] = "ticket",
  [MUX_CORE_JOB_SUBMIT] = "job-submit",
  [MUX_CORE_JOB_GET] = "job-get",
  [MUX_CORE_JOB_WAIT] = "job-wait",
  [MUX_CORE_JOB_CANCEL] = "job-cancel",
  [MUX_CORE_JOB_LIST] = "job-list",
  [MUX_CORE_CONFIG_PUT] = "config-put",
  [MUX_CORE_CONFIG_REMOVE] = "config-remove",
  [MUX_CORE_CONFIG_GET] = "config-get",
  [MUX_CORE_CONFIG_LIST] = "config-list",
  [MUX_CORE_CONFIG_HISTORY] = "config-history",
  [MUX_CORE_CONFIG_REVERT] = "config-revert",
  [MUX_CORE_STATUS] = "status",
  [MUX_CORE_WORKERS] = "workers",
  [MUX_CORE_DRAIN] = "drain",
  [MUX_CORE_RISK] = "risk",
};
static const char *const worker_verbs[] = {
  [MUX_WORKER_CLAIM] = "claim",           [MUX_WORKER_RENEW] = "renew",
  [MUX_WORKER_START] = "start",           [MUX_WORKER_FETCH] = "fetch",
  [MUX_WORKER_FORGET] = "forget",         [MUX_WORKER_STOP] = "stop",
  [MUX_WORKER_CHECKPOINT] = "checkpoint", [MUX_WORKER_THROTTLE] = "throttle",
  [MUX_WORKER_RELEASE] = "release",
};
static const char *const worker_statuses[] = {
  [MUX_WORKER_OK] = "ok",
  [MUX_WORKER_OLD_EPOCH] = "old-epoch",
  [MUX_WORKER_OLD_INCARNATION] = "old-incarnation",
  [MUX_WORKER_PAST_DEADLINE] = "late",
  [MUX_WORKER_TOMBSTONE] = "tombstone",
  [MUX_WORKER_NO_ROOM] = "no-room",
  [MUX_WORKER_IS_LEAVING] = "is-leaving",
  [MUX_WORKER_BAD_REQUEST] = "bad",
  [MUX_WORKER_NOT_SENT] = "not-sent",
  [MUX_WORKER_NO_ANSWER] = "no-answer",
};
static const char *const table_verbs[] = {
  [MUX_TABLE_TXN] = "txn",
  [MUX_TABLE_GET] = "get",
  [MUX_TABLE_SCAN] = "scan",
  [MUX_TABLE_OBJECT_PUT] = "object-put",
  [MUX_TABLE_OBJECT_GET] = "object-get",
};
static const char *const table_statuses[] = {
  [MUX_TABLE_OK] = "ok",           [MUX_TABLE_CONFLICT] = "conflict",
  [MUX_TABLE_DOWN] = "down",       [MUX_TABLE_UNKNOWN] = "unknown",
  [MUX_TABLE_BAD_REQUEST] = "bad",
};
static const char *const instance_states[] = { "live", "leaving", "gone" };

typedef struct
{
  FakeTap tap;
  CoreRecord *record;
  uint32_t node;
  bool tick; /* in a tick whose line is not yet written */
  char label[CALLS_MAX][LABEL_LEN]; /* of pending calls, for their replies */
} NodeTap;

struct CoreRecord
{
  FakeNet *net;
  int64_t start_ms;
  FILE *out;
  char *text;
  size_t len;
  NodeTap taps[FAKE_NODES_MAX];
};

static void
put_id (FILE *out, const char *name, MuxId id)
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (id, hex);
  if (!mux_id_is_none (id))
    fprintf (out, " %s=%s", name, hex);
}

static void
put_text (FILE *out, const char *name, const char *text)
{
  if (text[0] != 0)
    fprintf (out, " %s=%s", name, text);
}

static void
put_number (FILE *out, const char *name, int64_t n)
{
  if (n != 0)
    fprintf (out, " %s=%lld", name, (long long) n);
}

static void
put_size (FILE *out, const char *name, MuxSize size)
{
  if (size.cpu_milli + size.mem_mib + size.accels + size.slots > 0)
    fprintf (out, " %s=%u/%u/%u/%u", name, size.cpu_milli, size.mem_mib,
             size.accels, size.slots);
}

static void
put_blob (FILE *out, const MuxBlob *blob)
{
  if (blob == NULL)
    return;
  putc (' ', out);
  golden_quote (out, blob->bytes, blob->len);
}

static void
put_row (FILE *out, const MuxRow *row)
{
  fprintf (out, " %s@", row->key);
  if (row->rev == MUX_REV_ANY)
    putc ('*', out);
  else
    fprintf (out, "%llu", (unsigned long long) row->rev);
  if (row->check_only)
    fputs (" check", out);
  if (row->value == NULL)
    return;
  putc ('=', out);
  golden_quote (out, row->value->bytes, row->value->len);
}

static void
put_peer (FILE *out, const MuxPeerMsg *msg)
{
  fputs (mux_peer_verb_name (msg->verb), out);
  put_number (out, "revision", (int64_t) msg->revision);
  put_number (out, "stopping", msg->stopping);
  put_size (out, "free", msg->free);
  put_size (out, "total", msg->total);
  put_size (out, "largest", msg->largest);
  put_number (out, "queued", msg->queued);
  put_number (out, "oldest_ms", msg->oldest_ms);
  put_id (out, "task", msg->task);
  put_id (out, "group", msg->group);
  put_number (out, "group_count", msg->group_count);
  put_text (out, "class", msg->class_name);
  put_number (out, "start_within_ms", msg->start_within_ms);
  put_number (out, "give_up_ms", msg->give_up_ms);
  put_text (out, "worker", msg->worker);
  put_number (out, "epoch", (int64_t) msg->epoch);
  put_number (out, "incarnation", (int64_t) msg->incarnation);
  put_number (out, "not_after_ms", msg->not_after_ms);
  put_size (out, "size", msg->size);
  if (msg->reason != MUX_REASON_NONE)
    put_text (out, "reason", mux_reason_name (msg->reason));
  put_number (out, "retry_ms", msg->retry_ms);
  if (msg->verb == MUX_PEER_GRANT_END || msg->verb == MUX_PEER_TASK_ENDED)
    put_text (out, "state", mux_task_state_name ((MuxTaskState) msg->state));
  put_number (out, "ran_ms", msg->ran_ms);
  put_blob (out, msg->body);
  putc ('\n', out);
}

static void
put_ask (FILE *out, const MuxCoreRequest *ask)
{
  fprintf (out, "ask %llu %s", (unsigned long long) ask->call_id,
           ask_names[ask->verb]);
  if (ask->name[0] != 0)
    fprintf (out, " %s", ask->name);
  put_text (out, "key", ask->key);
  put_id (out, "id", ask->id);
  put_number (out, "give_up_ms", ask->timeout_ms);
  put_number (out, "tasks", ask->task_count);
  if (ask->has_expected)
    fprintf (out, " expect=%llu", (unsigned long long) ask->expected_revision);
  put_number (out, "revision", (int64_t) ask->revision);
  put_text (out, "who", ask->author);
  put_blob (out, ask->body);
  putc ('\n', out);
}

static void
put_worker_reply (FILE *out, const MuxWorkerReply *reply, const char *label)
{
  fprintf (out, "reply %s: %s", label, worker_statuses[reply->status]);
  put_number (out, "incarnation", (int64_t) reply->incarnation);
  put_number (out, "epoch", (int64_t) reply->epoch);
  put_text (out, "owner", reply->owner);
  put_number (out, "cursor", (int64_t) reply->cursor);
  put_number (out, "leaving", reply->leaving);
  if (reply->status == MUX_WORKER_OK && reply->verb >= MUX_WORKER_START
      && reply->verb <= MUX_WORKER_STOP)
    put_text (out, "state", mux_task_state_name (reply->state));
  put_number (out, "ran_ms", reply->ran_ms);
  put_blob (out, reply->result);
  for (uint32_t i = 0; i < reply->report_count; i++)
    {
      put_id (out, "task", reply->reports[i].task);
      fprintf (out, ":%s", mux_task_state_name (reply->reports[i].state));
    }
  putc ('\n', out);
}

static void
put_table_reply (FILE *out, const MuxTableReply *reply, const char *label)
{
  fprintf (out, "reply %s: %s", label, table_statuses[reply->status]);
  put_number (out, "rev", (int64_t) reply->rev);
  put_number (out, "more", reply->more);
  for (uint32_t i = 0; i < reply->row_count; i++)
    put_row (out, &reply->rows[i]);
  putc ('\n', out);
}

static void
put_instances (FILE *out, const MuxInstanceList *list)
{
  fputs ("instances", out);
  for (uint32_t i = 0; i < list->count; i++)
    fprintf (out, " %s:%s", list->item[i].name,
             instance_states[list->item[i].state]);
  putc ('\n', out);
}

static void
put_time (const NodeTap *tap)
{
  fprintf (tap->record->out, "+%lld %s ",
           (long long) (tap->record->net->now_ms - tap->record->start_ms),
           tap->record->net->nodes[tap->node].name);
}

static const char *
label_of (const NodeTap *tap, uint64_t call_id)
{
  return tap->label[call_id % CALLS_MAX];
}

static void
take_event (FakeTap *base, const MuxEvent *event)
{
  NodeTap *tap = (NodeTap *) base;
  FILE *out = tap->record->out;

  tap->tick = event->kind == MUX_EVENT_TICK;
  if (tap->tick)
    return;
  put_time (tap);
  switch (event->kind)
    {
    case MUX_EVENT_REQUEST:
      put_ask (out, event->u.request);
      break;
    case MUX_EVENT_CALLER_DISCONNECTED:
      fprintf (out, "caller %llu gone\n",
               (unsigned long long) event->u.call_id);
      break;
    case MUX_EVENT_WORKER_REPLY:
      put_worker_reply (out, event->u.worker_reply,
                        label_of (tap, event->u.worker_reply->call_id));
      break;
    case MUX_EVENT_TABLE_REPLY:
      put_table_reply (out, event->u.table_reply,
                       label_of (tap, event->u.table_reply->call_id));
      break;
    case MUX_EVENT_PEER:
      fprintf (out, "from %s ", event->u.peer->from);
      put_peer (out, event->u.peer);
      break;
    case MUX_EVENT_INSTANCES:
      put_instances (out, event->u.instances);
      break;
    default:
      fputs ("stop\n", out);
    }
}

/* Starts the line of an action. */
static FILE *
action (MuxCoreSink *sink)
{
  NodeTap *tap = (NodeTap *) sink;

  if (tap->tick)
    {
      put_time (tap);
      fputs ("tick\n", tap->record->out);
      tap->tick = false;
    }
  fputs ("    ", tap->record->out);
  return tap->record->out;
}

static void
take_answer (MuxCoreSink *sink, const MuxCoreResponse *answer)
{
  FILE *out = action (sink);

  fprintf (out, "answer %llu %s %u", (unsigned long long) answer->call_id,
           mux_outcome_name (answer->outcome), answer->status);
  if (answer->reason != MUX_REASON_NONE)
    put_text (out, "reason", mux_reason_name (answer->reason));
  put_number (out, "retry_after_ms", answer->retry_after_ms);
  put_id (out, "task", answer->task);
  put_blob (out, answer->body);
  putc ('\n', out);
}

static bool
take_worker_call (MuxCoreSink *sink, const MuxWorkerCall *call)
{
  FILE *out = action (sink);
  char *label = ((NodeTap *) sink)->label[call->call_id % CALLS_MAX];
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (call->task, hex);
  snprintf (label, LABEL_LEN, "%s %s %s", call->worker,
            worker_verbs[call->verb], mux_id_is_none (call->task) ? "-" : hex);
  fprintf (out, "call %s", label);
  put_number (out, "epoch", (int64_t) call->epoch);
  put_number (out, "incarnation", (int64_t) call->incarnation);
  put_number (out, "lease_ms", call->lease_ms);
  put_number (out, "cursor", (int64_t) call->cursor);
  put_number (out, "not_after_ms", call->not_after_ms);
  put_number (out, "timeout_ms", call->timeout_ms);
  put_number (out, "wait_ms", call->wait_ms);
  put_text (out, "class", call->class_name);
  put_text (out, "home", call->home);
  put_size (out, "size", call->size);
  put_blob (out, call->body);
  putc ('\n', out);
  return true;
}

static bool
take_table_call (MuxCoreSink *sink, MuxTableCall *call)
{
  FILE *out = action (sink);
  char *label = ((NodeTap *) sink)->label[call->call_id % CALLS_MAX];

  snprintf (label, LABEL_LEN, "table %s %s", table_verbs[call->verb],
            call->rows[0].key);
  fprintf (out, "call table %s", table_verbs[call->verb]);
  for (uint32_t i = 0; i < call->row_count; i++)
    put_row (out, &call->rows[i]);
  putc ('\n', out);
  return true;
}

static bool
take_peer_msg (MuxCoreSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  FILE *out = action (sink);
  const FakeNet *net = ((NodeTap *) sink)->record->net;

  for (uint32_t i = 0; i < net->node_count; i++)
    if (strcmp (net->nodes[i].addr, addr) == 0)
      addr = net->nodes[i].name;
  fprintf (out, "to %s ", addr);
  put_peer (out, msg);
  return true;
}

static void
take_log (MuxCoreSink *sink, int level, const char *event, const char *text)
{
  fprintf (action (sink), "log %d %s %s\n", level, event, text);
}

CoreRecord *
core_record_new (FakeNet *net)
{
  CoreRecord *record = calloc (1, sizeof *record);

  if (record == NULL)
    abort ();
  record->net = net;
  record->start_ms = net->now_ms;
  record->out = open_memstream (&record->text, &record->len);
  for (uint32_t i = 0; i < net->node_count; i++)
    {
      NodeTap *tap = &record->taps[i];

      tap->tap = (FakeTap){ .sink = { .respond = take_answer,
                                      .worker_call = take_worker_call,
                                      .table_call = take_table_call,
                                      .peer_send = take_peer_msg,
                                      .state_log = take_log },
                            .event = take_event };
      tap->record = record;
      tap->node = i;
      net->nodes[i].sink.tap = &tap->tap;
    }
  return record;
}

void
core_record_note (CoreRecord *record, const char *text)
{
  fprintf (record->out, "# +%lld %s\n",
           (long long) (record->net->now_ms - record->start_ms), text);
}

char *
core_record_end (CoreRecord *record)
{
  char *text;

  for (uint32_t i = 0; i < record->net->node_count; i++)
    record->net->nodes[i].sink.tap = NULL;
  fclose (record->out);
  text = golden_name_ids (record->text);
  free (record->text);
  free (record);
  return text;
}
