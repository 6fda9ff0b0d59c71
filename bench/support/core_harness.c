#include "bench/support/core_harness_private.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DATA_CENTRE "dc-a"
#define START_MS 1000000
#define LEASE_MS 6000
#define HEARTBEAT_MS 300
#define FAR_ROUNDS 5
#define SETTLE_MS 20000
#define CLOCK_READS 20000

void
harness_must (bool good, const char *what)
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

void
harness_step (CoreHarness *h, const MuxEvent *event)
{
  int64_t from_ns = cpu_now_ns ();
  int64_t ns;

  mux_core_step (h->core, event, h->now_ms);
  ns = cpu_now_ns () - from_ns - h->clock_ns;
  h->cpu_ns += ns > 0 ? (uint64_t) ns : 0;
  h->steps++;
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
      harness_answer_worker (h, item);
    }
  while ((item = h->table_calls) != NULL && item->due_ms <= h->now_ms)
    {
      DL_DELETE (h->table_calls, item);
      harness_answer_table (h, item);
    }
  if (h->options.members > 0 && h->heartbeat_ms <= h->now_ms)
    send_heartbeats (h);
  if (mux_core_wake_ms (h->core) <= h->now_ms)
    harness_step (h, &tick);
}

void
core_harness_peer (CoreHarness *h, uint32_t member, MuxPeerMsg *msg)
{
  MuxEvent event = { MUX_EVENT_PEER, { .peer = msg } };

  harness_member_name (member, msg->from);
  msg->from_incarnation = 1;
  mux_name_copy (msg->to, HARNESS_NAME);
  harness_step (h, &event);
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
core_harness_ask (CoreHarness *h, MuxCoreRequest *ask)
{
  MuxEvent event = { MUX_EVENT_REQUEST, { .request = ask } };

  ask->call_id = ++h->next_call;
  harness_step (h, &event);
}

void
core_harness_put (CoreHarness *h,
                  MuxConfigSort sort,
                  const char *name,
                  const char *json)
{
  MuxCoreRequest ask = { .verb = MUX_CORE_CONFIG_PUT,
                         .sort = sort,
                         .change_id = { 1, h->next_call + 1 },
                         .author = "operator",
                         .body = mux_blob_new (json, strlen (json)) };
  int64_t until_ms = h->now_ms + SETTLE_MS;

  mux_name_copy (ask.name, name);
  core_harness_ask (h, &ask);
  while (h->last.call_id != ask.call_id && h->now_ms < until_ms)
    core_harness_run (h, 1);
  if (h->last.call_id != ask.call_id || h->last.status / 100 != 2)
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
              .incarnation = HARNESS_WORKER_LIFE,
              .capacity = { 64000, 256000, 0, h->options.slots },
              .grace_ms = 1000,
              .retain_ms = 120000,
              .ctx = h,
              .on_end = harness_task_ended };

      snprintf (name, sizeof name, "w%04u", i);
      h->worker[i] = standin_worker_new (&options);
      h->worker_tick_ms[i] = INT64_MAX;
      harness_must (h->worker[i] != NULL, "memory is out");
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
                             .incarnation = HARNESS_WORKER_LIFE,
                             .task = { 9, i + 1 },
                             .class_name = "service-x",
                             .kind = MUX_KIND_LONG_RUNNING,
                             .size = { 100, 100, 0, 1 } };

      snprintf (call.worker, sizeof call.worker, "w%04u", worker);
      harness_member_name (0, call.owner);
      harness_member_name (0, call.home);
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
      harness_member_name (0, call.owner);
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

  harness_must (list != NULL, "memory is out");
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
  harness_step (h, &event);
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
  MuxCoreOptions core = { .name = HARNESS_NAME,
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

  harness_must (h != NULL && options->workers <= HARNESS_WORKERS_MAX,
                "options");
  h->options = *options;
  if (h->options.far_rounds == 0)
    h->options.far_rounds = FAR_ROUNDS;
  harness_sink_init (h);
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
  harness_must (h->core != NULL && h->platform != NULL, "set-up");
  core_harness_list (h,
                     options->listed > 0 ? options->listed : options->workers);
  core_harness_run (h, SETTLE_MS);
  harness_must (mux_core_ready (h->core), "the core is not ready");
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
  harness_call_free (item);
  DL_FOREACH_SAFE (h->table_calls, item, next)
  harness_call_free (item);
  HASH_ITER (hh, h->held, item, next)
  {
    HASH_DEL (h->held, item);
    harness_call_free (item);
  }
  for (uint32_t i = 0; i < h->options.workers; i++)
    standin_worker_free (h->worker[i]);
  standin_platform_free (h->platform);
  mux_counters_free (h->counters);
  free (h);
}
