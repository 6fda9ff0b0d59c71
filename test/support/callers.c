#include "support/callers.h"

#include "support/hash.h"
#include "support/http.h"
#include "support/random.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BODY_MAX 1024
#define ANSWER_MAX (BODY_MAX + 64)
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

/* One call and its latest submission. */
typedef struct
{
  uint32_t number;
  char key[MUX_KEY_LEN];
  char body[BODY_MAX];
  size_t body_len;
  int64_t submit_ms;
  bool answered;
  MuxHttpReply reply;
} Call;

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

/* The key makes the body its own; random bytes follow, zeros among them. */
static void
fill_call (const MuxCallersOptions *options, uint32_t number, Call *call)
{
  MuxRandom random = { options->seed + number };
  size_t len;

  call->number = number;
  snprintf (call->key, sizeof call->key, "%s-%u", options->key_prefix, number);
  len = (size_t) snprintf (call->body, sizeof call->body, "%s:", call->key);
  call->body_len = len + mux_random_below (&random, BODY_MAX - (uint32_t) len);
  for (; len < call->body_len; len++)
    call->body[len] = (char) mux_random_below (&random, 256);
}

static const char *
outcome_of (const Call *call)
{
  if (!call->answered || call->reply.outcome[0] == 0)
    return "none";
  return call->reply.outcome;
}

static void
submit (const MuxCallersOptions *options,
        MuxHttp *http,
        Call *call,
        const char *addr)
{
  char path[128];
  char key[MUX_KEY_LEN + 32];
  char give_up[64];
  const char *headers[]
      = { key, give_up, "Content-Type: application/octet-stream", NULL };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = addr,
                     .path = path,
                     .headers = headers,
                     .body = call->body,
                     .body_len = call->body_len,
                     .timeout_ms = options->give_up_ms + EXTRA_MS };

  snprintf (path, sizeof path, "/v1/request/%s", options->class_name);
  snprintf (key, sizeof key, "Idempotency-Key: %s", call->key);
  snprintf (give_up, sizeof give_up, "Cuminmux-Give-Up-Ms: %u",
            options->give_up_ms);
  call->submit_ms = mux_mono_ms ();
  call->answered = mux_http_call (http, &ask, &call->reply, NULL);
}

/* What the task named in the answer must have given. */
static void
expect_hash (const Call *call, char out[MUX_HASH_TEXT_LEN])
{
  char bytes[ANSWER_MAX];
  int n = snprintf (bytes, sizeof bytes, "answer:%s:", call->reply.task);

  memcpy (bytes + n, call->body, call->body_len);
  mux_hash_text (bytes, (size_t) n + call->body_len, out);
}

static void
log_submission (const MuxCallersOptions *options, const Call *call)
{
  char body[MUX_HASH_TEXT_LEN];
  char expect[MUX_HASH_TEXT_LEN] = "";
  char answer[MUX_HASH_TEXT_LEN] = "";

  mux_hash_text (call->body, call->body_len, body);
  if (call->answered)
    {
      mux_hash_text (call->reply.body, call->reply.body_len, answer);
      expect_hash (call, expect);
    }
  mux_jsonl_write (
      options->log,
      json_pack (
          "{s:s, s:I, s:s, s:s, s:b, s:I, s:I, s:s, s:s, s:s, s:s, s:s, s:s}",
          "event", "request", "call", (json_int_t) call->number, "class",
          options->class_name, "key", call->key, "idempotent",
          (int) options->idempotent, "submit_ms", (json_int_t) call->submit_ms,
          "answer_ms", (json_int_t) mux_mono_ms (), "outcome",
          outcome_of (call), "task", call->reply.task, "reason",
          call->reply.reason, "body_hash", body, "answer_hash", answer,
          "expect_hash", expect));
}

/* Worth the same key again: nothing is known yet of what became of it. */
static bool
still_open (const Call *call)
{
  const char *outcome = outcome_of (call);

  return strcmp (outcome, "none") == 0 || strcmp (outcome, "unknown") == 0
         || strcmp (call->reply.reason, "key_in_use") == 0;
}

static uint32_t
run_call (const MuxCallersOptions *options, MuxHttp *http, Call *call)
{
  uint32_t tried = 0;

  for (;;)
    {
      submit (options, http, call,
              options->addrs[(call->number + tried) % options->addr_count]);
      tried++;
      log_submission (options, call);
      if (call->answered)
        mux_http_reply_clear (&call->reply);
      if (!still_open (call) || tried == options->tries)
        return tried;
      mux_pause_ms (PAUSE_MS * tried);
    }
}

static void
count_call (MuxCallersTally *tally, const Call *call, uint32_t tried)
{
  const char *outcome = outcome_of (call);

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
  Call *call = calloc (1, sizeof *call);
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
