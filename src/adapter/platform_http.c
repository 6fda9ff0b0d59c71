#include "platform_private.h"

#include "base/clock.h"
#include "base/ring.h"

#include <stdlib.h>
#include <string.h>

/* A call in the ring or in a thread. */
typedef struct
{
  MuxTableCall *call;
  int64_t deadline_ms;
} QueuedCall;

typedef struct Adapter Adapter;

typedef struct
{
  Adapter *adapter;
  PlatformClient client;
  MuxBytes storage;
  pthread_t thread;
} CallThread;

struct Adapter
{
  MuxPlatformPort port;
  MuxInbox *inbox;
  MuxCounters *counters;
  char *url;
  MuxRing *ring;
  atomic_bool stopping;
  PlatformTimeouts timeouts;
  PlatformLister lister;
  uint32_t started;
  CallThread threads[];
};

static void
count_call (MuxCounters *counters, const MuxTableCall *call)
{
  uint64_t written = 0;

  if (counters == NULL)
    return;
  if (!mux_platform_is_write (call))
    {
      mux_count (counters, MUX_COUNT_TABLE_READS, 1);
      return;
    }
  for (uint32_t i = 0; i < call->row_count; i++)
    written += !call->rows[i].check_only;
  mux_count (counters, MUX_COUNT_TABLE_WRITES, 1);
  if (call->verb == MUX_TABLE_TXN)
    mux_count (counters, MUX_COUNT_TABLE_ROWS, written);
}

static void
finish (Adapter *adapter, QueuedCall *queued, MuxTableReply *reply)
{
  if (reply != NULL)
    (void) adapter->inbox->table_reply (adapter->inbox, reply);
  mux_table_call_free (queued->call);
  free (queued);
}

/* Replies DOWN to a call that was certainly not sent. */
static void
finish_not_sent (Adapter *adapter, QueuedCall *queued)
{
  finish (adapter, queued,
          mux_table_reply_new (queued->call, MUX_TABLE_DOWN, 0));
}

static void
run_call (CallThread *call_thread, QueuedCall *queued)
{
  Adapter *adapter = call_thread->adapter;
  int64_t now = mux_monotonic_ms ();
  PlatformResponse response = { 0 };
  PlatformRequest request;
  PlatformExchangeResult result;

  if (now >= queued->deadline_ms
      || !mux_platform_encode (queued->call, &call_thread->storage, &request))
    {
      finish_not_sent (adapter, queued);
      return;
    }
  request.timeout_ms = (uint32_t) (queued->deadline_ms - now);
  count_call (adapter->counters, queued->call);
  result = mux_platform_exchange (&call_thread->client, &request, &response);
  finish (adapter, queued,
          mux_platform_decode (queued->call, result, &response));
}

static void *
call_thread_main (void *data)
{
  CallThread *call_thread = data;
  Adapter *adapter = call_thread->adapter;
  QueuedCall *queued;

  while (!atomic_load (&adapter->stopping))
    {
      queued = mux_ring_wait (adapter->ring, -1);
      if (queued == NULL)
        continue;
      if (atomic_load (&adapter->stopping))
        finish_not_sent (adapter, queued);
      else
        run_call (call_thread, queued);
    }
  return NULL;
}

static bool
adapter_call (MuxPlatformPort *port, MuxTableCall *call)
{
  Adapter *adapter = (Adapter *) port;
  QueuedCall *queued = malloc (sizeof *queued);

  if (queued != NULL)
    {
      queued->call = call;
      queued->deadline_ms = mux_monotonic_ms () + call->timeout_ms;
      if (mux_ring_push (adapter->ring, queued))
        return true;
    }
  free (queued);
  mux_table_call_free (call);
  return false;
}

/* Calls in flight run until their response or timeout.  Calls still queued were
 * certainly not sent and get the reply DOWN. */
static void
adapter_free (MuxPlatformPort *port)
{
  Adapter *adapter = (Adapter *) port;
  QueuedCall *queued;

  atomic_store (&adapter->stopping, true);
  if (adapter->ring != NULL)
    mux_ring_wake (adapter->ring, adapter->started);
  for (uint32_t i = 0; i < adapter->started; i++)
    {
      pthread_join (adapter->threads[i].thread, NULL);
      mux_platform_client_deinit (&adapter->threads[i].client);
      mux_bytes_deinit (&adapter->threads[i].storage);
    }
  mux_platform_lister_stop (&adapter->lister);
  while (adapter->ring != NULL
         && (queued = mux_ring_pop (adapter->ring)) != NULL)
    finish_not_sent (adapter, queued);
  mux_ring_free (adapter->ring);
  free (adapter->url);
  free (adapter);
  curl_global_cleanup ();
}

static bool
start_call_thread (Adapter *adapter, const MuxPlatformHttpOptions *options)
{
  CallThread *call_thread = &adapter->threads[adapter->started];

  call_thread->adapter = adapter;
  if (!mux_platform_client_init (&call_thread->client, options,
                                 &adapter->timeouts))
    return false;
  if (pthread_create (&call_thread->thread, NULL, call_thread_main, call_thread)
      != 0)
    {
      mux_platform_client_deinit (&call_thread->client);
      return false;
    }
  adapter->started++;
  return true;
}

static bool
start_all (Adapter *adapter, const MuxPlatformHttpOptions *options)
{
  MuxPlatformHttpOptions own = *options;

  adapter->ring = mux_ring_new (options->queue);
  adapter->url = strdup (options->url);
  if (adapter->ring == NULL || adapter->url == NULL)
    return false;
  own.url = adapter->url;
  while (adapter->started < options->threads)
    if (!start_call_thread (adapter, &own))
      return false;
  return mux_platform_lister_start (&adapter->lister, &own, &adapter->timeouts);
}

MuxPlatformPort *
mux_platform_http_new (const MuxPlatformHttpOptions *options, MuxError *err)
{
  Adapter *adapter;

  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "can't initialize libcurl");
      return NULL;
    }
  adapter = calloc (1, sizeof *adapter
                           + options->threads * sizeof adapter->threads[0]);
  if (adapter == NULL)
    {
      curl_global_cleanup ();
      mux_error_set (err, MUX_ERROR_MEMORY, "platform adapter: out of memory");
      return NULL;
    }
  adapter->port.call = adapter_call;
  adapter->port.free = adapter_free;
  adapter->inbox = options->inbox;
  adapter->counters = options->counters;
  adapter->lister.stop_fd = -1;
  if (start_all (adapter, options))
    return &adapter->port;
  adapter_free (&adapter->port);
  mux_error_set (err, MUX_ERROR_MEMORY,
                 "platform adapter: out of memory or threads");
  return NULL;
}
