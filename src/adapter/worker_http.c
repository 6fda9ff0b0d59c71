#include "adapter/worker.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/ring.h"
#include "worker_http_client.h"
#include "worker_http_wire.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define STACK_BYTES ((size_t) 256 * 1024)
#define IDLE_LOOK_MS 1000
/* What the way there and back may take of a call's timeout. */
#define TRAVEL_MS 250
#define URL_LEN (MUX_ADDR_LEN + 32)

/**
 * struct Job - a call on its way
 * @call: copy; holds a reference of the body
 * @failure: made beforehand, so that a reply can always be given
 * @deadline_ms: end of its timeout, which waiting in the ring counts towards
 */
typedef struct
{
  MuxWorkerCall call;
  MuxWorkerReply *failure;
  int64_t deadline_ms;
} Job;

typedef struct WorkerHttp WorkerHttp;

/**
 * struct Pool - threads that serve one ring
 * @owner: the adapter
 * @ring: of Job
 * @count: used entries of @threads
 */
typedef struct
{
  WorkerHttp *owner;
  MuxRing *ring;
  uint32_t count;
  pthread_t *threads;
} Pool;

struct WorkerHttp
{
  MuxWorkerPort port;
  MuxInbox *inbox;
  MuxCounters *counters;
  atomic_bool stop;
  Pool tasks;   /* START and FETCH, which may wait long */
  Pool control; /* all others */
};

static Job *
job_new (const MuxWorkerCall *call)
{
  Job *job = malloc (sizeof *job);

  if (job == NULL)
    return NULL;
  job->failure = mux_worker_reply_new (call, MUX_WORKER_NOT_SENT, 0);
  if (job->failure == NULL)
    {
      free (job);
      return NULL;
    }
  job->call = *call;
  mux_blob_ref (job->call.body);
  job->deadline_ms = mux_monotonic_ms () + call->timeout_ms;
  return job;
}

static void
job_free (Job *job)
{
  mux_worker_reply_free (job->failure);
  mux_blob_unref (job->call.body);
  free (job);
}

static void
deliver (WorkerHttp *http, MuxWorkerReply *reply)
{
  if (!http->inbox->worker_reply (http->inbox, reply) && http->counters != NULL)
    mux_count_refused (http->counters, MUX_REASON_RING_FULL);
}

static void
finish (WorkerHttp *http, Job *job, MuxWorkerReply *reply)
{
  if (reply == NULL)
    {
      reply = job->failure;
      job->failure = NULL;
    }
  deliver (http, reply);
  job_free (job);
}

/* The worker answers early enough for its answer to be back in time. */
static uint32_t
wait_within (uint32_t wait_ms, uint32_t left_ms)
{
  uint32_t most_ms
      = left_ms > 2 * TRAVEL_MS ? left_ms - TRAVEL_MS : left_ms / 2;

  return wait_ms < most_ms ? wait_ms : most_ms;
}

static MuxWorkerReply *
exchange (WorkerHttp *http,
          MuxWorkerClient *client,
          const Job *job,
          uint32_t left_ms)
{
  const MuxWorkerCall *call = &job->call;
  MuxWorkerHeaders headers;
  char url[URL_LEN];
  MuxWorkerRequest request = { url, headers.line, call->body, left_ms };

  if (call->verb != MUX_WORKER_START)
    request.body = NULL;
  snprintf (url, sizeof url, "http://%s%s", call->addr,
            mux_worker_verb_path (call->verb));
  mux_worker_write_headers (call, wait_within (call->wait_ms, left_ms),
                            &headers);
  if (http->counters != NULL)
    mux_count (http->counters, MUX_COUNT_WORKER_CALLS, 1);
  switch (mux_worker_client_post (client, &request))
    {
    case MUX_EXCHANGE_COMPLETE:
      job->failure->status = MUX_WORKER_NO_ANSWER;
      return mux_worker_read_reply (call, client);
    case MUX_EXCHANGE_NO_ANSWER:
      job->failure->status = MUX_WORKER_NO_ANSWER;
      return NULL;
    case MUX_EXCHANGE_NOT_SENT:
      return NULL;
    }
  return NULL;
}

/* Guards against a name that a resolver would have to be asked for, or text
 * that a URL splits differently: the call would hold its thread, or go to
 * another machine than the list means. */
static bool
is_by_number (const char *addr)
{
  struct sockaddr_storage parsed;
  socklen_t len;

  return mux_address_parse (addr, &parsed, &len);
}

static void
serve (WorkerHttp *http, MuxWorkerClient *client, Job *job)
{
  int64_t left_ms = job->deadline_ms - mux_monotonic_ms ();
  MuxWorkerReply *reply = NULL;

  if (left_ms > 0 && client != NULL && is_by_number (job->call.addr))
    reply = exchange (http, client, job, (uint32_t) left_ms);
  finish (http, job, reply);
}

static void *
run (void *ctx)
{
  Pool *pool = ctx;
  WorkerHttp *http = pool->owner;
  MuxWorkerClient *client = mux_worker_client_new (&http->stop);

  while (!atomic_load (&http->stop))
    {
      Job *job = mux_ring_wait (pool->ring, IDLE_LOOK_MS);

      if (job != NULL)
        serve (http, client, job);
    }
  mux_worker_client_free (client);
  return NULL;
}

static bool
call (MuxWorkerPort *port, const MuxWorkerCall *wanted)
{
  WorkerHttp *http = (WorkerHttp *) port;
  bool long_wait
      = wanted->verb == MUX_WORKER_START || wanted->verb == MUX_WORKER_FETCH;
  Pool *pool = long_wait ? &http->tasks : &http->control;
  Job *job = job_new (wanted);

  if (job == NULL)
    return false;
  if (mux_ring_push (pool->ring, job))
    return true;
  job_free (job);
  return false;
}

static bool
pool_start (Pool *pool,
            WorkerHttp *http,
            uint32_t threads,
            uint32_t queue,
            MuxError *err)
{
  pthread_attr_t attr;
  int failed = 0;

  pool->owner = http;
  pool->ring = mux_ring_new (queue);
  pool->threads = calloc (threads, sizeof *pool->threads);
  if (pool->ring == NULL || pool->threads == NULL)
    return mux_error_set (err, MUX_ERROR_MEMORY, "worker adapter: no memory");
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, STACK_BYTES);
  while (failed == 0 && pool->count < threads)
    {
      failed = pthread_create (&pool->threads[pool->count], &attr, run, pool);
      pool->count += failed == 0;
    }
  pthread_attr_destroy (&attr);
  if (failed != 0)
    return mux_error_set (err, MUX_ERROR_LIMIT, "worker adapter: no thread");
  return true;
}

/* Calls that no thread took any more were certainly not sent. */
static void
pool_stop (Pool *pool)
{
  Job *job;

  if (pool->ring != NULL)
    mux_ring_wake (pool->ring, pool->count);
  for (uint32_t i = 0; i < pool->count; i++)
    pthread_join (pool->threads[i], NULL);
  while (pool->ring != NULL && (job = mux_ring_pop (pool->ring)) != NULL)
    finish (pool->owner, job, NULL);
  mux_ring_free (pool->ring);
  free (pool->threads);
}

static void
free_port (MuxWorkerPort *port)
{
  WorkerHttp *http = (WorkerHttp *) port;

  if (http == NULL)
    return;
  atomic_store (&http->stop, true);
  pool_stop (&http->tasks);
  pool_stop (&http->control);
  free (http);
}

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

MuxWorkerPort *
mux_worker_http_new (const MuxWorkerHttpOptions *options, MuxError *err)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  WorkerHttp *http = calloc (1, sizeof *http);

  if (http == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "worker adapter: no memory");
      return NULL;
    }
  pthread_once (&once, init_curl);
  http->port.call = call;
  http->port.free = free_port;
  http->inbox = options->inbox;
  http->counters = options->counters;
  if (pool_start (&http->tasks, http, options->threads, options->queue, err)
      && pool_start (&http->control, http, options->control_threads,
                     options->queue, err))
    return &http->port;
  free_port (&http->port);
  return NULL;
}
