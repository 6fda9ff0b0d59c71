#include "cell_thread.h"

#include "base/log.h"
#include "base/ring.h"
#include "response_waiters.h"
#include "clock.h"

#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdlib.h>
#include <time.h>

/* Most events handled in a row between two checks for a due tick. */
#define EVENT_BATCH_MAX 128
/* Shortest interval between ticks while events keep arriving. */
#define TICK_INTERVAL_MIN_MS 4
/* The cell responds within the caller's timeout; this allows for a response
 * that is under way to the caller's thread. */
#define RESPONSE_GRACE_MS 300
#define RETRY_AFTER_MS 500
#define RING_FULL_RETRY_NS 1000000L

typedef enum
{
  EVENT_REQUEST,
  EVENT_REPLY,
  EVENT_PEER,
} EventKind;

typedef struct
{
  EventKind kind;
  int64_t arrived_ms;
  MuxRequest *request;
  MuxCellReply *reply;
  MuxPeerMsg peer;
} Event;

struct MuxCellThread
{
  MuxCellSink sink; /* first member: the cell is given its address */
  MuxCellBackend backend;
  MuxPlatformInbox platform_inbox;
  MuxInbox peer_inbox;
  MuxCellThreadOptions options;
  MuxCell *cell;
  MuxRing *ring;
  MuxResponseWaiters *waiters;
  MuxCellPort *platform;
  MuxPeerPort *peer;
  pthread_t thread;
  int64_t handled_until_ms; /* events that arrived by then have been handled */
  bool running;
  bool stop_delivered;
  atomic_bool stop_requested;
  atomic_bool quit;
  atomic_bool ready;
};

static MuxCellTime
read_time (const MuxCellThread *thread)
{
  return (MuxCellTime){ mux_boottime_ms (), mux_wall_ms (),
                        thread->handled_until_ms };
}

static Event *
event_new (EventKind kind)
{
  Event *event = calloc (1, sizeof *event);

  if (event == NULL)
    return NULL;
  event->kind = kind;
  event->arrived_ms = mux_boottime_ms ();
  return event;
}

static bool
sink_call (MuxCellSink *sink, MuxCellCall *call)
{
  MuxCellThread *thread = (MuxCellThread *) sink;

  return thread->platform->call (thread->platform, call);
}

static void
sink_respond (MuxCellSink *sink, const MuxResponse *response)
{
  MuxCellThread *thread = (MuxCellThread *) sink;

  if (!mux_response_waiters_deliver (thread->waiters, response))
    mux_count (thread->options.cell.counters, MUX_COUNT_EVENTS_DROPPED, 1);
}

static bool
sink_peer_send (MuxCellSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  MuxCellThread *thread = (MuxCellThread *) sink;

  return thread->peer->send (thread->peer, addr, msg);
}

static void
sink_log (MuxCellSink *sink, const char *event, json_t *fields)
{
  mux_event_log (((MuxCellThread *) sink)->options.log, event, fields);
}

static void
event_free (Event *event)
{
  if (event->kind == EVENT_PEER)
    mux_blob_unref (event->peer.body);
  free (event);
}

/* Replies are not dropped when the ring is full, since the cell would wait for
 * them for ever.  The number of replies is bounded by the outstanding calls, so
 * a full ring soon has room. */
static void
push_reply (MuxPlatformInbox *inbox, MuxCellReply *reply)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) inbox
                           - offsetof (MuxCellThread, platform_inbox));
  Event *event = event_new (EVENT_REPLY);
  struct timespec pause = { .tv_nsec = RING_FULL_RETRY_NS };

  if (event == NULL)
    {
      mux_log (MUX_LOG_ERR, "reply_lost", "reason=memory");
      mux_cell_reply_free (reply);
      return;
    }
  event->reply = reply;
  while (!mux_ring_push (thread->ring, event))
    {
      if (atomic_load (&thread->quit))
        {
          mux_cell_reply_free (reply);
          free (event);
          return;
        }
      nanosleep (&pause, NULL);
    }
}

static bool
push_peer (MuxInbox *inbox, const MuxPeerMsg *msg)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) inbox
                           - offsetof (MuxCellThread, peer_inbox));
  Event *event = event_new (EVENT_PEER);

  if (event == NULL)
    return false;
  event->peer = *msg;
  mux_blob_ref (msg->body);
  if (mux_ring_push (thread->ring, event))
    return true;
  mux_count (thread->options.cell.counters, MUX_COUNT_EVENTS_DROPPED, 1);
  event_free (event);
  return false;
}

static bool
push_request (MuxCellThread *thread, MuxRequest *request)
{
  Event *event = event_new (EVENT_REQUEST);

  if (event == NULL)
    return false;
  event->request = request;
  if (mux_ring_push (thread->ring, event))
    return true;
  free (event);
  return false;
}

static void
backend_handle (MuxCellBackend *backend,
                MuxRequest *request,
                MuxResponse *response)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) backend
                           - offsetof (MuxCellThread, backend));
  uint32_t wait_ms = request->timeout_ms + RESPONSE_GRACE_MS;
  bool write = request->verb != MUX_REQUEST_QUERY;
  uint64_t call;

  *response = (MuxResponse){ .outcome = MUX_RESPONSE_REFUSED,
                             .retry_ms = RETRY_AFTER_MS };
  if (!mux_response_waiters_add (thread->waiters, &call))
    {
      mux_request_free (request);
      return;
    }
  request->call_id = call;
  if (!push_request (thread, request))
    {
      mux_request_free (request);
      (void) mux_response_waiters_wait (thread->waiters, call, 0, response);
      return;
    }
  if (!mux_response_waiters_wait (thread->waiters, call, wait_ms, response)
      && write)
    response->outcome = MUX_RESPONSE_UNKNOWN;
}

static bool
backend_ready (MuxCellBackend *backend)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) backend
                           - offsetof (MuxCellThread, backend));

  return atomic_load (&thread->ready);
}

MuxCellThread *
mux_cell_thread_new (const MuxCellThreadOptions *options, MuxError *err)
{
  MuxCellThread *thread = calloc (1, sizeof *thread);

  if (thread == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY,
                     "out of memory for the cell thread");
      return NULL;
    }
  thread->sink
      = (MuxCellSink){ sink_call, sink_respond, sink_peer_send, sink_log };
  thread->backend = (MuxCellBackend){ backend_handle, backend_ready };
  thread->platform_inbox.reply = push_reply;
  thread->peer_inbox.peer_msg = push_peer;
  thread->options = *options;
  thread->options.cell.sink = &thread->sink;
  thread->ring = mux_ring_new (options->queue);
  thread->waiters = mux_response_waiters_new (options->cell.incarnation);
  thread->cell = mux_cell_new (&thread->options.cell, err);
  if (thread->ring != NULL && thread->waiters != NULL && thread->cell != NULL)
    return thread;
  mux_error_set (err, MUX_ERROR_MEMORY, "out of memory for the cell thread");
  mux_cell_thread_free (thread);
  return NULL;
}

static void
handle_event (MuxCellThread *thread, Event *event)
{
  MuxCellTime time;

  thread->handled_until_ms = event->arrived_ms;
  time = read_time (thread);
  if (event->kind == EVENT_REQUEST)
    mux_cell_request (thread->cell, time, event->request);
  else if (event->kind == EVENT_REPLY)
    mux_cell_reply (thread->cell, time, event->reply);
  else
    mux_cell_peer (thread->cell, time, &event->peer);
  event_free (event);
}

/* The ring is a FIFO: once an event has been handled, so have all that arrived
 * before it.  When the ring is empty, all that arrived before it was checked
 * has been handled. */
static bool
handle_pending (MuxCellThread *thread, int64_t wake_ms)
{
  int64_t wait_ms = wake_ms - mux_boottime_ms ();
  Event *event
      = mux_ring_wait (thread->ring, wait_ms > 0 ? (int32_t) wait_ms : 0);
  int64_t checked_ms = mux_boottime_ms ();
  bool any = event != NULL;

  for (int i = 0; event != NULL; i++)
    {
      handle_event (thread, event);
      if (i == EVENT_BATCH_MAX)
        return true;
      checked_ms = mux_boottime_ms ();
      event = mux_ring_pop (thread->ring);
    }
  thread->handled_until_ms = checked_ms;
  return any;
}

static void *
thread_main (void *arg)
{
  MuxCellThread *thread = arg;
  int64_t wake_ms = mux_boottime_ms ();
  int64_t last_tick_ms = 0;

  while (!atomic_load (&thread->quit))
    {
      bool any = handle_pending (thread, wake_ms);

      if (atomic_load (&thread->stop_requested) && !thread->stop_delivered)
        {
          thread->stop_delivered = true;
          mux_cell_stop (thread->cell, read_time (thread));
        }
      if (any && last_tick_ms + TICK_INTERVAL_MIN_MS < wake_ms)
        wake_ms = last_tick_ms + TICK_INTERVAL_MIN_MS;
      if (mux_boottime_ms () < wake_ms)
        continue;
      last_tick_ms = mux_boottime_ms ();
      mux_cell_set_port_late (thread->cell,
                              thread->platform->late_ms (thread->platform));
      wake_ms = mux_cell_tick (thread->cell, read_time (thread));
      atomic_store (&thread->ready, mux_cell_ready (thread->cell));
    }
  return NULL;
}

bool
mux_cell_thread_start (MuxCellThread *thread,
                       MuxCellPort *platform,
                       MuxPeerPort *peer,
                       MuxError *err)
{
  sigset_t all;
  sigset_t old;
  int rc;

  thread->platform = platform;
  thread->peer = peer;
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  rc = pthread_create (&thread->thread, NULL, thread_main, thread);
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  thread->running = rc == 0;
  return thread->running
         || mux_error_set (err, MUX_ERROR_IO, "can't start the cell thread");
}

void
mux_cell_thread_stop_work (MuxCellThread *thread)
{
  atomic_store (&thread->stop_requested, true);
  mux_ring_wake (thread->ring, 1);
}

void
mux_cell_thread_join (MuxCellThread *thread)
{
  if (!thread->running)
    return;
  atomic_store (&thread->quit, true);
  mux_ring_wake (thread->ring, 1);
  pthread_join (thread->thread, NULL);
  thread->running = false;
}

void
mux_cell_thread_free (MuxCellThread *thread)
{
  Event *event;

  if (thread == NULL)
    return;
  mux_cell_free (thread->cell);
  while (thread->ring != NULL && (event = mux_ring_pop (thread->ring)) != NULL)
    {
      mux_request_free (event->request);
      mux_cell_reply_free (event->reply);
      event_free (event);
    }
  mux_ring_free (thread->ring);
  mux_response_waiters_free (thread->waiters);
  free (thread);
}

MuxPlatformInbox *
mux_cell_thread_platform_inbox (MuxCellThread *thread)
{
  return &thread->platform_inbox;
}

MuxInbox *
mux_cell_thread_peer_inbox (MuxCellThread *thread)
{
  return &thread->peer_inbox;
}

MuxCellBackend *
mux_cell_thread_backend (MuxCellThread *thread)
{
  return &thread->backend;
}
