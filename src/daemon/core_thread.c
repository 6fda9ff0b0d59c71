#include "core_thread.h"

#include "base/log.h"
#include "clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdlib.h>

/* Most peer messages, and most requests, handled in a row before the replies
 * are polled again. */
#define BATCH_MAX 64
/* Upper bound on a sleep, whatever the core's next tick is. */
#define SLEEP_MAX_MS 1000

struct MuxCoreThread
{
  MuxCoreSink sink;       /* first member: the core is given its address */
  MuxHttpBackend backend; /* the HTTP server is given its address */
  MuxCoreThreadOptions options;
  MuxCore *core;
  MuxHttpServer *server;
  uint32_t worker_calls; /* outstanding */
  uint32_t table_calls;  /* outstanding */
  pthread_t thread;
  bool running;
  bool stop_delivered;
  atomic_bool stop_work;
  atomic_bool quit;
  atomic_bool ready;
  pthread_mutex_t lock; /* guards stopped */
  pthread_cond_t stopped_cond;
  bool stopped;
};

static MuxCoreThread *
thread_of_sink (MuxCoreSink *sink)
{
  return (MuxCoreThread *) sink;
}

static MuxCoreThread *
thread_of_backend (MuxHttpBackend *backend)
{
  return (MuxCoreThread *) ((char *) backend
                            - offsetof (MuxCoreThread, backend));
}

static void
sink_respond (MuxCoreSink *sink, const MuxCoreResponse *response)
{
  MuxCoreThread *thread = thread_of_sink (sink);

  if (!mux_http_server_respond (thread->server, response))
    mux_count (thread->options.core.counters, MUX_COUNT_EVENTS_DROPPED, 1);
}

static bool
sink_worker_call (MuxCoreSink *sink, const MuxWorkerCall *call)
{
  MuxCoreThread *thread = thread_of_sink (sink);
  MuxWorkerPort *port = thread->options.worker;

  if (thread->worker_calls >= thread->options.worker_calls_max
      || !port->call (port, call))
    return false;
  thread->worker_calls++;
  return true;
}

static bool
sink_table_call (MuxCoreSink *sink, MuxTableCall *call)
{
  MuxCoreThread *thread = thread_of_sink (sink);
  MuxPlatformPort *port = thread->options.platform;

  if (port == NULL || thread->table_calls >= thread->options.table_calls_max)
    {
      mux_table_call_free (call);
      return false;
    }
  if (!port->call (port, call))
    return false;
  thread->table_calls++;
  return true;
}

static bool
sink_peer_send (MuxCoreSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  MuxPeerPort *port = thread_of_sink (sink)->options.peer;

  return port->send (port, addr, msg);
}

static void
sink_state_log (MuxCoreSink *sink,
                int level,
                const char *event,
                const char *text)
{
  (void) sink;
  mux_log ((MuxLogLevel) level, event, "%s", text);
}

static bool
backend_submit (MuxHttpBackend *backend, MuxCoreRequest *request)
{
  return mux_inbox_push_request (thread_of_backend (backend)->options.inbox,
                                 request);
}

static void
backend_caller_disconnected (MuxHttpBackend *backend, uint64_t call)
{
  mux_inbox_push_disconnect (thread_of_backend (backend)->options.inbox, call);
}

static bool
backend_ready (MuxHttpBackend *backend)
{
  return thread_of_backend (backend)->ready;
}

MuxCoreThread *
mux_core_thread_new (const MuxCoreThreadOptions *options, MuxError *err)
{
  MuxCoreThread *thread = calloc (1, sizeof *thread);

  if (thread == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY,
                     "out of memory for the core thread");
      return NULL;
    }
  thread->sink = (MuxCoreSink){ sink_respond, sink_worker_call, sink_table_call,
                                sink_peer_send, sink_state_log };
  thread->backend
      = (MuxHttpBackend){ backend_submit, backend_caller_disconnected,
                          backend_ready };
  thread->options = *options;
  thread->options.core.sink = &thread->sink;
  pthread_mutex_init (&thread->lock, NULL);
  mux_cond_init (&thread->stopped_cond);
  thread->core = mux_core_new (&thread->options.core, err);
  if (thread->core != NULL)
    return thread;
  mux_core_thread_free (thread);
  return NULL;
}

static void
step (MuxCoreThread *thread, const MuxEvent *event)
{
  mux_core_step (thread->core, event, mux_boottime_ms ());
}

static bool
take_worker_replies (MuxCoreThread *thread)
{
  MuxWorkerReply *reply;
  bool any = false;

  while ((reply = mux_inbox_take_worker_reply (thread->options.inbox)) != NULL)
    {
      MuxEvent event = { MUX_EVENT_WORKER_REPLY, { .worker_reply = reply } };

      thread->worker_calls--;
      step (thread, &event);
      mux_worker_reply_free (reply);
      any = true;
    }
  return any;
}

static bool
take_table_replies (MuxCoreThread *thread)
{
  MuxTableReply *reply;
  bool any = false;

  while ((reply = mux_inbox_take_table_reply (thread->options.inbox)) != NULL)
    {
      MuxEvent event = { MUX_EVENT_TABLE_REPLY, { .table_reply = reply } };

      thread->table_calls--;
      step (thread, &event);
      mux_table_reply_free (reply);
      any = true;
    }
  return any;
}

static bool
take_instances (MuxCoreThread *thread)
{
  MuxInstanceList *list = mux_inbox_take_instances (thread->options.inbox);
  MuxEvent event = { MUX_EVENT_INSTANCES, { .instances = list } };

  if (list == NULL)
    return false;
  step (thread, &event);
  free (list);
  return true;
}

static bool
take_peer_msgs (MuxCoreThread *thread)
{
  MuxPeerMsg *msg;
  uint32_t n = 0;

  while (n < BATCH_MAX
         && (msg = mux_inbox_take_peer_msg (thread->options.inbox)) != NULL)
    {
      MuxEvent event = { MUX_EVENT_PEER, { .peer = msg } };

      step (thread, &event);
      mux_peer_msg_free (msg);
      n++;
    }
  return n > 0;
}

static bool
take_requests (MuxCoreThread *thread)
{
  MuxCoreRequest *request;
  uint32_t n = 0;

  while (n < BATCH_MAX
         && (request = mux_inbox_take_request (thread->options.inbox)) != NULL)
    {
      MuxEvent event = { MUX_EVENT_REQUEST, { .request = request } };

      step (thread, &event);
      mux_core_request_free (request);
      n++;
    }
  return n > 0;
}

static bool
take_disconnects (MuxCoreThread *thread)
{
  MuxEvent event = { MUX_EVENT_CALLER_DISCONNECTED, { .call_id = 0 } };
  bool any = false;

  while ((event.u.call_id = mux_inbox_take_disconnect (thread->options.inbox))
         != 0)
    {
      step (thread, &event);
      any = true;
    }
  return any;
}

static void
take_stop (MuxCoreThread *thread)
{
  MuxEvent event = { .kind = MUX_EVENT_STOP };

  if (!thread->stop_work || thread->stop_delivered)
    return;
  thread->stop_delivered = true;
  step (thread, &event);
}

static void
tick_if_due (MuxCoreThread *thread)
{
  MuxEvent event = { .kind = MUX_EVENT_TICK };

  if (mux_core_wake_ms (thread->core) <= mux_boottime_ms ())
    step (thread, &event);
}

static void
publish_state (MuxCoreThread *thread)
{
  thread->ready = mux_core_ready (thread->core);
  if (thread->stopped || !thread->stop_delivered
      || !mux_core_stopped (thread->core))
    return;
  pthread_mutex_lock (&thread->lock);
  thread->stopped = true;
  pthread_cond_broadcast (&thread->stopped_cond);
  pthread_mutex_unlock (&thread->lock);
}

static void
sleep_until_due (MuxCoreThread *thread)
{
  int64_t now_ms = mux_boottime_ms ();
  int64_t wake_ms = mux_core_wake_ms (thread->core);

  if (wake_ms <= now_ms)
    return;
  if (wake_ms - now_ms > SLEEP_MAX_MS)
    wake_ms = now_ms + SLEEP_MAX_MS;
  mux_inbox_wait (thread->options.inbox, (int32_t) (wake_ms - now_ms));
}

static void *
thread_main (void *data)
{
  MuxCoreThread *thread = data;

  while (!thread->quit)
    {
      bool any;

      mux_inbox_prepare_wait (thread->options.inbox);
      any = take_worker_replies (thread);
      any |= take_table_replies (thread);
      any |= take_instances (thread);
      any |= take_peer_msgs (thread);
      /* A disconnect is taken after the request that it ends. */
      any |= take_requests (thread);
      any |= take_disconnects (thread);
      take_stop (thread);
      tick_if_due (thread);
      publish_state (thread);
      if (!any)
        sleep_until_due (thread);
    }
  return NULL;
}

bool
mux_core_thread_start (MuxCoreThread *thread,
                       MuxHttpServer *server,
                       MuxError *err)
{
  thread->server = server;
  thread->running
      = pthread_create (&thread->thread, NULL, thread_main, thread) == 0;
  if (!thread->running)
    return mux_error_set (err, MUX_ERROR_LIMIT, "can't start the core thread");
  return true;
}

MuxHttpBackend *
mux_core_thread_backend (MuxCoreThread *thread)
{
  return &thread->backend;
}

void
mux_core_thread_stop_work (MuxCoreThread *thread)
{
  thread->stop_work = true;
  mux_inbox_wake (thread->options.inbox);
}

bool
mux_core_thread_wait_stopped (MuxCoreThread *thread, uint32_t timeout_ms)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  bool stopped;
  int rc = 0;

  pthread_mutex_lock (&thread->lock);
  while (!thread->stopped && rc == 0)
    rc = pthread_cond_timedwait (&thread->stopped_cond, &thread->lock,
                                 &deadline);
  stopped = thread->stopped;
  pthread_mutex_unlock (&thread->lock);
  return stopped;
}

void
mux_core_thread_join (MuxCoreThread *thread)
{
  if (!thread->running)
    return;
  thread->quit = true;
  mux_inbox_wake (thread->options.inbox);
  pthread_join (thread->thread, NULL);
  thread->running = false;
}

void
mux_core_thread_free (MuxCoreThread *thread)
{
  if (thread == NULL)
    return;
  mux_core_thread_join (thread);
  if (thread->core != NULL)
    mux_core_free (thread->core);
  pthread_cond_destroy (&thread->stopped_cond);
  pthread_mutex_destroy (&thread->lock);
  free (thread);
}
