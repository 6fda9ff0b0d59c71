#include "demo/support/callers.h"

#include "demo/support/request.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Between two submissions of one call, longer each time. */
#define PAUSE_MS 50
/* The connection outlives the daemon's own limit, which answers first. */
#define EXTRA_MS 5000

struct MuxCallers
{
  const MuxCallersOptions *options;
  pthread_t *threads;
  uint32_t thread_count;
  pthread_mutex_t mutex; /* of all below */
  pthread_cond_t ended_more;
  uint32_t next;
  uint32_t ended;
  MuxCallersTally tally;
};

int64_t
mux_mono_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
mux_pause_ms (uint32_t ms)
{
  struct timespec t = { ms / 1000, (long) (ms % 1000) * 1000000 };

  nanosleep (&t, NULL);
}

static void
fill_call (const MuxCallersOptions *options,
           uint32_t number,
           MuxTestRequest *call)
{
  memset (call, 0, sizeof *call);
  call->class_name = options->class_name;
  call->idempotent = options->idempotent;
  call->number = number;
  call->give_up_ms = options->give_up_ms;
  call->timeout_ms = options->give_up_ms + EXTRA_MS;
  snprintf (call->key, sizeof call->key, "%s-%u", options->key_prefix, number);
  mux_test_request_fill (call, call->key, options->seed + number, 0);
}

static uint32_t
run_call (const MuxCallersOptions *options, MuxHttp *http, MuxTestRequest *call)
{
  uint32_t tried = 0;

  for (;;)
    {
      mux_test_request_send (
          call, http,
          options->addrs[(call->number + tried) % options->addr_count],
          options->log);
      tried++;
      if (!mux_test_request_open (call) || tried == options->tries)
        return tried;
      mux_pause_ms (PAUSE_MS * tried);
    }
}

static void
count_call (MuxCallersTally *tally, const MuxTestRequest *call, uint32_t tried)
{
  const char *outcome = mux_test_request_outcome (call);

  tally->submissions += tried;
  if (strcmp (outcome, "done") == 0)
    tally->done++;
  else if (strcmp (outcome, "failed") == 0)
    tally->failed++;
  else if (strcmp (outcome, "not_run") == 0)
    tally->not_run++;
  else if (strcmp (outcome, "unknown") == 0)
    tally->unknown++;
  else
    tally->lost++;
}

static void *
caller_main (void *arg)
{
  MuxCallers *callers = arg;
  MuxHttp *http = mux_http_new ();
  MuxTestRequest *call = calloc (1, sizeof *call);
  uint32_t tried;

  if (http == NULL || call == NULL)
    abort ();
  pthread_mutex_lock (&callers->mutex);
  while (callers->next < callers->options->requests)
    {
      uint32_t number = callers->next++;

      pthread_mutex_unlock (&callers->mutex);
      fill_call (callers->options, number, call);
      tried = run_call (callers->options, http, call);
      pthread_mutex_lock (&callers->mutex);
      count_call (&callers->tally, call, tried);
      callers->ended++;
      pthread_cond_broadcast (&callers->ended_more);
    }
  pthread_mutex_unlock (&callers->mutex);
  free (call);
  mux_http_free (http);
  return NULL;
}

MuxCallers *
mux_callers_start (const MuxCallersOptions *options, MuxError *err)
{
  MuxCallers *callers = calloc (1, sizeof *callers);

  if (callers == NULL)
    return NULL;
  callers->options = options;
  callers->threads = calloc (options->threads, sizeof *callers->threads);
  pthread_mutex_init (&callers->mutex, NULL);
  pthread_cond_init (&callers->ended_more, NULL);
  while (callers->threads != NULL && callers->thread_count < options->threads
         && pthread_create (&callers->threads[callers->thread_count], NULL,
                            caller_main, callers)
                == 0)
    callers->thread_count++;
  if (callers->thread_count > 0)
    return callers;
  mux_error_set (err, MUX_ERROR_IO, "no caller's thread can be started");
  mux_callers_free (callers, NULL);
  return NULL;
}

uint32_t
mux_callers_wait (MuxCallers *callers, uint32_t count, uint32_t timeout_ms)
{
  struct timespec until;
  uint32_t ended;
  int rc = 0;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += timeout_ms / 1000;
  until.tv_nsec += (long) (timeout_ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&callers->mutex);
  while (callers->ended < count && rc == 0)
    rc = pthread_cond_timedwait (&callers->ended_more, &callers->mutex, &until);
  ended = callers->ended;
  pthread_mutex_unlock (&callers->mutex);
  return ended;
}

void
mux_callers_free (MuxCallers *callers, MuxCallersTally *tally)
{
  if (callers == NULL)
    return;
  for (uint32_t i = 0; i < callers->thread_count; i++)
    pthread_join (callers->threads[i], NULL);
  if (tally != NULL)
    *tally = callers->tally;
  pthread_cond_destroy (&callers->ended_more);
  pthread_mutex_destroy (&callers->mutex);
  free (callers->threads);
  free (callers);
}
