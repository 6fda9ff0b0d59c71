#include "adapter/peer.h"

#include "base/ring.h"
#include "peer_addr.h"
#include "peer_fields.h"
#include "peer_link.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <zmq.h>

/* Messages taken from one side before the other has its turn. */
#define BATCH 256
/* Looks at the links within silent_ms. */
#define TICKS_PER_SILENCE 8
/* How long free() waits for what was sent last to arrive. */
#define FLUSH_MS 200
#define TCP_PREFIX "tcp://"

/* One message on its way from send() to the thread. */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  MuxPeerMsg msg;
} Outgoing;

typedef struct
{
  MuxPeerPort port;
  MuxInbox *inbox;
  MuxCounters *counters;
  MuxRing *outgoing;
  void *zmq;
  void *listener;
  MuxPeerCurve curve;
  MuxPeerLinks links;
  int64_t tick_ms;
  int64_t next_tick_ms;
  atomic_bool stopping;
  pthread_t thread;
} PeerZmq;

enum
{
  POLL_OUTGOING,
  POLL_LISTENER,
  POLL_ZAP,
  POLL_BASE
};

static int64_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t) ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
count (const PeerZmq *peer, MuxCounter counter)
{
  if (peer->counters != NULL)
    mux_count (peer->counters, counter, 1);
}

static void
outgoing_free (Outgoing *out)
{
  mux_blob_unref (out->msg.body);
  free (out);
}

static bool
peer_send (MuxPeerPort *port, const char *addr, const MuxPeerMsg *msg)
{
  PeerZmq *peer = (PeerZmq *) port;
  Outgoing *out;

  if (!mux_peer_addr_valid (addr, 1))
    return false;
  out = malloc (sizeof *out);
  if (out == NULL)
    return false;
  snprintf (out->addr, sizeof out->addr, "%s", addr);
  out->msg = *msg;
  mux_blob_ref (out->msg.body);
  if (mux_ring_push (peer->outgoing, out))
    return true;
  outgoing_free (out);
  return false;
}

static bool
send_next (PeerZmq *peer, int64_t now)
{
  Outgoing *out = mux_ring_wait (peer->outgoing, 0);
  MuxBlob *blob;

  if (out == NULL)
    return false;
  blob = mux_peer_encode (&out->msg);
  if (blob != NULL)
    mux_peer_links_send (&peer->links, out->addr, blob, now);
  mux_blob_unref (blob);
  outgoing_free (out);
  return true;
}

static void
send_waiting (PeerZmq *peer, int64_t now)
{
  for (int i = 0; i < BATCH; i++)
    if (!send_next (peer, now))
      return;
}

static void
deliver (PeerZmq *peer, zmq_msg_t *payload)
{
  MuxPeerMsg msg;

  if (!mux_peer_decode (zmq_msg_data (payload), zmq_msg_size (payload), &msg,
                        NULL))
    {
      count (peer, MUX_COUNT_PEER_BAD);
      return;
    }
  count (peer, MUX_COUNT_PEER_RECEIVED);
  (void) peer->inbox->peer_msg (peer->inbox, &msg);
  mux_blob_unref (msg.body);
}

static void
echo (PeerZmq *peer, zmq_msg_t *identity)
{
  if (zmq_msg_send (identity, peer->listener, ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
    (void) zmq_send (peer->listener, "", 0, ZMQ_DONTWAIT);
}

/* Reads away the frames of a message that has too many. */
static void
skip_frames (PeerZmq *peer)
{
  zmq_msg_t frame;
  bool more = true;

  while (more)
    {
      zmq_msg_init (&frame);
      more = zmq_msg_recv (&frame, peer->listener, ZMQ_DONTWAIT) >= 0
             && zmq_msg_more (&frame) != 0;
      zmq_msg_close (&frame);
    }
}

/* A message is the link's identity and one payload; an empty one is a probe. */
static void
receive_payload (PeerZmq *peer, zmq_msg_t *identity)
{
  zmq_msg_t payload;

  zmq_msg_init (&payload);
  if (!zmq_msg_more (identity)
      || zmq_msg_recv (&payload, peer->listener, ZMQ_DONTWAIT) < 0)
    count (peer, MUX_COUNT_PEER_BAD);
  else if (zmq_msg_more (&payload))
    {
      skip_frames (peer);
      count (peer, MUX_COUNT_PEER_BAD);
    }
  else if (zmq_msg_size (&payload) == 0)
    echo (peer, identity);
  else
    deliver (peer, &payload);
  zmq_msg_close (&payload);
}

static void
receive_waiting (PeerZmq *peer)
{
  zmq_msg_t identity;
  bool there = true;

  for (int i = 0; i < BATCH && there; i++)
    {
      zmq_msg_init (&identity);
      there = zmq_msg_recv (&identity, peer->listener, ZMQ_DONTWAIT) >= 0;
      if (there)
        receive_payload (peer, &identity);
      zmq_msg_close (&identity);
    }
}

/* A thread that was held up for long has heard nothing meanwhile; that time
 * is not held against its links. */
static void
tick (PeerZmq *peer, int64_t now)
{
  int64_t late_ms = now - peer->next_tick_ms;

  if (late_ms < 0)
    return;
  mux_peer_links_tick (&peer->links, now,
                       late_ms > peer->links.silent_ms ? late_ms : 0);
  peer->next_tick_ms = now + peer->tick_ms;
}

static uint32_t
poll_base (const PeerZmq *peer, zmq_pollitem_t *items)
{
  items[POLL_OUTGOING]
      = (zmq_pollitem_t){ NULL, mux_ring_fd (peer->outgoing), ZMQ_POLLIN, 0 };
  items[POLL_LISTENER] = (zmq_pollitem_t){ peer->listener, 0, ZMQ_POLLIN, 0 };
  items[POLL_ZAP] = (zmq_pollitem_t){ peer->curve.zap, 0, ZMQ_POLLIN, 0 };
  return peer->curve.on ? POLL_BASE : POLL_ZAP;
}

static void
serve (PeerZmq *peer, const zmq_pollitem_t *items, int64_t now)
{
  if (items[POLL_OUTGOING].revents != 0)
    send_waiting (peer, now);
  if (items[POLL_LISTENER].revents != 0)
    receive_waiting (peer);
  if (peer->curve.on && items[POLL_ZAP].revents != 0)
    mux_peer_curve_answer (&peer->curve);
}

static void
run (PeerZmq *peer)
{
  zmq_pollitem_t items[POLL_BASE];
  int used = (int) poll_base (peer, items);

  peer->next_tick_ms = now_ms () + peer->tick_ms;
  while (!atomic_load (&peer->stopping))
    {
      int64_t wait_ms = peer->next_tick_ms - now_ms ();

      if (zmq_poll (items, used, wait_ms > 0 ? wait_ms : 0) > 0)
        serve (peer, items, now_ms ());
      tick (peer, now_ms ());
    }
}

/* Links whose last probe has not come back. */
static uint32_t
poll_links (const PeerZmq *peer, zmq_pollitem_t *items)
{
  MuxPeerLink *link;
  MuxPeerLink *next;
  uint32_t n = 0;

  HASH_ITER (hh, peer->links.by_addr, link, next)
  if (link->socket != NULL && !link->silent && link->probes > 0)
    items[n++] = (zmq_pollitem_t){ link->socket, 0, ZMQ_POLLIN, 0 };
  return n;
}

/* The last word, such as BYE, would be lost if the sockets were closed under
 * it.  An echo of a probe sent behind it proves that it arrived; a peer that
 * does not echo holds the end up for no more than FLUSH_MS. */
static void
flush (PeerZmq *peer)
{
  zmq_pollitem_t items[POLL_BASE + MUX_PEER_LINKS_MAX];
  int64_t end_ms = now_ms () + FLUSH_MS;
  uint32_t base = poll_base (peer, items);
  uint32_t waiting;

  while (send_next (peer, now_ms ()))
    ;
  mux_peer_links_probe (&peer->links);
  while ((waiting = poll_links (peer, items + base)) > 0 && now_ms () < end_ms)
    {
      MuxPeerLink *link;
      MuxPeerLink *next;

      (void) zmq_poll (items, (int) (base + waiting), end_ms - now_ms ());
      serve (peer, items, now_ms ());
      HASH_ITER (hh, peer->links.by_addr, link, next)
      mux_peer_link_hear (link);
    }
}

static void *
thread_main (void *arg)
{
  PeerZmq *peer = arg;

  run (peer);
  flush (peer);
  mux_peer_links_close (&peer->links);
  return NULL;
}

/* After the thread has ended, or when it never began. */
static void
peer_destroy (PeerZmq *peer)
{
  Outgoing *out;

  if (peer->listener != NULL)
    zmq_close (peer->listener);
  mux_peer_curve_close (&peer->curve);
  if (peer->zmq != NULL)
    zmq_ctx_term (peer->zmq);
  while (peer->outgoing != NULL
         && (out = mux_ring_pop (peer->outgoing)) != NULL)
    outgoing_free (out);
  mux_ring_free (peer->outgoing);
  free (peer);
}

static void
peer_free (MuxPeerPort *port)
{
  PeerZmq *peer = (PeerZmq *) port;

  if (port == NULL)
    return;
  atomic_store (&peer->stopping, true);
  mux_ring_wake (peer->outgoing, 1);
  pthread_join (peer->thread, NULL);
  peer_destroy (peer);
}

static bool
zmq_failed (MuxError *err, const char *what)
{
  return mux_error_set (err, MUX_ERROR_IO, "peers: %s: %s", what,
                        zmq_strerror (zmq_errno ()));
}

static bool
listener_open (PeerZmq *peer, const char *listen, char *bound, MuxError *err)
{
  int64_t msg_max = MUX_PEER_MSG_MAX;
  char endpoint[MUX_ADDR_LEN + sizeof TCP_PREFIX];
  size_t len = sizeof endpoint;
  int ipv6 = listen[0] == '[';

  peer->listener = zmq_socket (peer->zmq, ZMQ_ROUTER);
  if (peer->listener == NULL)
    return zmq_failed (err, "listener");
  if (!mux_peer_socket_common (peer->listener, peer->links.silent_ms)
      || zmq_setsockopt (peer->listener, ZMQ_IPV6, &ipv6, sizeof ipv6) != 0
      || zmq_setsockopt (peer->listener, ZMQ_MAXMSGSIZE, &msg_max,
                         sizeof msg_max)
             != 0
      || !mux_peer_curve_server (&peer->curve, peer->listener))
    return zmq_failed (err, "listener's options");
  snprintf (endpoint, sizeof endpoint, TCP_PREFIX "%s", listen);
  if (zmq_bind (peer->listener, endpoint) != 0)
    return zmq_failed (err, listen);
  if (zmq_getsockopt (peer->listener, ZMQ_LAST_ENDPOINT, endpoint, &len) != 0)
    return zmq_failed (err, listen);
  if (bound != NULL)
    snprintf (bound, MUX_ADDR_LEN, "%s", endpoint + strlen (TCP_PREFIX));
  return true;
}

/* Signals are for the threads that wait for them. */
static bool
thread_start (PeerZmq *peer, MuxError *err)
{
  sigset_t all;
  sigset_t old;
  int rc;

  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  rc = pthread_create (&peer->thread, NULL, thread_main, peer);
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  if (rc != 0)
    return mux_error_set (err, MUX_ERROR_IO, "peers: thread: %s",
                          strerror (rc));
  return true;
}

static bool
peer_start (PeerZmq *peer,
            const MuxPeerZmqOptions *options,
            char *bound,
            MuxError *err)
{
  peer->outgoing = mux_ring_new (options->queue);
  peer->zmq = zmq_ctx_new ();
  if (peer->outgoing == NULL || peer->zmq == NULL)
    return mux_error_set (err, MUX_ERROR_MEMORY, "peers: memory is out");
  peer->links.zmq = peer->zmq;
  return mux_peer_curve_open (&peer->curve, peer->zmq, options->secret_key,
                              options->public_key, err)
         && listener_open (peer, options->listen, bound, err)
         && thread_start (peer, err);
}

static bool
options_valid (const MuxPeerZmqOptions *options, MuxError *err)
{
  if (!mux_peer_addr_valid (options->listen, 0))
    return mux_error_set (err, MUX_ERROR_USAGE, "peers: %s is no ip:port",
                          options->listen);
  if (options->queue < 2 || (options->queue & (options->queue - 1)) != 0)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: queue must be a power of two");
  if (options->silent_ms == 0 || options->silent_ms > INT32_MAX)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: silent_ms must be 1 or more");
  return true;
}

MuxPeerPort *
mux_peer_zmq_new (const MuxPeerZmqOptions *options, char *bound, MuxError *err)
{
  PeerZmq *peer;

  if (!options_valid (options, err))
    return NULL;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "peers: memory is out");
      return NULL;
    }
  peer->port.send = peer_send;
  peer->port.free = peer_free;
  peer->inbox = options->inbox;
  peer->counters = options->counters;
  peer->links.curve = &peer->curve;
  peer->links.counters = options->counters;
  peer->links.silent_ms = options->silent_ms;
  peer->tick_ms = options->silent_ms / TICKS_PER_SILENCE;
  if (peer->tick_ms == 0)
    peer->tick_ms = 1;
  if (peer_start (peer, options, bound, err))
    return &peer->port;
  peer_destroy (peer);
  return NULL;
}
