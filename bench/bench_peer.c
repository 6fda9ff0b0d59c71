#include "adapter/peer.h"
#include "support/peer_sample.h"

#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUND_TRIPS 100000
#define IN_FLIGHT 64
#define QUEUE 1024
#define SILENT_MS 2000
#define WAIT_S 30

/* One end: its inbox answers an ask with a grant, and counts a grant. */
typedef struct
{
  MuxInbox inbox;
  MuxPeerPort *port;
  char addr[MUX_ADDR_LEN];
  char other_addr[MUX_ADDR_LEN];
  MuxPeerMsg grant;
  sem_t ready;
  sem_t granted;
} End;

static bool
take (MuxInbox *inbox, const MuxPeerMsg *msg)
{
  End *end = (End *) inbox;

  if (msg->verb == MUX_PEER_GRANT)
    return sem_post (&end->granted) == 0;
  /* The first ask may arrive before this end knows whom to answer. */
  sem_wait (&end->ready);
  sem_post (&end->ready);
  return end->port->send (end->port, end->other_addr, &end->grant);
}

static void
end_open (End *end)
{
  MuxPeerZmqOptions options = { .inbox = &end->inbox,
                                .listen = "127.0.0.1:0",
                                .name = "bench",
                                .queue = QUEUE,
                                .silence_timeout_ms = SILENT_MS };
  MuxError err = { 0 };

  memset (end, 0, sizeof *end);
  end->inbox.peer_msg = take;
  peer_sample (MUX_PEER_GRANT, &end->grant);
  sem_init (&end->ready, 0, 0);
  sem_init (&end->granted, 0, 0);
  end->port = mux_peer_zmq_new (&options, end->addr, &err);
  if (end->port == NULL)
    {
      fprintf (stderr, "%s\n", err.text);
      exit (1);
    }
}

static void
end_close (End *end)
{
  end->port->free (end->port);
  sem_destroy (&end->ready);
  sem_destroy (&end->granted);
}

static void
wait_granted (End *end)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += WAIT_S;
  if (sem_timedwait (&end->granted, &until) == 0)
    return;
  fprintf (stderr, "bench_peer: a grant was lost\n");
  exit (1);
}

static void
ask (End *home, const End *owner, const MuxPeerMsg *msg)
{
  if (home->port->send (home->port, owner->addr, msg))
    return;
  fprintf (stderr, "bench_peer: the ring is full\n");
  exit (1);
}

static double
seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double) ts.tv_sec + (double) ts.tv_nsec / 1e9;
}

/* Each round trip is two messages. */
static void
run_round_trips (End *home, const End *owner, uint32_t trips, uint32_t window)
{
  MuxPeerMsg msg;

  peer_sample (MUX_PEER_GRANT_REQUEST, &msg);
  for (uint32_t sent = 0; sent < trips; sent++)
    {
      if (sent >= window)
        wait_granted (home);
      ask (home, owner, &msg);
    }
  for (uint32_t i = 0; i < (trips < window ? trips : window); i++)
    wait_granted (home);
}

static void
print_bytes (const char *name, MuxPeerVerb verb)
{
  MuxPeerMsg msg;
  MuxBlob *blob;

  peer_sample (verb, &msg);
  blob = mux_peer_encode (&msg);
  if (blob == NULL)
    exit (1);
  printf ("%s %zu bytes\n", name, blob->len);
  mux_blob_unref (blob);
}

int
main (void)
{
  End home;
  End owner;
  double start;

  print_bytes ("peer_heartbeat_bytes", MUX_PEER_HEARTBEAT);
  print_bytes ("peer_grant_ask_bytes", MUX_PEER_GRANT_REQUEST);
  print_bytes ("peer_grant_bytes", MUX_PEER_GRANT);
  end_open (&home);
  end_open (&owner);
  strcpy (owner.other_addr, home.addr);
  strcpy (home.other_addr, owner.addr);
  sem_post (&owner.ready);
  run_round_trips (&home, &owner, IN_FLIGHT, IN_FLIGHT);
  start = seconds ();
  run_round_trips (&home, &owner, ROUND_TRIPS, IN_FLIGHT);
  printf ("peer_messages_per_second %.0f messages/s\n",
          2.0 * ROUND_TRIPS / (seconds () - start));
  end_close (&home);
  end_close (&owner);
  return 0;
}
