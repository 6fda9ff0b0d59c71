#include "adapter/peer.h"

#include "peer_addr.h"
#include "peer_fields.h"
#include "peer_thread.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/* Checks of the links within one silence timeout. */
#define TICKS_PER_TIMEOUT 8
/* The links, the listener, the ZAP handler and ZeroMQ's internal sockets. */
#define SOCKETS_MAX (MUX_PEER_LINKS_MAX + 16)
/* One hour; its multiples fit ZeroMQ's int options. */
#define SILENCE_TIMEOUT_MAX_MS 3600000
#define TCP_PREFIX "tcp://"

static bool
peer_send (MuxPeerPort *port, const char *addr, const MuxPeerMsg *msg)
{
  MuxPeerZmq *peer = (MuxPeerZmq *) port;
  MuxPeerOutgoing *out;

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
  mux_peer_outgoing_free (out);
  return false;
}

/* Called after the thread has ended, or when it was never started. */
static void
peer_destroy (MuxPeerZmq *peer)
{
  MuxPeerOutgoing *out;

  if (peer->listener != NULL)
    zmq_close (peer->listener);
  mux_peer_curve_close (&peer->curve);
  if (peer->zmq != NULL)
    zmq_ctx_term (peer->zmq);
  while (peer->outgoing != NULL
         && (out = mux_ring_pop (peer->outgoing)) != NULL)
    mux_peer_outgoing_free (out);
  mux_ring_free (peer->outgoing);
  free (peer);
}

static void
peer_free (MuxPeerPort *port)
{
  MuxPeerZmq *peer = (MuxPeerZmq *) port;

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
listener_open (MuxPeerZmq *peer, const char *listen, char *bound, MuxError *err)
{
  int64_t msg_max = MUX_PEER_MSG_MAX;
  char endpoint[MUX_ADDR_LEN + sizeof TCP_PREFIX - 1];
  size_t len = sizeof endpoint;
  int ipv6 = listen[0] == '[';

  peer->listener = zmq_socket (peer->zmq, ZMQ_ROUTER);
  if (peer->listener == NULL)
    return zmq_failed (err, "listener");
  if (!mux_peer_socket_set_common_options (peer->listener,
                                           peer->links.silence_timeout_ms)
      || zmq_setsockopt (peer->listener, ZMQ_IPV6, &ipv6, sizeof ipv6) != 0
      || zmq_setsockopt (peer->listener, ZMQ_MAXMSGSIZE, &msg_max,
                         sizeof msg_max)
             != 0
      || !mux_peer_curve_set_server_options (&peer->curve, peer->listener))
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

/* All signals are blocked in the thread: others wait for them. */
static bool
thread_start (MuxPeerZmq *peer, MuxError *err)
{
  sigset_t all;
  sigset_t old;
  int rc;

  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  rc = pthread_create (&peer->thread, NULL, mux_peer_thread_main, peer);
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  if (rc != 0)
    return mux_error_set (err, MUX_ERROR_IO, "peers: thread: %s",
                          strerror (rc));
  return true;
}

static bool
peer_start (MuxPeerZmq *peer,
            const MuxPeerZmqOptions *options,
            char *bound,
            MuxError *err)
{
  peer->outgoing = mux_ring_new_pollable (options->queue);
  peer->zmq = zmq_ctx_new ();
  if (peer->outgoing == NULL || peer->zmq == NULL
      || zmq_ctx_set (peer->zmq, ZMQ_MAX_SOCKETS, SOCKETS_MAX) != 0)
    return mux_error_set (err, MUX_ERROR_MEMORY, "peers: out of memory");
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
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: %s is not a valid ip:port", options->listen);
  if (options->queue < 2 || (options->queue & (options->queue - 1)) != 0)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: queue must be a power of two");
  if (options->links_max > MUX_PEER_LINKS_MAX)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: links_max must be at most %d",
                          MUX_PEER_LINKS_MAX);
  if (options->silence_timeout_ms == 0
      || options->silence_timeout_ms > SILENCE_TIMEOUT_MAX_MS)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "peers: silence_timeout_ms must be 1 to %d",
                          SILENCE_TIMEOUT_MAX_MS);
  return true;
}

MuxPeerPort *
mux_peer_zmq_new (const MuxPeerZmqOptions *options, char *bound, MuxError *err)
{
  MuxPeerZmq *peer;

  if (!options_valid (options, err))
    return NULL;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "peers: out of memory");
      return NULL;
    }
  peer->port.send = peer_send;
  peer->port.free = peer_free;
  peer->inbox = options->inbox;
  peer->counters = options->counters;
  peer->links.curve = &peer->curve;
  peer->links.counters = options->counters;
  peer->links.silence_timeout_ms = options->silence_timeout_ms;
  peer->links.links_max
      = options->links_max != 0 ? options->links_max : MUX_PEER_LINKS_MAX;
  peer->tick_ms = options->silence_timeout_ms / TICKS_PER_TIMEOUT;
  if (peer->tick_ms == 0)
    peer->tick_ms = 1;
  if (peer_start (peer, options, bound, err))
    return &peer->port;
  peer_destroy (peer);
  return NULL;
}
