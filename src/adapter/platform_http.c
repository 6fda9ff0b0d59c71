#include "platform_private.h"

#include "base/clock.h"
#include "base/ring.h"

#include <stdlib.h>
#include <string.h>

/* A call on its way through the ring. */
typedef struct
{
  MuxTableCall *call;
  int64_t deadline_ms;
} Job;

typedef struct Adapter Adapter;

typedef struct
{
  Adapter *adapter;
  PlatformClient client;
  MuxBytes storage;
  pthread_t thread;
} Caller;

struct Adapter
{
  MuxPlatformPort port;
  MuxInbox *inbox;
  MuxCounters *counters;
  char *url;
  MuxRing *ring;
  atomic_bool stopping;
  PlatformTimeouts silence;
  PlatformLister lister;
  uint32_t started;
  Caller callers[];
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
finish (Adapter *adapter, Job *job, MuxTableReply *reply)
{
  if (reply != NULL)
    (void) adapter->inbox->table_reply (adapter->inbox, reply);
  mux_table_call_free (job->call);
  free (job);
}

/* Certainly not sent. */
static void
finish_down (Adapter *adapter, Job *job)
{
  finish (adapter, job, mux_table_reply_new (job->call, MUX_TABLE_DOWN, 0));
}

static void
run_job (Caller *caller, Job *job)
{
  Adapter *adapter = caller->adapter;
  int64_t now = mux_monotonic_ms ();
  PlatformResponse answer = { 0 };
  PlatformRequest request;
  PlatformExchangeResult end;

  if (now >= job->deadline_ms
      || !mux_platform_encode (job->call, &caller->storage, &request))
    {
      finish_down (adapter, job);
      return;
    }
  request.timeout_ms = (uint32_t) (job->deadline_ms - now);
  count_call (adapter->counters, job->call);
  end = mux_platform_exchange (&caller->client, &request, &answer);
  finish (adapter, job, mux_platform_decode (job->call, end, &answer));
}

static void *
caller_run (void *data)
{
  Caller *caller = data;
  Adapter *adapter = caller->adapter;
  Job *job;

  while (!atomic_load (&adapter->stopping))
    {
      job = mux_ring_wait (adapter->ring, -1);
      if (job == NULL)
        continue;
      if (atomic_load (&adapter->stopping))
        finish_down (adapter, job);
      else
        run_job (caller, job);
    }
  return NULL;
}

static bool
adapter_call (MuxPlatformPort *port, MuxTableCall *call)
{
  Adapter *adapter = (Adapter *) port;
  Job *job = malloc (sizeof *job);

  if (job != NULL)
    {
      job->call = call;
      job->deadline_ms = mux_monotonic_ms () + call->timeout_ms;
      if (mux_ring_push (adapter->ring, job))
        return true;
    }
  free (job);
  mux_table_call_free (call);
  return false;
}

/* Calls in flight run to their answer or timeout; those still queued were
 * certainly not sent and are answered so. */
static void
adapter_free (MuxPlatformPort *port)
{
  Adapter *adapter = (Adapter *) port;
  Job *job;

  atomic_store (&adapter->stopping, true);
  if (adapter->ring != NULL)
    mux_ring_wake (adapter->ring, adapter->started);
  for (uint32_t i = 0; i < adapter->started; i++)
    {
      pthread_join (adapter->callers[i].thread, NULL);
      mux_platform_client_deinit (&adapter->callers[i].client);
      mux_bytes_deinit (&adapter->callers[i].storage);
    }
  mux_platform_lister_stop (&adapter->lister);
  while (adapter->ring != NULL && (job = mux_ring_pop (adapter->ring)) != NULL)
    finish_down (adapter, job);
  mux_ring_free (adapter->ring);
  free (adapter->url);
  free (adapter);
  curl_global_cleanup ();
}

static bool
start_caller (Adapter *adapter, const MuxPlatformHttpOptions *options)
{
  Caller *caller = &adapter->callers[adapter->started];

  caller->adapter = adapter;
  if (!mux_platform_client_init (&caller->client, options, &adapter->silence))
    return false;
  if (pthread_create (&caller->thread, NULL, caller_run, caller) != 0)
    {
      mux_platform_client_deinit (&caller->client);
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
    if (!start_caller (adapter, &own))
      return false;
  return mux_platform_lister_start (&adapter->lister, &own, &adapter->silence);
}

MuxPlatformPort *
mux_platform_http_new (const MuxPlatformHttpOptions *options, MuxError *err)
{
  Adapter *adapter;

  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "can't start the HTTP client");
      return NULL;
    }
  adapter = calloc (1, sizeof *adapter
                           + options->threads * sizeof adapter->callers[0]);
  if (adapter == NULL)
    {
      curl_global_cleanup ();
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory");
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
                 "out of memory or threads for the platform adapter");
  return NULL;
}
