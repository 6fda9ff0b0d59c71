/* One seeded run of separate processes under faults, and what callers and
 * operators were told held against what the workers and the table kept. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/fault_inject.h"
#include "demo/support/history.h"
#include "demo/support/http.h"
#include "demo/support/mixed_callers.h"
#include "demo/support/mixed_jobs.h"
#include "demo/support/operators.h"

#include <curl/curl.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 6
#define WORKERS 12
#define DATA_CENTRES 3
#define CALLERS 32
#define TRIES 6
#define GIVE_UP_MS 6000
#define PAUSE_MS 120
#define LEASE_MS 3000
#define START_MS 20000
/* After the last fault, for everything that was accepted to end. */
#define SETTLE_MS 40000
#define STOP_MS 40000
#define MS_PER_S 1000
#define SECONDS_MAX 600

static const char *const data_centres[DATA_CENTRES]
    = { "nizwa-hall", "bahla-hall", "izki-hall" };

static const MuxClusterObject objects[] = {
  { "/v1/config/product/hajar-skies",
    "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}" },
  { "/v1/config/class/basket-booking",
    "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":false,"
    "\"start_within_ms\":250,\"start_share_ppm\":990000,\"size\":"
    "{\"cpu_milli\":2000,\"mem_mib\":4096,\"accels\":0},\"run_ms\":60}" },
  { "/v1/config/class/seat-lookup",
    "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":true,"
    "\"start_within_ms\":250,\"start_share_ppm\":990000,\"size\":"
    "{\"cpu_milli\":1000,\"mem_mib\":2048,\"accels\":0},\"run_ms\":60}" },
  { "/v1/config/class/nightly-settlement",
    "{\"product\":\"hajar-skies\",\"kind\":\"batch\",\"idempotent\":true,"
    "\"start_within_ms\":60000,\"start_share_ppm\":950000,\"size\":"
    "{\"cpu_milli\":4000,\"mem_mib\":8192,\"accels\":0},\"run_ms\":200}" },
  { "/v1/config/class/settlement-gang",
    "{\"product\":\"hajar-skies\",\"kind\":\"gang\",\"idempotent\":true,"
    "\"start_within_ms\":60000,\"start_share_ppm\":950000,\"size\":"
    "{\"cpu_milli\":8000,\"mem_mib\":16384,\"accels\":0},\"run_ms\":300}" },
  { "/v1/config/class/seat-watch",
    "{\"product\":\"hajar-skies\",\"kind\":\"long_running\",\"idempotent\":"
    "true,\"start_within_ms\":60000,\"start_share_ppm\":950000,\"size\":"
    "{\"cpu_milli\":1000,\"mem_mib\":1024,\"accels\":0},\"run_ms\":60000}" },
  { "/v1/config/class/raced-for",
    "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":true,"
    "\"start_within_ms\":250,\"start_share_ppm\":990000,\"size\":"
    "{\"cpu_milli\":1000,\"mem_mib\":1024,\"accels\":0},\"run_ms\":40}" },
};

typedef struct
{
  uint64_t seed;
  uint32_t run_ms;
  char scratch[MUX_PATH_LEN];
  char calls_path[MUX_PATH_LEN + 16];
  MuxCluster *cluster;
  MuxJsonl *log;
  MuxFaultPlan plan;
  MuxFaultRun faults;
  MuxMixTally calls;
  MuxMixedJobsTally jobs;
  uint32_t changes;
  uint32_t stuck; /* daemons that did not end after SIGTERM */
} Run;

static bool
set_up (Run *run, const char *bin, MuxError *err)
{
  const MuxClusterOptions options = { .bin = bin,
                                      .scratch = run->scratch,
                                      .data_centres = data_centres,
                                      .data_centre_count = DATA_CENTRES,
                                      .daemons = DAEMONS,
                                      .workers = WORKERS,
                                      .capacity = { 32000, 128 * 1024, 0, 8 },
                                      .linked = true,
                                      .lease_ms = LEASE_MS };

  if (!mux_scratch_new ("history", run->scratch, sizeof run->scratch, err))
    return false;
  snprintf (run->calls_path, sizeof run->calls_path, "%s/calls.jsonl",
            run->scratch);
  run->log = mux_jsonl_open (run->calls_path, err);
  if (run->log == NULL)
    return false;
  run->cluster = mux_cluster_new (&options, err);
  return run->cluster != NULL && mux_cluster_await (run->cluster, START_MS, err)
         && mux_cluster_configure (run->cluster, objects,
                                   sizeof objects / sizeof objects[0], START_MS,
                                   err);
}

/* Everything at once, while the main thread carries out the plan. */
static bool
storm (Run *run, MuxError *err)
{
  const char *addrs[DAEMONS];
  const MuxMixOptions mix_options = { .booking = "basket-booking",
                                      .lookup = "seat-lookup",
                                      .addrs = addrs,
                                      .addr_count = DAEMONS,
                                      .threads = CALLERS,
                                      .tries = TRIES,
                                      .give_up_ms = GIVE_UP_MS,
                                      .pause_ms = PAUSE_MS,
                                      .seed = run->seed,
                                      .log = run->log };
  const MuxMixedJobsOptions jobs_options = { .cluster = run->cluster,
                                             .batch = "nightly-settlement",
                                             .gang = "settlement-gang",
                                             .service = "seat-watch",
                                             .seed = run->seed,
                                             .log = run->log };
  const MuxOperatorsOptions operators_options = { .cluster = run->cluster,
                                                  .class_name = "raced-for",
                                                  .seed = run->seed,
                                                  .log = run->log };
  MuxOperators *operators;
  MuxMixedJobs *jobs;
  MuxMix *mix;
  bool ok;

  for (uint32_t i = 0; i < DAEMONS; i++)
    addrs[i] = run->cluster->daemon[i].addr;
  mix = mux_mix_start (&mix_options, err);
  if (mix == NULL)
    return false;
  operators = mux_operators_start (&operators_options);
  jobs = mux_mixed_jobs_start (&jobs_options);
  run->faults = (MuxFaultRun){ .cluster = run->cluster,
                               .plan = &run->plan,
                               .log = run->log };
  ok = mux_fault_run (&run->faults, err);
  mux_mix_stop (mix, &run->calls);
  run->changes = mux_operators_stop (operators);
  mux_mixed_jobs_stop (jobs, SETTLE_MS, &run->jobs);
  mux_operators_judge (&operators_options, SETTLE_MS);
  return ok;
}

static void
stop (Run *run)
{
  MuxCluster *cluster = run->cluster;
  int64_t until_ms = mux_mono_ms () + STOP_MS;

  for (uint32_t i = 0; i < cluster->daemon_count; i++)
    mux_proc_signal (cluster->daemon[i].proc, SIGTERM);
  for (uint32_t i = 0; i < cluster->daemon_count; i++)
    {
      int64_t left_ms = until_ms - mux_mono_ms ();

      if (!mux_proc_wait (cluster->daemon[i].proc,
                          left_ms > 0 ? (int32_t) left_ms : 0, NULL))
        {
          printf ("history: %s did not end\n", cluster->daemon[i].name);
          run->stuck++;
        }
    }
  /* The logs are judged once nobody writes to them any more. */
  for (uint32_t i = 0; i < cluster->worker_count; i++)
    mux_cluster_kill (&cluster->worker[i]);
}

static bool
judge (Run *run, MuxHistoryReport *report, MuxError *err)
{
  MuxHistory *history = mux_history_new ();
  bool ok = history != NULL;

  for (uint32_t i = 0; ok && i < WORKERS; i++)
    mux_history_worker (history, run->cluster->worker[i].name,
                        run->cluster->options.capacity);
  for (uint32_t i = 0; ok && i < WORKERS; i++)
    ok = mux_history_work_file (history, run->cluster->worker[i].log, err);
  ok = ok && mux_history_calls_file (history, run->calls_path, err);
  if (ok)
    mux_history_check (history, report);
  mux_history_free (history);
  return ok;
}

static uint32_t
print_faults (const Run *run)
{
  uint32_t total = 0;

  printf ("history: faults");
  for (uint32_t i = 0; i < MUX_FAULT_KIND_COUNT; i++)
    {
      total += run->faults.done[i];
      if (run->faults.done[i] > 0)
        printf (" %s=%u", mux_fault_name ((MuxFaultKind) i),
                run->faults.done[i]);
    }
  printf ("\n");
  return total;
}

static bool
print_verdict (const Run *run, const MuxHistoryReport *report)
{
  const MuxMixTally *calls = &run->calls;
  const MuxMixedJobsTally *jobs = &run->jobs;
  uint32_t faults = print_faults (run);
  uint32_t violations = run->stuck;

  printf ("history: violations");
  for (uint32_t i = 0; i < MUX_RULE_COUNT; i++)
    {
      violations += report->broken[i];
      printf (" %s=%u", mux_rule_name ((MuxRule) i), report->broken[i]);
    }
  printf (" stuck=%u\n", run->stuck);
  for (uint32_t i = 0; i < report->finding_count; i++)
    printf ("history: %s\n", report->finding[i]);
  printf ("history: jobs accepted=%u done=%u failed=%u cancelled=%u open=%u, "
          "changes accepted=%u\n",
          jobs->accepted, jobs->done, jobs->failed, jobs->cancelled, jobs->open,
          run->changes);
  printf ("history: seed=%llu faults=%u calls=%u submissions=%u done=%u "
          "not_run=%u unknown=%u failed=%u no_answer=%u starts=%u "
          "violations=%u\n",
          (unsigned long long) run->seed, faults, calls->calls,
          calls->submissions, calls->done, calls->not_run, calls->unknown,
          calls->failed, calls->none, report->starts, violations);
  /* A cluster that answers nothing keeps every rule. */
  return violations == 0 && calls->done > 0 && jobs->done > 0
         && run->changes > 0;
}

static void
make_plan (Run *run)
{
  const MuxFaultPlanOptions options = { .seed = run->seed,
                                        .run_ms = run->run_ms,
                                        .daemons = DAEMONS,
                                        .workers = WORKERS,
                                        .data_centres = DATA_CENTRES,
                                        .lease_ms = LEASE_MS };

  mux_fault_plan (&options, &run->plan);
  mux_fault_plan_print (&run->plan, stdout);
}

static bool
read_args (int argc, char **argv, Run *run)
{
  unsigned long long seconds = 0;

  if (argc == 3)
    {
      run->seed = strtoull (argv[1], NULL, 10);
      seconds = strtoull (argv[2], NULL, 10);
    }
  run->run_ms = (uint32_t) (seconds * MS_PER_S);
  return seconds > 0 && seconds <= SECONDS_MAX;
}

int
main (int argc, char **argv)
{
  MuxHistoryReport report = { 0 };
  MuxError err = { 0 };
  Run run = { 0 };
  bool ok;

  setvbuf (stdout, NULL, _IOLBF, 0);
  if (!read_args (argc, argv, &run))
    {
      fprintf (stderr, "usage: history SEED SECONDS (1 to %d)\n", SECONDS_MAX);
      return 2;
    }
  mux_proc_guard ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  make_plan (&run);
  ok = set_up (&run, dirname (argv[0]), &err);
  if (ok)
    {
      printf ("history: %d daemons and %d workers in 3 data centres, logs in "
              "%s\n",
              DAEMONS, WORKERS, run.scratch);
      ok = storm (&run, &err);
      stop (&run);
      ok = judge (&run, &report, &err) && print_verdict (&run, &report) && ok;
    }
  if (err.code != MUX_ERROR_NONE)
    printf ("history: %s\n", err.text);
  mux_cluster_free (run.cluster);
  mux_jsonl_close (run.log);
  return ok ? 0 : 1;
}
