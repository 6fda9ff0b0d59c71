#include "demo/support/mixed_jobs.h"

#include "demo/support/callers.h"
#include "demo/support/http.h"
#include "demo/support/jobs.h"
#include "support/random.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOBS_MAX 512
#define SUBMIT_MS 15000
#define PAUSE_MIN_MS 200
#define PAUSE_SPREAD_MS 700
#define BATCH_TASKS 10
#define GANG_TASKS 4
#define SERVICES_MAX 3
#define CANCEL_ONE_IN 6
#define CANCEL_TRIES 20
#define CANCEL_PAUSE_MS 200

typedef struct
{
  MuxTestJob job;
  char key[MUX_KEY_LEN];
} Entry;

struct MuxMixedJobs
{
  MuxMixedJobsOptions options;
  pthread_t thread;
  atomic_bool stopping;
  MuxHttp *http;
  MuxRandom random;
  uint32_t count;
  uint32_t services;
  Entry entry[JOBS_MAX];
};

static void
choose (MuxMixedJobs *jobs, Entry *entry)
{
  uint32_t drawn = mux_random_below (&jobs->random, 10);

  snprintf (entry->key, sizeof entry->key, "job-%u", jobs->count);
  entry->job.key = entry->key;
  if (drawn == 0 && jobs->services < SERVICES_MAX)
    {
      jobs->services++;
      entry->job.class_name = jobs->options.service;
      entry->job.tasks = 1;
    }
  else if (drawn < 4)
    {
      entry->job.class_name = jobs->options.gang;
      entry->job.tasks = GANG_TASKS;
    }
  else
    {
      entry->job.class_name = jobs->options.batch;
      entry->job.tasks = 1 + mux_random_below (&jobs->random, BATCH_TASKS);
    }
}

static void
cancel (MuxMixedJobs *jobs, const MuxTestJob *job)
{
  const MuxCluster *cluster = jobs->options.cluster;
  char path[64];

  snprintf (path, sizeof path, "/v1/jobs/%s", job->id);
  for (uint32_t i = 0; i < CANCEL_TRIES; i++)
    {
      json_t *answer = mux_http_json (
          jobs->http, "DELETE", cluster->daemon[i % cluster->daemon_count].addr,
          path, NULL, NULL);

      json_decref (answer);
      if (answer != NULL)
        return;
      mux_pause_ms (CANCEL_PAUSE_MS);
    }
}

static void *
submitter_main (void *arg)
{
  MuxMixedJobs *jobs = arg;

  while (!atomic_load (&jobs->stopping) && jobs->count < JOBS_MAX)
    {
      Entry *entry = &jobs->entry[jobs->count];

      choose (jobs, entry);
      if (mux_job_submit (jobs->http, jobs->options.cluster, &entry->job,
                          jobs->options.log, SUBMIT_MS, NULL))
        {
          jobs->count++;
          if (mux_random_below (&jobs->random, CANCEL_ONE_IN) == 0)
            cancel (jobs, &entry->job);
        }
      mux_pause_ms (PAUSE_MIN_MS
                    + mux_random_below (&jobs->random, PAUSE_SPREAD_MS));
    }
  return NULL;
}

MuxMixedJobs *
mux_mixed_jobs_start (const MuxMixedJobsOptions *options)
{
  MuxMixedJobs *jobs = calloc (1, sizeof *jobs);

  if (jobs == NULL)
    abort ();
  jobs->options = *options;
  jobs->random.state = options->seed;
  jobs->http = mux_http_new ();
  if (jobs->http == NULL
      || pthread_create (&jobs->thread, NULL, submitter_main, jobs) != 0)
    abort ();
  return jobs;
}

static void
count (MuxMixedJobsTally *tally, const MuxTestJob *job)
{
  tally->accepted++;
  if (strcmp (job->state, "done") == 0)
    tally->done++;
  else if (strcmp (job->state, "failed") == 0)
    tally->failed++;
  else if (strcmp (job->state, "cancelled") == 0)
    tally->cancelled++;
  else
    tally->open++;
}

/* What every daemon answers to GET @path. */
static void
print_all (MuxMixedJobs *jobs, const char *path)
{
  const MuxCluster *cluster = jobs->options.cluster;

  for (uint32_t i = 0; i < cluster->daemon_count; i++)
    {
      json_t *answer = mux_http_json (
          jobs->http, "GET", cluster->daemon[i].addr, path, NULL, NULL);
      char *text = json_dumps (answer, JSON_COMPACT);

      printf ("open: %s: %s\n", cluster->daemon[i].name,
              text == NULL ? "no answer" : text);
      free (text);
      json_decref (answer);
    }
}

/* What the daemons say of a job that should have ended. */
static void
print_open (MuxMixedJobs *jobs, const MuxTestJob *job)
{
  char path[64];

  snprintf (path, sizeof path, "/v1/jobs/%s", job->id);
  print_all (jobs, path);
  print_all (jobs, "/v1/status");
}

void
mux_mixed_jobs_stop (MuxMixedJobs *jobs,
                     uint32_t timeout_ms,
                     MuxMixedJobsTally *tally)
{
  int64_t until_ms;

  atomic_store (&jobs->stopping, true);
  pthread_join (jobs->thread, NULL);
  until_ms = mux_mono_ms () + timeout_ms;
  for (uint32_t i = 0; i < jobs->count; i++)
    if (jobs->entry[i].job.class_name == jobs->options.service)
      cancel (jobs, &jobs->entry[i].job);
  for (uint32_t i = 0; i < jobs->count; i++)
    {
      int64_t left_ms = until_ms - mux_mono_ms ();

      mux_job_wait (jobs->http, jobs->options.cluster, &jobs->entry[i].job,
                    jobs->options.log, left_ms > 0 ? (uint32_t) left_ms : 0);
      count (tally, &jobs->entry[i].job);
      if (jobs->entry[i].job.state[0] == 0)
        print_open (jobs, &jobs->entry[i].job);
    }
  mux_http_free (jobs->http);
  free (jobs);
}
