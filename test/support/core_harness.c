#include "support/core_harness.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>
#include <utlist.h>

#define NAME "entry-a"
#define DATA_CENTRE "dc-a"
#define START_MS 1000000
#define WORKER_MS 1
#define LEASE_MS 6000
#define HEARTBEAT_MS 300
#define FAR_ROUNDS 5
#define WORKER_LIFE 7
#define SETTLE_MS 20000
#define CLOCK_READS 20000

/* A call on its way, or its reply. */
struct HarnessCall
{
  int64_t due_ms;
  MuxWorkerCall call;
  uint32_t worker;
  MuxTableCall *table;
  MuxId task;
  HarnessCall *prev;
  HarnessCall *next;
  UT_hash_handle hh;
};

static void
must (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "core_harness: %s\n", what);
  exit (EXIT_FAILURE);
}

static int64_t
cpu_now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (int64_t) now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
step (CoreHarness *h, const MuxEvent *event)
{
  int64_t from_ns = cpu_now_ns ();
  int64_t ns;

  mux_core_step (h->core, event, h->now_ms);
  ns = cpu_now_ns () - from_ns - h->clock_ns;
  h->cpu_ns += ns > 0 ? (uint64_t) ns : 0;
  h->steps++;
}

static HarnessCall *
call_new (int64_t due_ms)
{
  HarnessCall *call = calloc (1, sizeof *call);

  must (call != NULL, "memory is out");
  call->due_ms = due_ms;
  return call;
}

static void
call_free (HarnessCall *call)
{
  mux_blob_unref (call->call.body);
  if (call->table != NULL)
    mux_table_call_free (call->table);
  free (call);
}

static void
on_answer (MuxSink *sink, const MuxAnswer *answer)
{
  CoreHarness *h = (CoreHarness *) sink;

  h->answers[answer->outcome]++;
  h->last = *answer;
  h->last.body = NULL;
}

static bool
on_worker_call (MuxSink *sink, const MuxWorkerCall *call)
{
  CoreHarness *h = (CoreHarness *) sink;
  HarnessCall *item = call_new (h->now_ms + WORKER_MS);

  h->asked[call->verb]++;
  item->call = *call;
  mux_name_copy (item->call.owner, NAME);
  mux_blob_ref (call->body);
  item->worker = (uint32_t) strtoul (call->worker + 1, NULL, 10);
  DL_APPEND (h->worker_calls, item);
  return true;
}

static bool
on_table_call (MuxSink *sink, MuxTableCall *call)
{
  CoreHarness *h = (CoreHarness *) sink;
  HarnessCall *item = call_new (h->now_ms + h->options.table_ms);

  item->table = call;
  DL_APPEND (h->table_calls, item);
  return true;
}

static void
member_name (uint32_t member, char *out)
{
  snprintf (out, MUX_NAME_LEN, "entry-m%02u", member);
}

void
core_harness_peer (CoreHarness *h, uint32_t member, MuxPeerMsg *msg)
{
  MuxEvent event = { MUX_EVENT_PEER, { .peer = msg } };

  member_name (member, msg->from);
  msg->from_incarnation = 1;
  mux_name_copy (msg->to, NAME);
  step (h, &event);
}

/* The first member grants each ask on the next of the workers it holds. */
static void
grant (CoreHarness *h, const MuxPeerMsg *ask)
{
  uint32_t worker = h->next_worker++ % h->options.workers;
  HarnessCall *item = call_new (h->now_ms + WORKER_MS);

  item->worker = worker;
  item->task = ask->task;
  item->call.verb = MUX_WORKER_RELEASE; /* marks a grant */
  item->call.size = (MuxSize){ 100, 100, 0, 1 };
  DL_APPEND (h->worker_calls, item);
}

static bool
on_peer_send (MuxSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  CoreHarness *h = (CoreHarness *) sink;

  (void) addr;
  h->sent[msg->verb]++;
  if (msg->verb == MUX_PEER_GRANT_ASK && h->options.remote)
    grant (h, msg);
  return true;
}

static void
on_state_log (MuxSink *sink, int level, const char *event, const char *text)
{
  CoreHarness *h = (CoreHarness *) sink;

  (void) level;
  (void) text;
  h->suspects += strcmp (event, "member_suspect") == 0;
}

static void
send_grant (CoreHarness *h, const HarnessCall *item)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT,
                     .task = item->task,
                     .epoch = 1,
                     .incarnation = WORKER_LIFE,
                     .size = item->call.size };

  snprintf (msg.worker, sizeof msg.worker, "w%04u", item->worker);
  snprintf (msg.worker_addr, sizeof msg.worker_addr, "10.1.0.1:%u",
            10000 + item->worker);
  core_harness_peer (h, 0, &msg);
}

static void
answer_worker (CoreHarness *h, HarnessCall *item)
{
  StandinWorker *worker = h->worker[item->worker];
  MuxEvent event = { MUX_EVENT_WORKER_REPLY, { .worker_reply = NULL } };
  MuxWorkerReply *reply;

  if (item->call.call_id == 0)
    {
      send_grant (h, item);
      call_free (item);
      return;
    }
  reply = standin_worker_call (worker, &item->call, h->now_ms, NULL);
  must (reply != NULL, "no reply");
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
  step (h, &event);
  mux_worker_reply_free (reply);
  call_free (item);
}

static void
on_end (void *ctx, MuxId task)
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
  must (reply != NULL, "memory is out");
  reply->rev = rev;
  reply->more = set.more;
  memcpy (reply->rows, set.row, set.count * sizeof set.row[0]);
  return reply;
}

static void
answer_table (CoreHarness *h, HarnessCall *item)
{
  MuxTableReply *reply = table_reply (h, item->table);
  MuxEvent event = { MUX_EVENT_TABLE_REPLY, { .table_reply = reply } };

  step (h, &event);
  mux_table_reply_free (reply);
  call_free (item);
}

static void
send_heartbeats (CoreHarness *h)
{
  bool far_too = h->heartbeats++ % h->options.far_rounds == 0;

  h->heartbeat_ms = h->now_ms + HEARTBEAT_MS;
  for (uint32_t i = 0; i < h->options.members; i++)
    {
      bool near = i < h->options.near;
      MuxPeerMsg msg = { .verb = MUX_PEER_HEARTBEAT,
                         .free = { 500000, 500000, 0, 500 },
                         .total = { 1000000, 1000000, 0, 1000 },
                         .largest = { 32000, 128000, 0, 64 } };

      if (!near && !far_too)
        continue;
      snprintf (msg.from_dc, MUX_NAME_LEN, "%s", near ? DATA_CENTRE : "dc-b");
      snprintf (msg.from_addr, MUX_ADDR_LEN, "10.0.0.1:%u", 7000 + i);
      core_harness_peer (h, i, &msg);
    }
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
next_ms (const CoreHarness *h)
{
  int64_t at = mux_core_wake_ms (h->core);

  if (h->options.members > 0)
    at = earlier (at, h->heartbeat_ms);
  if (h->worker_calls != NULL)
    at = earlier (at, h->worker_calls->due_ms);
  if (h->table_calls != NULL)
    at = earlier (at, h->table_calls->due_ms);
  for (uint32_t i = 0; i < h->options.workers; i++)
    at = earlier (at, h->worker_tick_ms[i]);
  return at;
}

static void
run_due (CoreHarness *h)
{
  MuxEvent tick = { .kind = MUX_EVENT_TICK };
  HarnessCall *item;

  for (uint32_t i = 0; i < h->options.workers; i++)
    if (h->worker_tick_ms[i] <= h->now_ms)
      h->worker_tick_ms[i] = standin_worker_tick (h->worker[i], h->now_ms);
  while ((item = h->worker_calls) != NULL && item->due_ms <= h->now_ms)
    {
      DL_DELETE (h->worker_calls, item);
      answer_worker (h, item);
    }
  while ((item = h->table_calls) != NULL && item->due_ms <= h->now_ms)
    {
      DL_DELETE (h->table_calls, item);
      answer_table (h, item);
    }
  if (h->options.members > 0 && h->heartbeat_ms <= h->now_ms)
    send_heartbeats (h);
  if (mux_core_wake_ms (h->core) <= h->now_ms)
    step (h, &tick);
}

void
core_harness_run (CoreHarness *h, int64_t ms)
{
  int64_t until_ms = h->now_ms + ms;

  while (h->now_ms < until_ms)
    {
      int64_t at = next_ms (h);

      h->now_ms = earlier (until_ms, at > h->now_ms ? at : h->now_ms + 1);
      run_due (h);
    }
}

void
core_harness_ask (CoreHarness *h, MuxAsk *ask)
{
  MuxEvent event = { MUX_EVENT_ASK, { .ask = ask } };

  ask->call = ++h->next_call;
  step (h, &event);
}

void
core_harness_put (CoreHarness *h,
                  MuxConfigSort sort,
                  const char *name,
                  const char *json)
{
  MuxAsk ask = { .verb = MUX_ASK_CONFIG_PUT,
                 .sort = sort,
                 .change = { 1, h->next_call + 1 },
                 .who = "operator",
                 .body = mux_blob_new (json, strlen (json)) };
  int64_t until_ms = h->now_ms + SETTLE_MS;

  mux_name_copy (ask.name, name);
  core_harness_ask (h, &ask);
  while (h->last.call != ask.call && h->now_ms < until_ms)
    core_harness_run (h, 1);
  if (h->last.call != ask.call || h->last.status / 100 != 2)
    {
      fprintf (stderr, "core_harness: %s: %s\n", name,
               mux_reason_name (h->last.reason));
      exit (EXIT_FAILURE);
    }
  mux_blob_unref (ask.body);
}

static void
add_workers (CoreHarness *h)
{
  for (uint32_t i = 0; i < h->options.workers; i++)
    {
      char name[MUX_NAME_LEN];
      StandinWorkerOptions options
          = { .name = name,
              .incarnation = WORKER_LIFE,
              .capacity = { 64000, 256000, 0, h->options.slots },
              .grace_ms = 1000,
              .retain_ms = 1000,
              .ctx = h,
              .on_end = on_end };

      snprintf (name, sizeof name, "w%04u", i);
      h->worker[i] = standin_worker_new (&options);
      h->worker_tick_ms[i] = INT64_MAX;
      must (h->worker[i] != NULL, "memory is out");
    }
}

static void
start_running (CoreHarness *h)
{
  for (uint32_t i = 0; i < h->options.running; i++)
    {
      uint32_t worker = i % h->options.workers;
      MuxWorkerCall call = { .verb = MUX_WORKER_START,
                             .epoch = 1,
                             .incarnation = WORKER_LIFE,
                             .task = { 9, i + 1 },
                             .class_name = "service-x",
                             .kind = MUX_KIND_LONG_RUNNING,
                             .size = { 100, 100, 0, 1 } };

      snprintf (call.worker, sizeof call.worker, "w%04u", worker);
      member_name (0, call.owner);
      member_name (0, call.home);
      mux_worker_reply_free (
          standin_worker_call (h->worker[worker], &call, h->now_ms, NULL));
    }
}

static void
claim_before (CoreHarness *h)
{
  for (uint32_t i = 0; i < h->options.workers; i++)
    {
      MuxWorkerCall call
          = { .verb = MUX_WORKER_CLAIM, .epoch = 1, .lease_ms = 100000000 };

      snprintf (call.worker, sizeof call.worker, "w%04u", i);
      member_name (0, call.owner);
      mux_worker_reply_free (
          standin_worker_call (h->worker[i], &call, h->now_ms, NULL));
    }
}

void
core_harness_list (CoreHarness *h, uint32_t count)
{
  MuxInstanceList *list
      = calloc (1, sizeof *list + count * sizeof list->item[0]);
  MuxEvent event = { MUX_EVENT_INSTANCES, { .instances = list } };

  must (list != NULL, "memory is out");
  list->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      MuxInstance *it = &list->item[i];

      snprintf (it->name, sizeof it->name, "w%04u", i);
      snprintf (it->data_centre, sizeof it->data_centre, "%s",
                h->options.remote ? "dc-b" : DATA_CENTRE);
      snprintf (it->rack, sizeof it->rack, "r%03u", i / 8);
      snprintf (it->addr, sizeof it->addr, "10.1.0.1:%u", 10000 + i);
      it->role = MUX_ROLE_WORKER;
    }
  step (h, &event);
  free (list);
}

static void
learn_clock (CoreHarness *h)
{
  int64_t from_ns = cpu_now_ns ();

  for (int i = 0; i < CLOCK_READS; i++)
    cpu_now_ns ();
  h->clock_ns = (cpu_now_ns () - from_ns) / CLOCK_READS;
}

CoreHarness *
core_harness_new (const CoreHarnessOptions *options)
{
  CoreHarness *h = calloc (1, sizeof *h);
  StandinPlatformOptions platform = { 0 };
  MuxCoreOptions core = { .name = NAME,
                          .data_centre = DATA_CENTRE,
                          .peer_addr = "10.0.0.9:7000",
                          .incarnation = 1,
                          .seed = 42,
                          .lease_ms = LEASE_MS,
                          .heartbeat_ms = HEARTBEAT_MS,
                          .suspect_ms = 3 * HEARTBEAT_MS,
                          .dead_ms = 5 * HEARTBEAT_MS,
                          .queue_max = 100000,
                          .writes_per_s = 1000 };

  must (h != NULL && options->workers <= HARNESS_WORKERS_MAX, "options");
  h->options = *options;
  if (h->options.far_rounds == 0)
    h->options.far_rounds = FAR_ROUNDS;
  h->sink = (MuxSink){ on_answer, on_worker_call, on_table_call, on_peer_send,
                       on_state_log };
  h->now_ms = START_MS;
  h->counters = mux_counters_new ();
  h->platform = standin_platform_new (&platform);
  add_workers (h);
  if (options->remote || options->running > 0)
    claim_before (h);
  start_running (h);
  learn_clock (h);
  core.sink = &h->sink;
  core.counters = h->counters;
  h->core = mux_core_new (&core, NULL);
  must (h->core != NULL && h->platform != NULL, "set-up");
  core_harness_list (h,
                     options->listed > 0 ? options->listed : options->workers);
  core_harness_run (h, SETTLE_MS);
  must (mux_core_ready (h->core), "the core is not ready");
  return h;
}

static uint64_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

void
core_harness_free (CoreHarness *h, uint64_t *core_bytes)
{
  uint64_t before = heap_bytes ();
  HarnessCall *item, *next;

  mux_core_free (h->core);
  if (core_bytes != NULL)
    *core_bytes = before - heap_bytes ();
  DL_FOREACH_SAFE (h->worker_calls, item, next)
  call_free (item);
  DL_FOREACH_SAFE (h->table_calls, item, next)
  call_free (item);
  HASH_ITER (hh, h->held, item, next)
  {
    HASH_DEL (h->held, item);
    call_free (item);
  }
  for (uint32_t i = 0; i < h->options.workers; i++)
    standin_worker_free (h->worker[i]);
  standin_platform_free (h->platform);
  mux_counters_free (h->counters);
  free (h);
}
