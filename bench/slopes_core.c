/* What the core costs in processor time, memory and table calls: each thing
 * at several sizes, with the line through them.  The core is driven by events
 * on a fake clock; its worker calls and table calls are answered by the
 * stand-ins' logic without any I/O, so what stands here is the decisions'
 * cost alone.  slopes_wire and slopes_daemon have the rest. */
#include "bench/support/core_harness.h"
#include "bench/support/slope.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 60000
#define LEASES_SETTLE_MS 300000
#define PER_S(count) ((double) (count) / (WINDOW_MS / 1000.0))
#define CLASS_JSON                                        \
  "{\"product\":\"p\",\"kind\":\"%s\",\"idempotent\":%s," \
  "\"start_within_ms\":2800,\"start_share_ppm\":990000,"  \
  "\"size\":{\"cpu_milli\":100,\"mem_mib\":100,\"accels\":0},\"run_ms\":%u}"

static void
put_product (CoreHarness *h, const char *name)
{
  core_harness_put (h, MUX_CONFIG_PRODUCT, name,
                    "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,"
                    "\"accels\":0,\"slots\":0}}");
}

static void
put_class (CoreHarness *h, const char *name, const char *kind, bool idempotent)
{
  char json[512];

  snprintf (json, sizeof json, CLASS_JSON, kind, idempotent ? "true" : "false",
            strcmp (kind, "long_running") == 0 ? 0U : 5U);
  core_harness_put (h, MUX_CONFIG_CLASS, name, json);
}

static CoreHarness *
harness_with_product (const CoreHarnessOptions *options)
{
  CoreHarness *h = core_harness_new (options);

  put_product (h, "p");
  return h;
}

/* Processor time over a minute, then the core's whole heap. */
static void
idle_minute (CoreHarness *h, double size, Slope *cpu, Slope *heap)
{
  uint64_t before = h->cpu_ns;
  uint64_t bytes;

  core_harness_run (h, WINDOW_MS);
  slope_add (cpu, size, PER_S (h->cpu_ns - before));
  core_harness_free (h, &bytes);
  slope_add (heap, size, (double) bytes);
}

static void
workers (const char *name, uint32_t tasks_each)
{
  static const uint32_t sizes[] = { 16, 50, 100, 208, 400, 800 };
  Slope renewals = { 0 };
  Slope cpu = { 0 };
  Slope heap = { 0 };
  char label[64];

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options = { .workers = sizes[i],
                                     .slots = 64,
                                     .running = sizes[i] * tasks_each,
                                     .members = tasks_each > 0 };
      CoreHarness *h = core_harness_new (&options);
      uint64_t before;

      /* Leases grow with the workers held; let them all be renewed once. */
      core_harness_run (h, LEASES_SETTLE_MS);
      before = h->asked[MUX_WORKER_RENEW];
      core_harness_run (h, WINDOW_MS);
      slope_add (&renewals, sizes[i],
                 PER_S (h->asked[MUX_WORKER_RENEW] - before));
      idle_minute (h, sizes[i], &cpu, &heap);
    }
  snprintf (label, sizeof label, "worker.renewals.%s", name);
  slope_print (&renewals, label, "renewals/s/worker");
  snprintf (label, sizeof label, "core.cpu.worker_%s", name);
  slope_print (&cpu, label, "ns/s/worker");
  snprintf (label, sizeof label, "core.heap.worker_%s", name);
  slope_print (&heap, label, "bytes/worker");
}

/* Workers of other data centres, which this core only knows by name. */
static void
workers_known (void)
{
  static const uint32_t sizes[] = { 675, 1350, 2700, 5400 };
  Slope cpu = { 0 };
  Slope heap = { 0 };
  Slope list = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options
          = { .workers = sizes[i], .slots = 8, .remote = true, .members = 1 };
      CoreHarness *h = core_harness_new (&options);
      uint64_t before = h->cpu_ns;

      core_harness_list (h, sizes[i]);
      slope_add (&list, sizes[i], (double) (h->cpu_ns - before));
      idle_minute (h, sizes[i], &cpu, &heap);
    }
  slope_print (&cpu, "core.cpu.worker_known", "ns/s/worker");
  slope_print (&heap, "core.heap.worker_known", "bytes/worker");
  slope_print (&list, "core.cpu.instance_listed", "ns/instance");
}

static void
tasks_owned (void)
{
  static const uint32_t sizes[] = { 400, 1000, 2000, 4000, 8000 };
  Slope cpu = { 0 };
  Slope heap = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options
          = { .workers = 200, .slots = 64, .running = sizes[i], .members = 1 };

      idle_minute (core_harness_new (&options), sizes[i], &cpu, &heap);
    }
  slope_print (&cpu, "core.cpu.task_owned", "ns/s/task");
  slope_print (&heap, "core.heap.task_owned", "bytes/task");
}

/* Long-running tasks of jobs whose home is this core, on a peer's workers. */
static void
tasks_home (void)
{
  static const uint32_t sizes[] = { 250, 500, 1000, 2000, 4000 };
  Slope cpu = { 0 };
  Slope heap = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options = {
        .workers = 200, .slots = 64, .remote = true, .members = 1, .table_ms = 2
      };
      CoreHarness *h = harness_with_product (&options);
      MuxCoreRequest ask = { .verb = MUX_CORE_JOB_SUBMIT,
                             .name = "service-x",
                             .task_count = sizes[i] };

      put_class (h, "service-x", "long_running", true);
      core_harness_ask (h, &ask);
      core_harness_run (h, WINDOW_MS);
      if (mux_counter_value (h->counters, MUX_COUNT_STARTS) != sizes[i])
        fprintf (stderr, "slopes_core: %u tasks, %llu starts\n", sizes[i],
                 (unsigned long long) mux_counter_value (h->counters,
                                                         MUX_COUNT_STARTS));
      idle_minute (h, sizes[i], &cpu, &heap);
    }
  slope_print (&cpu, "core.cpu.task_home", "ns/s/task");
  slope_print (&heap, "core.heap.task_home", "bytes/task");
}

static void
objects (const char *name, bool is_class)
{
  static const uint32_t sizes[] = { 60, 120, 240, 480, 960 };
  Slope change = { 0 };
  Slope cpu = { 0 };
  Slope heap = { 0 };
  Slope writes = { 0 };
  Slope reads = { 0 };
  char label[64];

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options = { .table_ms = 2 };
      CoreHarness *h = harness_with_product (&options);
      uint64_t before = h->cpu_ns;
      StandinPlatformStats from;
      StandinPlatformStats to;

      standin_platform_stats (h->platform, &from);
      for (uint32_t n = 0; n < sizes[i]; n++)
        {
          char object[MUX_NAME_LEN];

          snprintf (object, sizeof object, "object-%u", n);
          if (is_class)
            put_class (h, object, "service", false);
          else
            put_product (h, object);
        }
      standin_platform_stats (h->platform, &to);
      slope_add (&change, sizes[i], (double) (h->cpu_ns - before));
      slope_add (&writes, sizes[i], (double) (to.txns - from.txns));
      slope_add (&reads, sizes[i],
                 (double) (to.reads + to.scans - from.reads - from.scans));
      idle_minute (h, sizes[i], &cpu, &heap);
    }
  snprintf (label, sizeof label, "core.cpu.%s", name);
  slope_print (&cpu, label, "ns/s/object");
  snprintf (label, sizeof label, "core.heap.%s", name);
  slope_print (&heap, label, "bytes/object");
  snprintf (label, sizeof label, "core.cpu.change_%s", name);
  slope_print (&change, label, "ns/change");
  snprintf (label, sizeof label, "table.writes.change_%s", name);
  slope_print (&writes, label, "txns/change");
  snprintf (label, sizeof label, "table.reads.change_%s", name);
  slope_print (&reads, label, "reads/change");
}

static void
members (const char *name, bool near)
{
  static const uint32_t sizes[] = { 2, 6, 12, 25, 38 };
  Slope cpu = { 0 };
  Slope heap = { 0 };
  Slope sent = { 0 };
  char label[64];

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options
          = { .members = sizes[i], .near = near ? sizes[i] : 0 };
      CoreHarness *h = harness_with_product (&options);
      uint64_t before = h->sent[MUX_PEER_HEARTBEAT];

      core_harness_run (h, WINDOW_MS);
      slope_add (&sent, sizes[i], PER_S (h->sent[MUX_PEER_HEARTBEAT] - before));
      idle_minute (h, sizes[i], &cpu, &heap);
    }
  snprintf (label, sizeof label, "core.cpu.member_%s", name);
  slope_print (&cpu, label, "ns/s/member");
  snprintf (label, sizeof label, "core.heap.member_%s", name);
  slope_print (&heap, label, "bytes/member");
  snprintf (label, sizeof label, "peer.heartbeats.member_%s", name);
  slope_print (&sent, label, "messages/s/member");
}

/* @starts requests, @callers of them at once. */
static void
run_requests (CoreHarness *h, uint32_t starts, uint32_t callers, bool keyed)
{
  MuxBlob *body = mux_blob_new ("run_ms=5\n", 9);
  uint32_t asked = 0;
  uint64_t ended = 0;

  memset (h->answers, 0, sizeof h->answers);
  while (ended < starts)
    {
      while (asked < starts && asked - ended < callers)
        {
          MuxCoreRequest ask = { .verb = MUX_CORE_RUN_TASK,
                                 .name = "request-x",
                                 .timeout_ms = 30000,
                                 .body = body };

          if (keyed)
            snprintf (ask.key, sizeof ask.key, "key-%llu",
                      (unsigned long long) h->next_call);
          asked++;
          core_harness_ask (h, &ask);
        }
      core_harness_run (h, 1);
      ended = h->answers[MUX_OUTCOME_DONE] + h->answers[MUX_OUTCOME_NOT_RUN]
              + h->answers[MUX_OUTCOME_UNKNOWN]
              + h->answers[MUX_OUTCOME_FAILED];
    }
  if (h->answers[MUX_OUTCOME_DONE] != starts)
    fprintf (stderr, "slopes_core: of %u requests %llu were done\n", starts,
             (unsigned long long) h->answers[MUX_OUTCOME_DONE]);
  mux_blob_unref (body);
}

static void
starts (const char *name, bool remote, bool keyed)
{
  static const uint32_t sizes[] = { 1000, 2000, 4000, 8000 };
  Slope cpu = { 0 };
  Slope heap = { 0 };
  Slope writes = { 0 };
  char label[64];

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options = { .workers = 16,
                                     .slots = 64,
                                     .remote = remote,
                                     .members = remote,
                                     .table_ms = 5 };
      CoreHarness *h = harness_with_product (&options);
      StandinPlatformStats from;
      StandinPlatformStats to;
      uint64_t before;
      uint64_t bytes;

      put_class (h, "request-x", "service", false);
      standin_platform_stats (h->platform, &from);
      before = h->cpu_ns;
      run_requests (h, sizes[i], 64, keyed);
      slope_add (&cpu, sizes[i], (double) (h->cpu_ns - before));
      standin_platform_stats (h->platform, &to);
      slope_add (&writes, sizes[i] / 1000.0, (double) (to.txns - from.txns));
      core_harness_free (h, &bytes);
      slope_add (&heap, sizes[i], (double) bytes);
    }
  snprintf (label, sizeof label, "core.cpu.start_%s", name);
  slope_print (&cpu, label, "ns/start");
  snprintf (label, sizeof label, "core.heap.start_%s", name);
  slope_print (&heap, label, "bytes_kept/start");
  snprintf (label, sizeof label, "table.writes.start_%s", name);
  slope_print (&writes, label, "txns/1000_starts");
}

/* Grants to a peer, each ended by it. */
static void
starts_as_owner (void)
{
  static const uint32_t sizes[] = { 1000, 2000, 4000, 8000 };
  Slope cpu = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options
          = { .workers = 16, .slots = 64, .members = 1, .table_ms = 5 };
      CoreHarness *h = harness_with_product (&options);
      uint64_t before;

      put_class (h, "request-x", "service", false);
      before = h->cpu_ns;
      for (uint32_t n = 0; n < sizes[i]; n++)
        {
          MuxPeerMsg ask = { .verb = MUX_PEER_GRANT_REQUEST,
                             .task = { 5, n + 1 },
                             .class_name = "request-x",
                             .start_within_ms = 2800,
                             .give_up_ms = 30000 };
          MuxPeerMsg end = { .verb = MUX_PEER_GRANT_END,
                             .task = { 5, n + 1 },
                             .state = MUX_TASK_DONE,
                             .ran_ms = 5 };

          core_harness_peer (h, 0, &ask);
          core_harness_peer (h, 0, &end);
        }
      slope_add (&cpu, sizes[i], (double) (h->cpu_ns - before));
      if (h->sent[MUX_PEER_GRANT] != sizes[i])
        fprintf (stderr, "slopes_core: %llu of %u granted\n",
                 (unsigned long long) h->sent[MUX_PEER_GRANT], sizes[i]);
      core_harness_free (h, NULL);
    }
  slope_print (&cpu, "core.cpu.start_as_owner", "ns/start");
}

static void
keyed_writes (void)
{
  static const uint32_t callers[] = { 1, 8, 32, 128, 512 };

  for (size_t i = 0; i < sizeof callers / sizeof callers[0]; i++)
    {
      CoreHarnessOptions options
          = { .workers = 64, .slots = 64, .table_ms = 5 };
      CoreHarness *h = harness_with_product (&options);
      StandinPlatformStats from;
      StandinPlatformStats to;
      int64_t from_ms;

      put_class (h, "request-x", "service", false);
      standin_platform_stats (h->platform, &from);
      from_ms = h->now_ms;
      run_requests (h, 8000, callers[i], true);
      standin_platform_stats (h->platform, &to);
      printf ("table.writes.keyed.callers_%u %.1f txns/1000_starts\n",
              callers[i], (double) (to.txns - from.txns) / 8);
      printf ("table.writes.keyed.callers_%u.rate %.0f txns/s\n", callers[i],
              (double) (to.txns - from.txns) * 1000
                  / (double) (h->now_ms - from_ms));
      core_harness_free (h, NULL);
    }
}

static void
run_jobs (CoreHarness *h, uint32_t jobs, uint32_t tasks)
{
  uint64_t done = 0;
  int64_t until_ms = h->now_ms + 600000;

  for (uint32_t n = 0; n < jobs; n++)
    {
      MuxCoreRequest ask = { .verb = MUX_CORE_JOB_SUBMIT,
                             .name = "batch-x",
                             .task_count = tasks,
                             .body = mux_blob_new ("run_ms=500\n", 11) };

      core_harness_ask (h, &ask);
      mux_blob_unref (ask.body);
    }
  while (done < jobs && h->now_ms < until_ms)
    {
      core_harness_run (h, 100);
      done = mux_counter_value (h->counters, MUX_COUNT_JOBS_DONE);
    }
  if (done != jobs)
    fprintf (stderr, "slopes_core: %llu of %u jobs done\n",
             (unsigned long long) done, jobs);
}

static void
jobs (uint32_t tasks)
{
  static const uint32_t sizes[] = { 5, 10, 20, 40 };
  Slope cpu = { 0 };
  Slope writes = { 0 };
  Slope reads = { 0 };
  Slope objects_put = { 0 };
  Slope heap = { 0 };
  char label[64];

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CoreHarnessOptions options
          = { .workers = 64, .slots = 64, .table_ms = 5 };
      CoreHarness *h = harness_with_product (&options);
      StandinPlatformStats from;
      StandinPlatformStats to;
      uint64_t before;
      uint64_t bytes;

      put_class (h, "batch-x", "batch", true);
      standin_platform_stats (h->platform, &from);
      before = h->cpu_ns;
      run_jobs (h, sizes[i], tasks);
      standin_platform_stats (h->platform, &to);
      slope_add (&cpu, sizes[i], (double) (h->cpu_ns - before));
      slope_add (&writes, sizes[i], (double) (to.txns - from.txns));
      slope_add (&reads, sizes[i],
                 (double) (to.reads + to.scans - from.reads - from.scans));
      slope_add (&objects_put, sizes[i],
                 (double) (to.object_puts - from.object_puts));
      core_harness_free (h, &bytes);
      slope_add (&heap, sizes[i], (double) bytes);
    }
  snprintf (label, sizeof label, "core.cpu.job_%u", tasks);
  slope_print (&cpu, label, "ns/job");
  snprintf (label, sizeof label, "table.writes.job_%u", tasks);
  slope_print (&writes, label, "txns/job");
  snprintf (label, sizeof label, "table.reads.job_%u", tasks);
  slope_print (&reads, label, "reads/job");
  snprintf (label, sizeof label, "table.objects.job_%u", tasks);
  slope_print (&objects_put, label, "puts/job");
  snprintf (label, sizeof label, "core.heap.job_%u", tasks);
  slope_print (&heap, label, "bytes_kept/job");
}

int
main (void)
{
  workers ("idle", 0);
  workers ("busy", 4);
  workers_known ();
  tasks_owned ();
  tasks_home ();
  objects ("class", true);
  objects ("product", false);
  members ("near", true);
  members ("far", false);
  starts ("local", false, false);
  starts ("local_keyed", false, true);
  starts ("as_home", true, false);
  starts ("as_home_keyed", true, true);
  starts_as_owner ();
  keyed_writes ();
  jobs (1);
  jobs (32);
  jobs (320);
  return EXIT_SUCCESS;
}
