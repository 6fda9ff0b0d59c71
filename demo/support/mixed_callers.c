#include "demo/support/mixed_callers.h"

#include "demo/support/callers.h"
#include "support/random.h"
#include "demo/support/request.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The connection outlives the daemon's own limit, which answers first. */
#define EXTRA_MS 5000
#define RETRY_PAUSE_MS 50
/* A call so young may still be running elsewhere. */
#define RECENT 32
/* One booking in so many runs long enough to be caught by a fault. */
#define LONG_ONE_IN 6
#define LONG_MS 1200
#define SHORT_MS 15
#define SHORT_SPREAD_MS 60
#define HANG_UP_MIN_MS 5
#define HANG_UP_SPREAD_MS 200
#define SHARES 100

typedef enum
{
  CALL_BOOKING, /* new key */
  CALL_TWIN,    /* a key that another caller has just begun with */
  CALL_LATE,    /* any key of the past */
  CALL_HANG_UP, /* new key, and the first connection is cut by the caller */
  CALL_LOOKUP,  /* no key, idempotent */
  CALL_LOOKUP_HANG_UP,
} CallKind;

typedef struct
{
  CallKind kind;
  uint32_t share;
} Share;

static const Share shares[]
    = { { CALL_BOOKING, 55 }, { CALL_TWIN, 10 },   { CALL_LATE, 5 },
        { CALL_HANG_UP, 7 },  { CALL_LOOKUP, 20 }, { CALL_LOOKUP_HANG_UP, 3 } };

struct MuxMix
{
  const MuxMixOptions *options;
  atomic_bool stopping;
  atomic_uint next_booking;
  atomic_uint next_lookup;
  atomic_uint next_thread;
  pthread_t *threads;
  uint32_t thread_count;
  pthread_mutex_t mutex; /* of @tally */
  MuxMixTally tally;
};

typedef struct
{
  MuxMix *mix;
  MuxHttp *http;
  MuxRandom random;
  MuxMixTally tally;
  MuxTestRequest request;
} Caller;

static CallKind
draw_kind (MuxMixSort sort, MuxRandom *random)
{
  uint32_t drawn = mux_random_below (random, SHARES);
  uint32_t i = 0;

  if (sort != MUX_MIX_ALL)
    return sort == MUX_MIX_LOOKUPS ? CALL_LOOKUP : CALL_BOOKING;
  while (drawn >= shares[i].share)
    drawn -= shares[i++].share;
  return shares[i].kind;
}

static void
fill (Caller *caller, const char *class_name, bool idempotent, uint32_t number)
{
  const MuxMixOptions *options = caller->mix->options;
  MuxTestRequest *request = &caller->request;
  MuxRandom random = { options->seed ^ ((uint64_t) number << 20) };
  uint32_t run_ms = SHORT_MS + mux_random_below (&random, SHORT_SPREAD_MS);
  char name[MUX_KEY_LEN];

  memset (request, 0, sizeof *request);
  request->class_name = class_name;
  request->idempotent = idempotent;
  request->number = number;
  request->give_up_ms = options->give_up_ms;
  request->timeout_ms = options->give_up_ms + EXTRA_MS;
  if (!options->short_runs && mux_random_below (&random, LONG_ONE_IN) == 0)
    run_ms = LONG_MS;
  snprintf (name, sizeof name, "%s-%u", class_name, number);
  if (!idempotent)
    memcpy (request->key, name, sizeof name);
  mux_test_request_fill (request, name, random.state, run_ms);
}

static void
count (MuxMixTally *tally, const char *outcome)
{
  tally->submissions++;
  if (strcmp (outcome, "done") == 0)
    tally->done++;
  else if (strcmp (outcome, "not_run") == 0)
    tally->not_run++;
  else if (strcmp (outcome, "unknown") == 0)
    tally->unknown++;
  else if (strcmp (outcome, "failed") == 0)
    tally->failed++;
  else
    tally->none++;
}

static void
send_once (Caller *caller, uint32_t daemon)
{
  const MuxMixOptions *options = caller->mix->options;

  mux_test_request_send (&caller->request, caller->http,
                         options->addrs[daemon % options->addr_count],
                         options->log);
  count (&caller->tally, mux_test_request_outcome (&caller->request));
}

/* Worth another submission of the same key elsewhere. */
static bool
goes_on (const Caller *caller)
{
  if (caller->mix->options->sort == MUX_MIX_BOOKINGS)
    return strcmp (mux_test_request_outcome (&caller->request), "done") != 0;
  return mux_test_request_open (&caller->request);
}

/* Through one daemon after the other while its fate is open. */
static void
send_until_told (Caller *caller, uint32_t daemon)
{
  const MuxMixOptions *options = caller->mix->options;

  for (uint32_t i = 1; i <= options->tries; i++)
    {
      send_once (caller, daemon + i);
      if (!goes_on (caller))
        return;
      mux_pause_ms (RETRY_PAUSE_MS * i);
    }
}

static void
hang_up (Caller *caller, uint32_t daemon)
{
  uint32_t timeout_ms = caller->request.timeout_ms;

  caller->request.timeout_ms
      = HANG_UP_MIN_MS + mux_random_below (&caller->random, HANG_UP_SPREAD_MS);
  send_once (caller, daemon);
  caller->request.timeout_ms = timeout_ms;
}

/* A key of the past; at the very start there is none yet. */
static uint32_t
past_booking (Caller *caller, uint32_t window)
{
  uint32_t next = atomic_load (&caller->mix->next_booking);

  if (next == 0)
    return atomic_fetch_add (&caller->mix->next_booking, 1);
  if (window == 0 || window > next)
    window = next;
  return next - 1 - mux_random_below (&caller->random, window);
}

static void
run_call (Caller *caller)
{
  MuxMix *mix = caller->mix;
  const MuxMixOptions *options = mix->options;
  CallKind kind = draw_kind (options->sort, &caller->random);
  uint32_t daemon = mux_random_below (&caller->random, options->addr_count);

  caller->tally.calls++;
  switch (kind)
    {
    case CALL_BOOKING:
    case CALL_HANG_UP:
      fill (caller, options->booking, false,
            atomic_fetch_add (&mix->next_booking, 1));
      break;
    case CALL_TWIN:
      fill (caller, options->booking, false, past_booking (caller, RECENT));
      break;
    case CALL_LATE:
      fill (caller, options->booking, false, past_booking (caller, 0));
      break;
    case CALL_LOOKUP:
    case CALL_LOOKUP_HANG_UP:
      fill (caller, options->lookup, true,
            atomic_fetch_add (&mix->next_lookup, 1));
      break;
    }
  if (kind == CALL_HANG_UP || kind == CALL_LOOKUP_HANG_UP)
    hang_up (caller, daemon);
  if (kind == CALL_LOOKUP)
    send_once (caller, daemon);
  /* A call without a key is another work if it is sent again. */
  if (kind != CALL_LOOKUP && kind != CALL_LOOKUP_HANG_UP)
    send_until_told (caller, daemon);
  if (strcmp (mux_test_request_outcome (&caller->request), "done") != 0)
    caller->tally.not_done++;
}

static void
add_tally (MuxMixTally *sum, const MuxMixTally *part)
{
  sum->calls += part->calls;
  sum->not_done += part->not_done;
  sum->submissions += part->submissions;
  sum->done += part->done;
  sum->not_run += part->not_run;
  sum->unknown += part->unknown;
  sum->failed += part->failed;
  sum->none += part->none;
}

static void *
caller_main (void *arg)
{
  MuxMix *mix = arg;
  Caller *caller = calloc (1, sizeof *caller);
  uint64_t number = atomic_fetch_add (&mix->next_thread, 1);

  if (caller == NULL)
    abort ();
  caller->mix = mix;
  caller->http = mux_http_new ();
  if (caller->http == NULL)
    abort ();
  caller->random.state = mix->options->seed * 1000 + number;
  while (!atomic_load (&mix->stopping))
    {
      run_call (caller);
      mux_pause_ms (
          mux_random_below (&caller->random, mix->options->pause_ms + 1));
    }
  pthread_mutex_lock (&mix->mutex);
  add_tally (&mix->tally, &caller->tally);
  pthread_mutex_unlock (&mix->mutex);
  mux_http_free (caller->http);
  free (caller);
  return NULL;
}

MuxMix *
mux_mix_start (const MuxMixOptions *options, MuxError *err)
{
  MuxMix *mix = calloc (1, sizeof *mix);

  if (mix == NULL)
    return NULL;
  mix->options = options;
  mix->threads = calloc (options->threads, sizeof *mix->threads);
  pthread_mutex_init (&mix->mutex, NULL);
  while (mix->threads != NULL && mix->thread_count < options->threads
         && pthread_create (&mix->threads[mix->thread_count], NULL, caller_main,
                            mix)
                == 0)
    mix->thread_count++;
  if (mix->thread_count == options->threads)
    return mix;
  mux_error_set (err, MUX_ERROR_IO, "not all callers can be started");
  mux_mix_stop (mix, NULL);
  return NULL;
}

void
mux_mix_stop (MuxMix *mix, MuxMixTally *tally)
{
  if (mix == NULL)
    return;
  atomic_store (&mix->stopping, true);
  for (uint32_t i = 0; i < mix->thread_count; i++)
    pthread_join (mix->threads[i], NULL);
  if (tally != NULL)
    *tally = mix->tally;
  pthread_mutex_destroy (&mix->mutex);
  free (mix->threads);
  free (mix);
}
