/* The main job end to end: three data centres as separate processes, booking
 * requests and jobs, a daemon killed and a worker drained half way, and what
 * callers were told held against what the workers logged. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/history.h"
#include "demo/support/http.h"
#include "demo/support/jobs.h"
#include "demo/support/jsonl.h"
#include "demo/support/proc.h"

#include <curl/curl.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 6
#define WORKERS 12
#define REQUESTS 2000
/* Fewer answers are no working cluster, however truthful its refusals. */
#define ANSWERED_MIN (REQUESTS / 10 * 9)
#define CALLERS 32
#define CALL_TRIES 8
#define GIVE_UP_MS 10000
#define START_MS 20000
#define JOB_MS 25000
#define JOBS 2
#define PROGRESS_STEP 200
#define STEP_MS 20000
/* Killed and drained half way. */
#define KILLED_DAEMON 4
#define DRAINED_WORKER 7

static const char *const data_centres[]
    = { "nizwa-hall", "bahla-hall", "izki-hall" };

static const MuxClusterObject objects[] = {
  { "/v1/config/product/hajar-skies",
    "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}" },
  { "/v1/config/class/basket-booking",
    "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":false,"
    "\"start_within_ms\":250,\"start_share_ppm\":990000,\"size\":"
    "{\"cpu_milli\":2000,\"mem_mib\":4096,\"accels\":0},\"run_ms\":40}" },
  { "/v1/config/class/nightly-settlement",
    "{\"product\":\"hajar-skies\",\"kind\":\"batch\",\"idempotent\":true,"
    "\"start_within_ms\":60000,\"start_share_ppm\":950000,\"size\":"
    "{\"cpu_milli\":4000,\"mem_mib\":8192,\"accels\":0},\"run_ms\":200}" },
  { "/v1/config/class/settlement-gang",
    "{\"product\":\"hajar-skies\",\"kind\":\"gang\",\"idempotent\":true,"
    "\"start_within_ms\":60000,\"start_share_ppm\":950000,\"size\":"
    "{\"cpu_milli\":8000,\"mem_mib\":16384,\"accels\":0},\"run_ms\":300}" },
};

typedef struct
{
  char scratch[MUX_PATH_LEN];
  char calls_path[MUX_PATH_LEN + 16];
  MuxHttp *http;
  MuxCluster *cluster;
  MuxJsonl *log;
  MuxTestJob jobs[JOBS];
  MuxCallersTally tally;
  bool drained;
} Demo;

static bool
set_up (Demo *demo, const char *bin, MuxError *err)
{
  const MuxClusterOptions options
      = { .bin = bin,
          .scratch = demo->scratch,
          .data_centres = data_centres,
          .data_centre_count = sizeof data_centres / sizeof data_centres[0],
          .daemons = DAEMONS,
          .workers = WORKERS,
          .capacity = { 32000, 128 * 1024, 0, 8 } };

  demo->http = mux_http_new ();
  if (demo->http == NULL
      || !mux_scratch_new ("demo", demo->scratch, sizeof demo->scratch, err))
    return false;
  snprintf (demo->calls_path, sizeof demo->calls_path, "%s/calls.jsonl",
            demo->scratch);
  demo->log = mux_jsonl_open (demo->calls_path, err);
  if (demo->log == NULL)
    return false;
  demo->cluster = mux_cluster_new (&options, err);
  if (demo->cluster == NULL)
    return false;
  printf ("demo: %d daemons and %d workers in 3 data centres, logs in %s\n",
          DAEMONS, WORKERS, demo->scratch);
  return mux_cluster_await (demo->cluster, START_MS, err)
         && mux_cluster_configure (demo->cluster, objects,
                                   sizeof objects / sizeof objects[0], START_MS,
                                   err);
}

static void
strike (Demo *demo)
{
  MuxMember *victim = &demo->cluster->daemon[KILLED_DAEMON];
  const char *worker = demo->cluster->worker[DRAINED_WORKER].name;
  char path[128];
  json_t *answer;
  MuxError err = { 0 };

  mux_proc_signal (victim->proc, SIGKILL);
  printf ("demo: killed daemon %s of %s (-9)\n", victim->name,
          victim->data_centre);
  snprintf (path, sizeof path, "/v1/workers/%s/drain", worker);
  answer = mux_http_json (demo->http, "POST", demo->cluster->daemon[0].addr,
                          path, NULL, &err);
  demo->drained = answer != NULL;
  if (demo->drained)
    mux_jsonl_write (demo->log,
                     json_pack ("{s:s, s:s, s:I}", "event", "leaving", "worker",
                                worker, "t_ms", (json_int_t) mux_mono_ms ()));
  printf ("demo: drain of worker %s %s\n", worker,
          demo->drained ? "accepted" : err.text);
  json_decref (answer);
}

static void
watch (Demo *demo, MuxCallers *callers)
{
  uint32_t ended = 0;

  for (uint32_t aim = PROGRESS_STEP; aim <= REQUESTS; aim += PROGRESS_STEP)
    {
      ended = mux_callers_wait (callers, aim, STEP_MS);
      printf ("demo: %u of %d requests have their answer\n", ended, REQUESTS);
      if (aim == REQUESTS / 2)
        strike (demo);
    }
}

static bool
run_load (Demo *demo, MuxError *err)
{
  const char *addrs[DAEMONS];
  MuxCallersOptions options = { .class_name = "basket-booking",
                                .key_prefix = "booking",
                                .addrs = addrs,
                                .addr_count = DAEMONS,
                                .threads = CALLERS,
                                .requests = REQUESTS,
                                .tries = CALL_TRIES,
                                .give_up_ms = GIVE_UP_MS,
                                .seed = 1,
                                .log = demo->log };
  MuxCallers *callers;

  for (uint32_t i = 0; i < DAEMONS; i++)
    addrs[i] = demo->cluster->daemon[i].addr;
  demo->jobs[0] = (MuxTestJob){ .class_name = "nightly-settlement",
                                .key = "settlement-batch",
                                .tasks = 24 };
  demo->jobs[1] = (MuxTestJob){ .class_name = "settlement-gang",
                                .key = "settlement-gang",
                                .tasks = 6 };
  for (uint32_t i = 0; i < JOBS; i++)
    if (!mux_job_submit (demo->http, demo->cluster, &demo->jobs[i], demo->log,
                         START_MS, err))
      return false;
  callers = mux_callers_start (&options, err);
  if (callers == NULL)
    return false;
  watch (demo, callers);
  mux_callers_free (callers, &demo->tally);
  for (uint32_t i = 0; i < JOBS; i++)
    mux_job_wait (demo->http, demo->cluster, &demo->jobs[i], demo->log, JOB_MS);
  return true;
}

/* One row per class; the columns are whatever the daemon says of it. */
static void
print_risk (Demo *demo)
{
  json_t *risk = mux_http_json (
      demo->http, "GET", demo->cluster->daemon[0].addr, "/v1/risk", NULL, NULL);
  json_t *row;
  json_t *value;
  const char *name;
  size_t i;

  printf ("demo: targets\n");
  json_array_foreach (json_object_get (risk, "classes"), i, row)
  {
    printf (" ");
    json_object_foreach (row, name, value)
    {
      char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

      printf (" %s=%s", name, text == NULL ? "?" : text);
      free (text);
    }
    printf ("\n");
  }
  json_decref (risk);
}

static bool
judge (Demo *demo, MuxHistoryReport *report, MuxError *err)
{
  MuxHistory *history = mux_history_new ();
  bool ok = history != NULL;

  for (uint32_t i = 0; ok && i < demo->cluster->worker_count; i++)
    {
      const MuxMember *worker = &demo->cluster->worker[i];

      mux_history_worker (history, worker->name,
                          demo->cluster->options.capacity);
      ok = mux_history_work_file (history, worker->log, err);
    }
  ok = ok && mux_history_calls_file (history, demo->calls_path, err);
  if (ok)
    mux_history_check (history, report);
  mux_history_free (history);
  return ok;
}

/* What a job that is not done says of itself. */
static void
print_open_jobs (Demo *demo)
{
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char path[64];
      char *text;
      json_t *json;

      if (strcmp (demo->jobs[i].state, "done") == 0)
        continue;
      snprintf (path, sizeof path, "/v1/jobs/%s", demo->jobs[i].id);
      json = mux_http_json (demo->http, "GET", demo->cluster->daemon[0].addr,
                            path, NULL, NULL);
      text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
      printf ("demo: job %s: %s\n", demo->jobs[i].key,
              text == NULL ? "can't be shown" : text);
      free (text);
      json_decref (json);
    }
}

static uint32_t
jobs_done (const Demo *demo)
{
  uint32_t done = 0;

  for (uint32_t i = 0; i < JOBS; i++)
    if (strcmp (demo->jobs[i].state, "done") == 0)
      done++;
  return done;
}

static bool
print_verdict (const Demo *demo, const MuxHistoryReport *report)
{
  const MuxCallersTally *tally = &demo->tally;
  const uint32_t *broken = report->broken;
  uint32_t lost = tally->lost + broken[MUX_RULE_DONE_NEVER_RAN]
                  + broken[MUX_RULE_JOB_OPEN];
  uint32_t doubled = broken[MUX_RULE_RAN_TWICE] + broken[MUX_RULE_TWO_PLACES];
  uint32_t wrong = broken[MUX_RULE_WRONG_ANSWER] + broken[MUX_RULE_NOT_RUN_RAN];

  for (uint32_t i = 0; i < report->finding_count; i++)
    printf ("demo: %s\n", report->finding[i]);
  printf ("demo: %u submissions in the callers' log, %u executions in the "
          "workers' logs, failed=%u overcommitted=%u started_while_leaving=%u "
          "bad_log_lines=%u\n",
          report->calls, report->starts, tally->failed,
          broken[MUX_RULE_OVERCOMMIT], broken[MUX_RULE_LEAVING],
          broken[MUX_RULE_LOG]);
  printf ("demo: requests=%d answered=%u not_run=%u unknown=%u lost=%u "
          "doubled=%u wrong_answer=%u jobs_done=%u/%d\n",
          REQUESTS, tally->done, tally->not_run, tally->unknown, lost, doubled,
          wrong, jobs_done (demo), JOBS);
  return lost + doubled + wrong + broken[MUX_RULE_OVERCOMMIT]
                 + broken[MUX_RULE_LEAVING] + broken[MUX_RULE_LOG]
             == 0
         && demo->drained && tally->done >= ANSWERED_MIN
         && jobs_done (demo) == JOBS;
}

static void
tear_down (Demo *demo)
{
  mux_cluster_free (demo->cluster);
  mux_jsonl_close (demo->log);
  mux_http_free (demo->http);
}

int
main (int argc, char **argv)
{
  Demo demo = { 0 };
  MuxHistoryReport report = { 0 };
  MuxError err = { 0 };
  bool ok;

  (void) argc;
  setvbuf (stdout, NULL, _IOLBF, 0);
  mux_proc_guard ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  ok = set_up (&demo, dirname (argv[0]), &err) && run_load (&demo, &err);
  if (ok)
    {
      print_risk (&demo);
      print_open_jobs (&demo);
      /* The logs are judged once nobody writes to them any more. */
      for (uint32_t i = 0; i < demo.cluster->daemon_count; i++)
        mux_proc_signal (demo.cluster->daemon[i].proc, SIGTERM);
      for (uint32_t i = 0; i < demo.cluster->daemon_count; i++)
        mux_proc_wait (demo.cluster->daemon[i].proc, STEP_MS, NULL);
      for (uint32_t i = 0; i < demo.cluster->worker_count; i++)
        {
          mux_proc_free (demo.cluster->worker[i].proc);
          demo.cluster->worker[i].proc = NULL;
        }
      ok = judge (&demo, &report, &err) && print_verdict (&demo, &report);
    }
  if (err.code != MUX_ERROR_NONE)
    printf ("demo: %s\n", err.text);
  tear_down (&demo);
  return ok ? 0 : 1;
}
