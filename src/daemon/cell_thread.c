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

/* Events taken before what is due is looked at again. */
#define BATCH 128
/* Between two looks at what is due, while events come. */
#define TICK_LEAST_MS 4
/* The core answers within the time that the caller gave; this is for an answer
 * on its way. */
#define ANSWER_GRACE_MS 300
#define COME_BACK_MS 500
#define FULL_PAUSE_NS 1000000L

typedef enum
{
  EVENT_QUESTION,
  EVENT_REPLY,
  EVENT_PEER,
} EventKind;

typedef struct
{
  EventKind kind;
  int64_t arrived_ms;
  MuxRequest *question;
  MuxCellReply *reply;
  MuxPeerMsg peer;
} Event;

struct MuxCellThread
{
  MuxCellSink sink; /* first: the core sees this alone */
  MuxCellBackend backend;
  MuxPlatformInbox replies;
  MuxInbox peers;
  MuxCellThreadOptions options;
  MuxCell *cell;
  MuxRing *ring;
  MuxResponseWaiters *callers;
  MuxCellPort *platform;
  MuxPeerPort *peer;
  pthread_t thread;
  int64_t heard_ms; /* all that arrived by then was handled */
  bool running;
  bool told;
  atomic_bool leave;
  atomic_bool quit;
  atomic_bool ready;
};

static MuxCellTime
read_time (const MuxCellThread *thread)
{
  return (MuxCellTime){ mux_boottime_ms (), mux_wall_ms (), thread->heard_ms };
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
sink_answer (MuxCellSink *sink, const MuxResponse *reply)
{
  MuxCellThread *thread = (MuxCellThread *) sink;

  if (!mux_response_waiters_deliver (thread->callers, reply))
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

/* Replies are never dropped: the core would wait for them for good.  Their
 * number is bounded by the calls, so that a full ring empties soon. */
static void
push_reply (MuxPlatformInbox *inbox, MuxCellReply *reply)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) inbox - offsetof (MuxCellThread, replies));
  Event *event = event_new (EVENT_REPLY);
  struct timespec pause = { .tv_nsec = FULL_PAUSE_NS };

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
      = (MuxCellThread *) ((char *) inbox - offsetof (MuxCellThread, peers));
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
push_question (MuxCellThread *thread, MuxRequest *question)
{
  Event *event = event_new (EVENT_QUESTION);

  if (event == NULL)
    return false;
  event->question = question;
  if (mux_ring_push (thread->ring, event))
    return true;
  free (event);
  return false;
}

static void
backend_ask (MuxCellBackend *backend, MuxRequest *question, MuxResponse *reply)
{
  MuxCellThread *thread
      = (MuxCellThread *) ((char *) backend
                           - offsetof (MuxCellThread, backend));
  uint32_t wait_ms = question->timeout_ms + ANSWER_GRACE_MS;
  bool write = question->verb != MUX_REQUEST_QUERY;
  uint64_t call;

  *reply = (MuxResponse){ .outcome = MUX_RESPONSE_REFUSED,
                          .retry_ms = COME_BACK_MS };
  if (!mux_response_waiters_add (thread->callers, &call))
    {
      mux_request_free (question);
      return;
    }
  question->call_id = call;
  if (!push_question (thread, question))
    {
      mux_request_free (question);
      (void) mux_response_waiters_wait (thread->callers, call, 0, reply);
      return;
    }
  if (!mux_response_waiters_wait (thread->callers, call, wait_ms, reply)
      && write)
    reply->outcome = MUX_RESPONSE_UNKNOWN;
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
      mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the cell's thread");
      return NULL;
    }
  thread->sink
      = (MuxCellSink){ sink_call, sink_answer, sink_peer_send, sink_log };
  thread->backend = (MuxCellBackend){ backend_ask, backend_ready };
  thread->replies.reply = push_reply;
  thread->peers.peer_msg = push_peer;
  thread->options = *options;
  thread->options.cell.sink = &thread->sink;
  thread->ring = mux_ring_new (options->queue);
  thread->callers = mux_response_waiters_new (options->cell.incarnation);
  thread->cell = mux_cell_new (&thread->options.cell, err);
  if (thread->ring != NULL && thread->callers != NULL && thread->cell != NULL)
    return thread;
  mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the cell's thread");
  mux_cell_thread_free (thread);
  return NULL;
}

static void
handle (MuxCellThread *thread, Event *event)
{
  MuxCellTime time;

  thread->heard_ms = event->arrived_ms;
  time = read_time (thread);
  if (event->kind == EVENT_QUESTION)
    mux_cell_request (thread->cell, time, event->question);
  else if (event->kind == EVENT_REPLY)
    mux_cell_reply (thread->cell, time, event->reply);
  else
    mux_cell_peer (thread->cell, time, &event->peer);
  event_free (event);
}

/* Events leave the ring in the order in which they came, so that whatever
 * arrived before the last one that was handled has been handled, too; with the
 * ring empty that is all. */
static bool
handle_waiting (MuxCellThread *thread, int64_t wake_ms)
{
  int64_t wait_ms = wake_ms - mux_boottime_ms ();
  Event *event
      = mux_ring_wait (thread->ring, wait_ms > 0 ? (int32_t) wait_ms : 0);
  int64_t looked_ms = mux_boottime_ms ();
  bool any = event != NULL;

  for (int i = 0; event != NULL; i++)
    {
      handle (thread, event);
      if (i == BATCH)
        return true;
      looked_ms = mux_boottime_ms ();
      event = mux_ring_pop (thread->ring);
    }
  thread->heard_ms = looked_ms;
  return any;
}

static void *
thread_main (void *arg)
{
  MuxCellThread *thread = arg;
  int64_t wake_ms = mux_boottime_ms ();
  int64_t ticked_ms = 0;

  while (!atomic_load (&thread->quit))
    {
      bool any = handle_waiting (thread, wake_ms);

      if (atomic_load (&thread->leave) && !thread->told)
        {
          thread->told = true;
          mux_cell_stop (thread->cell, read_time (thread));
        }
      if (any && ticked_ms + TICK_LEAST_MS < wake_ms)
        wake_ms = ticked_ms + TICK_LEAST_MS;
      if (mux_boottime_ms () < wake_ms)
        continue;
      ticked_ms = mux_boottime_ms ();
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
         || mux_error_set (err, MUX_ERROR_IO, "can't start the cell's thread");
}

void
mux_cell_thread_stop_work (MuxCellThread *thread)
{
  atomic_store (&thread->leave, true);
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
      mux_request_free (event->question);
      mux_cell_reply_free (event->reply);
      event_free (event);
    }
  mux_ring_free (thread->ring);
  mux_response_waiters_free (thread->callers);
  free (thread);
}

MuxPlatformInbox *
mux_cell_thread_platform_inbox (MuxCellThread *thread)
{
  return &thread->replies;
}

MuxInbox *
mux_cell_thread_peer_inbox (MuxCellThread *thread)
{
  return &thread->peers;
}

MuxCellBackend *
mux_cell_thread_backend (MuxCellThread *thread)
{
  return &thread->backend;
}
