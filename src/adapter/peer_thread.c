#include "peer_thread.h"

#include "adapter/peer.h"
#include "base/clock.h"

#include <stdlib.h>
#include <zmq.h>

/* Most messages sent, and most received, before the other gets its turn. */
#define BATCH_MAX 256
/* How long the thread, when it ends, waits for the last messages to arrive. */
#define FLUSH_MAX_MS 2000

enum
{
  POLL_OUTGOING,
  POLL_LISTENER,
  POLL_ZAP,
  POLL_BASE
};

static void
count (const MuxPeerZmq *peer, MuxCounter counter)
{
  if (peer->counters != NULL)
    mux_count (peer->counters, counter, 1);
}

static void
count_message (const MuxPeerZmq *peer,
               MuxPeerVerb verb,
               MuxDirection direction,
               size_t bytes)
{
  static const MuxTraffic kind[MUX_PEER_VERB_COUNT] = {
    [MUX_PEER_HELLO] = MUX_TRAFFIC_HELLO,
    [MUX_PEER_HELLO_REPLY] = MUX_TRAFFIC_HELLO_REPLY,
    [MUX_PEER_JOB_QUERY] = MUX_TRAFFIC_JOB_QUERY,
    [MUX_PEER_JOB_REPLY] = MUX_TRAFFIC_JOB_REPLY,
    [MUX_PEER_APPROVAL_QUERY] = MUX_TRAFFIC_APPROVAL_QUERY,
    [MUX_PEER_APPROVAL_REPLY] = MUX_TRAFFIC_APPROVAL_REPLY,
    [MUX_PEER_SUBMIT_REQUEST] = MUX_TRAFFIC_SUBMIT_REQUEST,
    [MUX_PEER_SUBMIT_REPLY] = MUX_TRAFFIC_SUBMIT_REPLY,
    [MUX_PEER_PROXY_CALL] = MUX_TRAFFIC_PROXY_CALL,
    [MUX_PEER_PROXY_REPLY] = MUX_TRAFFIC_PROXY_REPLY,
  };

  bool is_other = verb < MUX_PEER_HELLO || verb >= MUX_PEER_VERB_COUNT;

  if (peer->counters != NULL)
    mux_count_message (peer->counters,
                       is_other ? MUX_TRAFFIC_OTHER_PEER : kind[verb],
                       direction, bytes);
}

void
mux_peer_outgoing_free (MuxPeerOutgoing *out)
{
  mux_blob_unref (out->msg.body);
  free (out);
}

static bool
send_next (MuxPeerZmq *peer, int64_t now)
{
  MuxPeerOutgoing *out = mux_ring_pop (peer->outgoing);
  MuxBlob *blob;

  if (out == NULL)
    return false;
  blob = mux_peer_encode (&out->msg);
  if (blob != NULL && mux_peer_links_send (&peer->links, out->addr, blob, now))
    count_message (peer, out->msg.verb, MUX_SENT, blob->len);
  if (blob == NULL && peer->counters != NULL)
    mux_count_refused (peer->counters, MUX_REASON_INTERNAL);
  mux_blob_unref (blob);
  mux_peer_outgoing_free (out);
  return true;
}

static void
send_queued (MuxPeerZmq *peer, int64_t now)
{
  mux_ring_clear_event (peer->outgoing);
  for (int i = 0; i < BATCH_MAX; i++)
    if (!send_next (peer, now))
      return;
  /* The ring may hold more; receiving gets its turn first. */
  mux_ring_wake (peer->outgoing, 1);
}

static void
deliver (MuxPeerZmq *peer, zmq_msg_t *payload)
{
  MuxPeerMsg msg;

  if (!mux_peer_decode (zmq_msg_data (payload), zmq_msg_size (payload), &msg,
                        NULL))
    {
      count (peer, MUX_COUNT_PEER_BAD);
      return;
    }
  count (peer, MUX_COUNT_PEER_RECEIVED);
  count_message (peer, msg.verb, MUX_RECEIVED, zmq_msg_size (payload));
  (void) peer->inbox->peer_msg (peer->inbox, &msg);
  mux_blob_unref (msg.body);
}

static bool
is_probe (zmq_msg_t *payload)
{
  return zmq_msg_size (payload) == MUX_PEER_PROBE_BYTES
         && *(const char *) zmq_msg_data (payload) == MUX_PEER_PROBE_TYPE;
}

static void
echo (MuxPeerZmq *peer, zmq_msg_t *identity, zmq_msg_t *probe)
{
  if (zmq_msg_send (identity, peer->listener, ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
    (void) zmq_msg_send (probe, peer->listener, ZMQ_DONTWAIT);
}

/* Drops the remaining frames of a message that has too many. */
static void
skip_frames (MuxPeerZmq *peer)
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

/* A message is two frames: the identity of the sending link and the payload. */
static void
receive_payload (MuxPeerZmq *peer, zmq_msg_t *identity)
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
  else if (is_probe (&payload))
    echo (peer, identity, &payload);
  else
    deliver (peer, &payload);
  zmq_msg_close (&payload);
}

static void
receive_queued (MuxPeerZmq *peer)
{
  zmq_msg_t identity;
  bool received = true;

  for (int i = 0; i < BATCH_MAX && received; i++)
    {
      zmq_msg_init (&identity);
      received = zmq_msg_recv (&identity, peer->listener, ZMQ_DONTWAIT) >= 0;
      if (received)
        receive_payload (peer, &identity);
      zmq_msg_close (&identity);
    }
}

/* If this thread was delayed for long, it read no echo meanwhile; that time
 * does not count towards the silence timeout of its links. */
static void
tick (MuxPeerZmq *peer, int64_t now)
{
  int64_t late_ms = now - peer->next_tick_ms;

  if (late_ms < 0)
    return;
  mux_peer_links_tick (&peer->links, now,
                       late_ms > peer->links.silence_timeout_ms ? late_ms : 0);
  peer->next_tick_ms = now + peer->tick_ms;
}

static uint32_t
poll_base (const MuxPeerZmq *peer, zmq_pollitem_t *items)
{
  items[POLL_OUTGOING]
      = (zmq_pollitem_t){ NULL, mux_ring_fd (peer->outgoing), ZMQ_POLLIN, 0 };
  items[POLL_LISTENER] = (zmq_pollitem_t){ peer->listener, 0, ZMQ_POLLIN, 0 };
  items[POLL_ZAP] = (zmq_pollitem_t){ peer->curve.zap, 0, ZMQ_POLLIN, 0 };
  return peer->curve.enabled ? POLL_BASE : POLL_ZAP;
}

static void
serve (MuxPeerZmq *peer, const zmq_pollitem_t *items, int64_t now)
{
  if (items[POLL_OUTGOING].revents != 0)
    send_queued (peer, now);
  if (items[POLL_LISTENER].revents != 0)
    receive_queued (peer);
  if (peer->curve.enabled && items[POLL_ZAP].revents != 0)
    mux_peer_curve_serve_zap (&peer->curve);
}

static void
run (MuxPeerZmq *peer)
{
  zmq_pollitem_t items[POLL_BASE];
  int used = (int) poll_base (peer, items);

  peer->next_tick_ms = mux_monotonic_ms () + peer->tick_ms;
  while (!atomic_load (&peer->stopping))
    {
      int64_t wait_ms = peer->next_tick_ms - mux_monotonic_ms ();

      if (zmq_poll (items, used, wait_ms > 0 ? wait_ms : 0) > 0)
        serve (peer, items, mux_monotonic_ms ());
      tick (peer, mux_monotonic_ms ());
    }
}

/* Adds the links whose last probe has no echo yet to @items. */
static uint32_t
poll_links (const MuxPeerZmq *peer, zmq_pollitem_t *items)
{
  MuxPeerLink *link;
  MuxPeerLink *next;
  uint32_t n = 0;

  HASH_ITER (hh, peer->links.by_addr, link, next)
  if (mux_peer_link_awaits_echo (link))
    items[n++] = (zmq_pollitem_t){ link->socket, 0, ZMQ_POLLIN, 0 };
  return n;
}

/* Sends what is queued, such as a BYE, and waits until it has arrived; closing
 * the sockets at once would drop it.  The echo of a probe sent behind the last
 * message proves its arrival.  Peers that do not echo delay the end by no more
 * than FLUSH_MAX_MS. */
static void
flush (MuxPeerZmq *peer)
{
  zmq_pollitem_t items[POLL_BASE + MUX_PEER_LINKS_MAX];
  int64_t end_ms = mux_monotonic_ms () + FLUSH_MAX_MS;
  uint32_t base = poll_base (peer, items);
  uint32_t waiting;

  while (send_next (peer, mux_monotonic_ms ()))
    ;
  mux_peer_links_probe (&peer->links);
  while ((waiting = poll_links (peer, items + base)) > 0
         && mux_monotonic_ms () < end_ms)
    {
      MuxPeerLink *link;
      MuxPeerLink *next;

      (void) zmq_poll (items, (int) (base + waiting),
                       end_ms - mux_monotonic_ms ());
      serve (peer, items, mux_monotonic_ms ());
      HASH_ITER (hh, peer->links.by_addr, link, next)
      mux_peer_link_receive_echoes (link);
    }
}

void *
mux_peer_thread_main (void *arg)
{
  MuxPeerZmq *peer = arg;

  run (peer);
  flush (peer);
  mux_peer_links_close (&peer->links);
  return NULL;
}
