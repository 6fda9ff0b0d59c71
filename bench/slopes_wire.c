/* Bytes on the wire of each kind of message: peers' messages as encoded, and
 * worker calls of the real adapter, counted between it and the stand-in.
 * What TCP/IP and ZeroMQ's frames add is not in it. */
#include "../src/adapter/platform_private.h"
#include "adapter/peer.h"
#include "adapter/worker.h"
#include "base/ring.h"
#include "standin/platform_ctl.h"
#include "standin/worker_server.h"
#include "support/peer_sample.h"
#include "bench/support/slope.h"
#include "support/tcp_forwarder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CALLS 200

typedef struct
{
  MuxInbox inbox;
  MuxRing *replies;
} Replies;

typedef struct
{
  MuxWorkerPort *port;
  Replies replies;
  TcpForwarder *forwarder;
  uint64_t next_task;
  uint64_t cursor; /* of the last reply */
} Wire;

static void
check (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "slopes_wire: %s\n", what);
  exit (EXIT_FAILURE);
}

static bool
on_reply (MuxInbox *inbox, MuxWorkerReply *reply)
{
  return mux_ring_push (((Replies *) inbox)->replies, reply);
}

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

static void
peer_messages (void)
{
  for (uint32_t verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxPeerMsg msg;
      MuxBlob *blob;

      peer_sample ((MuxPeerVerb) verb, &msg);
      blob = mux_peer_encode (&msg);
      check (blob != NULL, "a message can't be encoded");
      printf ("wire.peer.%s %zu bytes\n",
              mux_peer_verb_name ((MuxPeerVerb) verb), blob->len);
      mux_blob_unref (blob);
      mux_blob_unref (msg.body);
    }
}

/* The instance list as the stand-in words it, and reading it. */
static void
instance_list (void)
{
  static const uint32_t sizes[] = { 675, 1350, 2700, 5400 };
  Slope bytes = { 0 };
  Slope cpu = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      MuxInstanceList *list
          = calloc (1, sizeof *list + sizes[i] * sizeof list->item[0]);
      uint64_t rev;
      json_t *json;
      double from;
      char *text;

      check (list != NULL, "memory is out");
      for (; list->count < sizes[i]; list->count++)
        {
          MuxInstance *it = &list->item[list->count];

          snprintf (it->name, sizeof it->name, "nizwa-w%04u", list->count);
          strcpy (it->data_centre, "nizwa-hall");
          snprintf (it->rack, sizeof it->rack, "rack-%u", list->count / 8);
          snprintf (it->addr, sizeof it->addr, "10.20.30.%u:9000",
                    list->count % 250);
          it->role = MUX_ROLE_WORKER;
        }
      json = standin_platform_ctl_list (list, 1);
      text = json_dumps (json, JSON_COMPACT);
      slope_add (&bytes, sizes[i], (double) strlen (text));
      free (list);
      from = cpu_us ();
      list = mux_platform_decode_list (text, strlen (text), &rev);
      slope_add (&cpu, sizes[i], (cpu_us () - from) * 1000);
      check (list != NULL && list->count == sizes[i], "bad list");
      free (list);
      free (text);
      json_decref (json);
    }
  slope_print (&bytes, "wire.platform.list", "bytes/instance");
  slope_print (&cpu, "wire.platform.list.decode", "ns/instance");
}

static void
call_once (Wire *wire, MuxWorkerCall *call)
{
  MuxWorkerReply *reply = NULL;

  check (wire->port->call (wire->port, call), "the ring is full");
  while (reply == NULL)
    reply = mux_ring_wait (wire->replies.replies, -1);
  if (reply->status != MUX_WORKER_OK)
    fprintf (stderr, "slopes_wire: verb %d: status %d\n", (int) reply->verb,
             (int) reply->status);
  check (reply->status == MUX_WORKER_OK, "a call failed");
  wire->cursor = reply->cursor;
  mux_worker_reply_free (reply);
}

/* The process holds adapter, forwarder and stand-in, so its processor time is
 * an upper bound of the adapter's. */
static void
print_calls (Wire *wire, MuxWorkerCall *call, const char *name, bool new_tasks)
{
  uint64_t bytes = tcp_forwarder_bytes (wire->forwarder);
  double cpu = cpu_us ();

  for (int i = 0; i < CALLS; i++)
    {
      if (call->verb == MUX_WORKER_CLAIM)
        call->epoch++;
      if (new_tasks)
        call->task.lo = ++wire->next_task;
      call_once (wire, call);
    }
  cpu = (cpu_us () - cpu) / CALLS;
  bytes = tcp_forwarder_bytes (wire->forwarder) - bytes;
  printf ("wire.worker.%s %.1f bytes\n", name, (double) bytes / CALLS);
  printf ("wire.worker.%s.cpu_bound %.1f us\n", name, cpu);
}

/* A renewal that lists @changed tasks. */
static void
renewals_of_changes (Wire *wire, MuxWorkerCall *renew)
{
  static const uint32_t sizes[] = { 0, 8, 16, 32, 64 };
  Slope slope = { 0 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      MuxWorkerCall start = *renew;
      uint64_t bytes;

      start.verb = MUX_WORKER_START;
      start.wait_ms = 5000;
      start.timeout_ms = 6000;
      start.size = (MuxSize){ 100, 100, 0, 1 };
      strcpy (start.class_name, "basket-booking");
      strcpy (start.home, "nizwa-entry-3");
      renew->cursor = UINT64_MAX;
      call_once (wire, renew);
      renew->cursor = wire->cursor;
      for (uint32_t n = 0; n < sizes[i]; n++)
        {
          start.task.lo = ++wire->next_task;
          call_once (wire, &start);
        }
      bytes = tcp_forwarder_bytes (wire->forwarder);
      call_once (wire, renew);
      slope_add (&slope, sizes[i],
                 (double) (tcp_forwarder_bytes (wire->forwarder) - bytes));
    }
  slope_print (&slope, "wire.worker.renew.changed_task", "bytes/task");
}

static void
worker_messages (void)
{
  StandinWorkerServerOptions options
      = { .worker = { .name = "nizwa-w017",
                      .incarnation = 1764700000123,
                      .capacity = { 64000, 131072, 0, 64 },
                      .retain_ms = 60000,
                      .run_ms = 1 },
          .listen = "127.0.0.1:0",
          .log_fd = -1 };
  Wire wire = { .replies = { { .worker_reply = on_reply }, NULL } };
  MuxWorkerHttpOptions adapter = { .inbox = &wire.replies.inbox,
                                   .threads = 1,
                                   .control_threads = 1,
                                   .queue = 16 };
  StandinWorkerServer *server = standin_worker_server_new (&options, NULL);
  MuxWorkerCall call = { .verb = MUX_WORKER_CLAIM,
                         .worker = "nizwa-w017",
                         .owner = "nizwa-entry-3",
                         .epoch = 41,
                         .lease_ms = 600000,
                         .timeout_ms = 1000 };

  wire.replies.replies = mux_ring_new (64);
  wire.port = mux_worker_http_new (&adapter, NULL);
  check (server != NULL && wire.port != NULL, "set-up");
  wire.forwarder
      = tcp_forwarder_new (standin_worker_server_addr (server), call.addr);
  print_calls (&wire, &call, "claim", false);
  call.verb = MUX_WORKER_RENEW;
  call.incarnation = 1764700000123;
  print_calls (&wire, &call, "renew_idle", false);
  renewals_of_changes (&wire, &call);
  call.verb = MUX_WORKER_START;
  call.wait_ms = 5000;
  call.timeout_ms = 6000;
  call.not_after_ms = 0;
  call.size = (MuxSize){ 100, 100, 0, 1 };
  strcpy (call.class_name, "basket-booking");
  strcpy (call.home, "nizwa-entry-3");
  call.task.hi = 7;
  print_calls (&wire, &call, "start", true);
  call.verb = MUX_WORKER_FETCH;
  call.wait_ms = 0;
  print_calls (&wire, &call, "fetch", false);
  wire.port->free (wire.port);
  standin_worker_server_free (server);
  tcp_forwarder_free (wire.forwarder);
  mux_ring_free (wire.replies.replies);
}

int
main (void)
{
  peer_messages ();
  instance_list ();
  worker_messages ();
  return EXIT_SUCCESS;
}
