#include "peer_link.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define RECONNECT_MS 50
/* Interval of ZeroMQ's own heartbeats, in silence timeouts.  They are rare
 * because each one makes ZeroMQ search the timers of all connections. */
#define HEARTBEAT_INTERVAL_FACTOR 4
/* A link is first probed after this fraction of the silence timeout without an
 * echo: that one probe covers all that was sent in the meantime. */
#define PROBE_DIVISOR 2
/* Largest frame received on a link: echoes and ZeroMQ's commands only. */
#define FRAME_BYTES_MAX 1024
#define ECHO_BATCH_MAX 4096

static bool
set_int (void *socket, int option, int value)
{
  return zmq_setsockopt (socket, option, &value, sizeof value) == 0;
}

/* ZeroMQ's own heartbeats, off by default, end connections that died while
 * idle, on either side.  Their timeout is longer than that of a link in use, so
 * that link_replace() acts first there: ZeroMQ would only reconnect, while
 * link_replace() also drops the messages queued, logs and counts it. */
bool
mux_peer_socket_set_common_options (void *socket, uint32_t silence_timeout_ms)
{
  int timeout_ms = (int) silence_timeout_ms;
  int interval_ms = HEARTBEAT_INTERVAL_FACTOR * timeout_ms;

  return set_int (socket, ZMQ_LINGER, 0)
         && set_int (socket, ZMQ_SNDHWM, MUX_PEER_LINK_QUEUE)
         && set_int (socket, ZMQ_RCVHWM, MUX_PEER_LINK_QUEUE)
         && set_int (socket, ZMQ_HEARTBEAT_IVL, interval_ms)
         && set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, 2 * timeout_ms)
         && set_int (socket, ZMQ_HANDSHAKE_IVL, timeout_ms);
}

/* ZMQ_IMMEDIATE stays off: with it, the first message to an address, sent
 * before the connection is established, would always be lost.  Messages queued
 * in a link that never connects are dropped with it after the silence timeout.
 */
static void *
link_open (const MuxPeerLinks *links, const char *addr)
{
  void *socket = zmq_socket (links->zmq, ZMQ_DEALER);
  char endpoint[MUX_ADDR_LEN + 8];
  int64_t frame_max = FRAME_BYTES_MAX;

  if (socket == NULL)
    return NULL;
  snprintf (endpoint, sizeof endpoint, "tcp://%s", addr);
  if (mux_peer_socket_set_common_options (socket, links->silence_timeout_ms)
      && set_int (socket, ZMQ_IPV6, addr[0] == '[')
      && set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS)
      && set_int (socket, ZMQ_CONNECT_TIMEOUT, (int) links->silence_timeout_ms)
      && zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &frame_max, sizeof frame_max)
             == 0
      && mux_peer_curve_set_client_options (links->curve, socket)
      && zmq_connect (socket, endpoint) == 0)
    return socket;
  zmq_close (socket);
  return NULL;
}

static void
link_free (MuxPeerLink *link)
{
  if (link->socket != NULL)
    zmq_close (link->socket);
  free (link);
}

static void
count_dropped (const MuxPeerLinks *links)
{
  if (links->counters != NULL)
    mux_count_refused (links->counters, MUX_REASON_RING_FULL);
}

static bool
links_limit_reached (MuxPeerLinks *links)
{
  bool full = HASH_COUNT (links->by_addr) >= links->links_max;

  if (full && !links->limit_reached)
    mux_log (MUX_LOG_WARNING, "peer_links_full", "links=%u",
             (unsigned) links->links_max);
  links->limit_reached = full;
  return full;
}

static MuxPeerLink *
link_find (MuxPeerLinks *links, const char *addr)
{
  MuxPeerLink *link = NULL;

  HASH_FIND_STR (links->by_addr, addr, link);
  if (link != NULL || links_limit_reached (links))
    return link;
  link = calloc (1, sizeof *link);
  if (link == NULL)
    return NULL;
  snprintf (link->addr, sizeof link->addr, "%s", addr);
  HASH_ADD_STR (links->by_addr, addr, link);
  if (link->hh.tbl != NULL)
    return link;
  free (link);
  return NULL;
}

bool
mux_peer_links_send (MuxPeerLinks *links,
                     const char *addr,
                     const MuxBlob *blob,
                     int64_t now_ms)
{
  MuxPeerLink *link = link_find (links, addr);

  if (link == NULL)
    {
      count_dropped (links);
      return false;
    }
  link->last_send_ms = now_ms;
  if (link->unechoed_since_ms == 0)
    link->unechoed_since_ms = now_ms;
  if (link->socket == NULL)
    link->socket = link_open (links, addr);
  if (link->socket == NULL
      || zmq_send (link->socket, blob->bytes, blob->len, ZMQ_DONTWAIT) < 0)
    {
      count_dropped (links);
      return false;
    }
  if (links->counters == NULL)
    return true;
  mux_count (links->counters, MUX_COUNT_PEER_SENT, 1);
  mux_count (links->counters, MUX_COUNT_PEER_SENT_BYTES, blob->len);
  return true;
}

static void
link_probe (MuxPeerLink *link)
{
  char frame[MUX_PEER_PROBE_BYTES] = { MUX_PEER_PROBE_TYPE };
  uint32_t number = link->probe + 1;

  memcpy (frame + 1, &number, sizeof number);
  if (zmq_send (link->socket, frame, sizeof frame, ZMQ_DONTWAIT) >= 0)
    link->probe = number;
}

static void
link_echoed (MuxPeerLink *link, const char *frame)
{
  memcpy (&link->echo, frame + 1, sizeof link->echo);
  link->unechoed_since_ms = 0;
  if (link->unresponsive)
    mux_log (MUX_LOG_NOTICE, "peer_link_back", "addr=%s", link->addr);
  link->unresponsive = false;
}

void
mux_peer_link_receive_echoes (MuxPeerLink *link)
{
  char frame[MUX_PEER_PROBE_BYTES];

  if (link->socket == NULL)
    return;
  for (int i = 0; i < ECHO_BATCH_MAX; i++)
    {
      int len = zmq_recv (link->socket, frame, sizeof frame, ZMQ_DONTWAIT);

      if (len < 0)
        return;
      if (len == sizeof frame && frame[0] == MUX_PEER_PROBE_TYPE)
        link_echoed (link, frame);
    }
}

bool
mux_peer_link_awaits_echo (const MuxPeerLink *link)
{
  return link->socket != NULL && !link->unresponsive
         && link->echo != link->probe;
}

/* A middlebox, such as a firewall or a load balancer, may lose the state of one
 * connection while new connections work.  Sends on it then succeed, no error
 * occurs, and probes get no echo.  ZeroMQ alone may keep such a connection,
 * since the middlebox can go on acknowledging its bytes.  An echo comes from
 * the peer's own thread and so proves that both directions work.  Without one
 * for silence_timeout_ms the link gets a new connection.  Messages queued in
 * the old one are dropped: sending them again might deliver them twice. */
static void
link_replace (MuxPeerLinks *links, MuxPeerLink *link)
{
  if (link->socket != NULL)
    zmq_close (link->socket);
  link->socket = link_open (links, link->addr);
  link->unechoed_since_ms = 0;
  link->echo = link->probe;
  if (!link->unresponsive)
    mux_log (MUX_LOG_WARNING, "peer_link_replaced", "addr=%s silent_ms=%u",
             link->addr, (unsigned) links->silence_timeout_ms);
  link->unresponsive = true;
  if (links->counters != NULL)
    mux_count_retry (links->counters, MUX_REASON_PEER_SILENT);
}

static void
link_tick (MuxPeerLinks *links, MuxPeerLink *link, int64_t now_ms)
{
  int64_t idle_ms = now_ms - link->last_send_ms;

  mux_peer_link_receive_echoes (link);
  if (idle_ms >= (int64_t) links->silence_timeout_ms * MUX_PEER_IDLE_FACTOR)
    {
      HASH_DEL (links->by_addr, link);
      link_free (link);
      return;
    }
  if (link->unechoed_since_ms == 0)
    return;
  if (now_ms - link->unechoed_since_ms >= links->silence_timeout_ms)
    link_replace (links, link);
  else if (link->socket != NULL
           && now_ms - link->unechoed_since_ms
                  >= links->silence_timeout_ms / PROBE_DIVISOR)
    link_probe (link);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

void
mux_peer_links_tick (MuxPeerLinks *links, int64_t now_ms, int64_t paused_ms)
{
  MuxPeerLink *link;
  MuxPeerLink *next;

  HASH_ITER (hh, links->by_addr, link, next)
  {
    if (link->unechoed_since_ms != 0)
      link->unechoed_since_ms
          = earlier (link->unechoed_since_ms + paused_ms, now_ms);
    link_tick (links, link, now_ms);
  }
}

void
mux_peer_links_probe (MuxPeerLinks *links)
{
  MuxPeerLink *link;
  MuxPeerLink *next;

  HASH_ITER (hh, links->by_addr, link, next)
  if (link->socket != NULL && link->unechoed_since_ms != 0)
    link_probe (link);
}

void
mux_peer_links_close (MuxPeerLinks *links)
{
  MuxPeerLink *link = links->by_addr;

  /* HASH_CLEAR frees the table only; the entries stay linked. */
  HASH_CLEAR (hh, links->by_addr);
  while (link != NULL)
    {
      MuxPeerLink *next = link->hh.next;

      link_free (link);
      link = next;
    }
}
