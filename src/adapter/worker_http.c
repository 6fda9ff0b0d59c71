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
#define STOP_POLL_MS 1000
/* Part of a call's timeout that is reserved for the network round trip. */
#define ROUND_TRIP_MS 250
#define URL_LEN (MUX_ADDR_LEN + 32)

/**
 * struct QueuedCall - a call in the ring or in a thread
 * @call: copy; holds a reference of the body
 * @failure: allocated in advance, so that a reply can always be sent
 * @deadline_ms: end of its timeout, which includes the wait in the ring
 */
typedef struct
{
  MuxWorkerCall call;
  MuxWorkerReply *failure;
  int64_t deadline_ms;
} QueuedCall;

typedef struct WorkerHttp WorkerHttp;

/**
 * struct Pool - threads that serve one ring
 * @owner: the adapter
 * @ring: of QueuedCall
 * @count: threads running
 * @threads: the threads
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
  Pool tasks;   /* START and FETCH, which may last long */
  Pool control; /* all others */
};

static QueuedCall *
queued_call_new (const MuxWorkerCall *call)
{
  QueuedCall *queued = malloc (sizeof *queued);

  if (queued == NULL)
    return NULL;
  queued->failure = mux_worker_reply_new (call, MUX_WORKER_NOT_SENT, 0);
  if (queued->failure == NULL)
    {
      free (queued);
      return NULL;
    }
  queued->call = *call;
  mux_blob_ref (queued->call.body);
  queued->deadline_ms = mux_monotonic_ms () + call->timeout_ms;
  return queued;
}

static void
queued_call_free (QueuedCall *queued)
{
  mux_worker_reply_free (queued->failure);
  mux_blob_unref (queued->call.body);
  free (queued);
}

static void
deliver (WorkerHttp *http, MuxWorkerReply *reply)
{
  if (!http->inbox->worker_reply (http->inbox, reply) && http->counters != NULL)
    mux_count_refused (http->counters, MUX_REASON_RING_FULL);
}

static void
finish (WorkerHttp *http, QueuedCall *queued, MuxWorkerReply *reply)
{
  if (reply == NULL)
    {
      reply = queued->failure;
      queued->failure = NULL;
    }
  deliver (http, reply);
  queued_call_free (queued);
}

/* Shortens the wait at the worker so that its response arrives in time. */
static uint32_t
limit_wait_ms (uint32_t wait_ms, uint32_t left_ms)
{
  uint32_t max_ms
      = left_ms > 2 * ROUND_TRIP_MS ? left_ms - ROUND_TRIP_MS : left_ms / 2;

  return wait_ms < max_ms ? wait_ms : max_ms;
}

static MuxWorkerReply *
exchange (WorkerHttp *http,
          MuxWorkerClient *client,
          const QueuedCall *queued,
          uint32_t left_ms)
{
  const MuxWorkerCall *call = &queued->call;
  MuxWorkerHeaders headers;
  char url[URL_LEN];
  MuxWorkerRequest request = { url, headers.line, call->body, left_ms };

  if (call->verb != MUX_WORKER_START)
    request.body = NULL;
  snprintf (url, sizeof url, "http://%s%s", call->addr,
            mux_worker_verb_path (call->verb));
  mux_worker_write_headers (call, limit_wait_ms (call->wait_ms, left_ms),
                            &headers);
  if (http->counters != NULL)
    mux_count (http->counters, MUX_COUNT_WORKER_CALLS, 1);
  switch (mux_worker_client_post (client, &request))
    {
    case MUX_EXCHANGE_COMPLETE:
      queued->failure->status = MUX_WORKER_NO_ANSWER;
      return mux_worker_read_reply (call, client);
    case MUX_EXCHANGE_NO_ANSWER:
      queued->failure->status = MUX_WORKER_NO_ANSWER;
      return NULL;
    case MUX_EXCHANGE_NOT_SENT:
      return NULL;
    }
  return NULL;
}

/* Only numeric addresses are called.  A host name would block the thread in the
 * resolver, and other text could be parsed differently as part of a URL, so
 * that the call would reach a machine that was not listed. */
static bool
is_numeric_address (const char *addr)
{
  struct sockaddr_storage parsed;
  socklen_t len;

  return mux_address_parse (addr, &parsed, &len);
}

static void
serve (WorkerHttp *http, MuxWorkerClient *client, QueuedCall *queued)
{
  int64_t left_ms = queued->deadline_ms - mux_monotonic_ms ();
  MuxWorkerReply *reply = NULL;

  if (left_ms > 0 && client != NULL && is_numeric_address (queued->call.addr))
    reply = exchange (http, client, queued, (uint32_t) left_ms);
  finish (http, queued, reply);
}

static void *
pool_thread_main (void *ctx)
{
  Pool *pool = ctx;
  WorkerHttp *http = pool->owner;
  MuxWorkerClient *client = mux_worker_client_new (&http->stop);

  while (!atomic_load (&http->stop))
    {
      QueuedCall *queued = mux_ring_wait (pool->ring, STOP_POLL_MS);

      if (queued != NULL)
        serve (http, client, queued);
    }
  mux_worker_client_free (client);
  return NULL;
}

static bool
port_call (MuxWorkerPort *port, const MuxWorkerCall *call)
{
  WorkerHttp *http = (WorkerHttp *) port;
  bool long_wait
      = call->verb == MUX_WORKER_START || call->verb == MUX_WORKER_FETCH;
  Pool *pool = long_wait ? &http->tasks : &http->control;
  QueuedCall *queued = queued_call_new (call);

  if (queued == NULL)
    return false;
  if (mux_ring_push (pool->ring, queued))
    return true;
  queued_call_free (queued);
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
    return mux_error_set (err, MUX_ERROR_MEMORY,
                          "worker adapter: out of memory");
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, STACK_BYTES);
  while (failed == 0 && pool->count < threads)
    {
      failed = pthread_create (&pool->threads[pool->count], &attr,
                               pool_thread_main, pool);
      pool->count += failed == 0;
    }
  pthread_attr_destroy (&attr);
  if (failed != 0)
    return mux_error_set (err, MUX_ERROR_LIMIT,
                          "worker adapter: can't start a thread");
  return true;
}

/* Calls that no thread has taken were certainly not sent. */
static void
pool_stop (Pool *pool)
{
  QueuedCall *queued;

  if (pool->ring != NULL)
    mux_ring_wake (pool->ring, pool->count);
  for (uint32_t i = 0; i < pool->count; i++)
    pthread_join (pool->threads[i], NULL);
  while (pool->ring != NULL && (queued = mux_ring_pop (pool->ring)) != NULL)
    finish (pool->owner, queued, NULL);
  mux_ring_free (pool->ring);
  free (pool->threads);
}

static void
port_free (MuxWorkerPort *port)
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
      mux_error_set (err, MUX_ERROR_MEMORY, "worker adapter: out of memory");
      return NULL;
    }
  pthread_once (&once, init_curl);
  http->port.call = port_call;
  http->port.free = port_free;
  http->inbox = options->inbox;
  http->counters = options->counters;
  if (pool_start (&http->tasks, http, options->threads, options->queue, err)
      && pool_start (&http->control, http, options->control_threads,
                     options->queue, err))
    return &http->port;
  port_free (&http->port);
  return NULL;
}
