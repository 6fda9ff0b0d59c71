/* How many START calls that wait for their task's end one worker stand-in
 * answers, through the adapter, with 64 of them in flight. */
#include "adapter/worker.h"
#include "base/ring.h"
#include "standin/worker_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CALLS 10000
#define IN_FLIGHT 64
#define RUN_MS 2

typedef struct
{
  MuxInbox inbox;
  MuxRing *replies;
} Replies;

static bool
on_reply (MuxInbox *inbox, MuxWorkerReply *reply)
{
  return mux_ring_push (((Replies *) inbox)->replies, reply);
}

static void
check (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "bench_worker_load: %s\n", what);
  exit (EXIT_FAILURE);
}

static void
next_reply (Replies *replies)
{
  MuxWorkerReply *reply = NULL;

  while (reply == NULL)
    reply = mux_ring_wait (replies->replies, -1);
  check (reply->status == MUX_WORKER_OK, "a call failed");
  check (reply->verb == MUX_WORKER_CLAIM || reply->state == MUX_TASK_DONE,
         "a task did not end");
  mux_worker_reply_free (reply);
}

static void
run (MuxWorkerPort *port, Replies *replies, MuxWorkerCall *call)
{
  uint32_t in_flight = 0;

  for (uint64_t i = 1; i <= CALLS; i++)
    {
      if (in_flight == IN_FLIGHT)
        {
          next_reply (replies);
          in_flight--;
        }
      call->task.lo = i;
      check (port->call (port, call), "the ring is full");
      in_flight++;
    }
  for (; in_flight > 0; in_flight--)
    next_reply (replies);
}

int
main (void)
{
  StandinWorkerServerOptions worker
      = { .worker = { .name = "w1",
                      .incarnation = 1,
                      .capacity = { 1000, 1000, 0, IN_FLIGHT },
                      .retain_ms = 1000,
                      .run_ms = RUN_MS },
          .listen = "127.0.0.1:0",
          .log_fd = -1 };
  Replies replies = { { .worker_reply = on_reply }, mux_ring_new (256) };
  MuxWorkerHttpOptions adapter = { .inbox = &replies.inbox,
                                   .threads = IN_FLIGHT,
                                   .control_threads = 2,
                                   .queue = 256 };
  MuxWorkerCall call = { .verb = MUX_WORKER_CLAIM,
                         .worker = "w1",
                         .epoch = 1,
                         .lease_ms = 600000,
                         .timeout_ms = 10000,
                         .wait_ms = 5000 };
  StandinWorkerServer *server = standin_worker_server_new (&worker, NULL);
  MuxWorkerPort *port = mux_worker_http_new (&adapter, NULL);
  struct timespec from;
  struct timespec to;
  double s;

  check (server != NULL && port != NULL, "set-up");
  strcpy (call.addr, standin_worker_server_addr (server));
  check (port->call (port, &call), "claim");
  next_reply (&replies);
  call.verb = MUX_WORKER_START;
  clock_gettime (CLOCK_MONOTONIC, &from);
  run (port, &replies, &call);
  clock_gettime (CLOCK_MONOTONIC, &to);
  s = (double) (to.tv_sec - from.tv_sec)
      + (double) (to.tv_nsec - from.tv_nsec) / 1e9;
  printf ("%d starts of %d ms tasks, %d in flight: %.0f calls/s\n", CALLS,
          RUN_MS, IN_FLIGHT, CALLS / s);
  port->free (port);
  standin_worker_server_free (server);
  mux_ring_free (replies.replies);
  return EXIT_SUCCESS;
}
