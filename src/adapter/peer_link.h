#ifndef ADAPTER_PEER_LINK_H
#define ADAPTER_PEER_LINK_H

#include "base/blob.h"
#include "base/counters.h"
#include "base/id.h"
#include "peer_curve.h"

#include <stdbool.h>
#include <stdint.h>

/* When out of memory, uthash then drops the entry instead of calling exit(). */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

/* Default and largest number of links: several times the daemons of the largest
 * cell. */
#define MUX_PEER_LINKS_MAX 2048
/* High-water mark of a socket, in messages. */
#define MUX_PEER_LINK_QUEUE 1024
/* A link is closed when nothing was sent on it for this many times
 * silence_timeout_ms. */
#define MUX_PEER_IDLE_FACTOR 10

/* A probe is this byte, with which no message begins, and a 4-byte number.  The
 * peer returns it unchanged as the echo. */
#define MUX_PEER_PROBE_TYPE 0
#define MUX_PEER_PROBE_BYTES 5

/**
 * struct MuxPeerLink - outgoing connection to one peer address
 * @addr: "ip:port"
 * @socket: DEALER; NULL: not open
 * @last_send_ms: time of the last send
 * @unechoed_since_ms: time of the first send since the last echo; 0: none
 * @probe: number of the last probe sent
 * @echo: number of the last echo received
 * @unresponsive: replaced after the silence timeout, and no echo since
 */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  void *socket;
  int64_t last_send_ms;
  int64_t unechoed_since_ms;
  uint32_t probe;
  uint32_t echo;
  bool unresponsive;
  UT_hash_handle hh;
} MuxPeerLink;

/**
 * struct MuxPeerLinks - the outgoing links, all used by one thread
 * @zmq: ZeroMQ context
 * @curve: encryption
 * @counters: may be NULL
 * @silence_timeout_ms: a link without an echo for this long is replaced
 * @links_max: most links at once
 * @by_addr: links, by address
 * @limit_reached: @links_max was reached and has been logged
 */
typedef struct
{
  void *zmq;
  const MuxPeerCurve *curve;
  MuxCounters *counters;
  uint32_t silence_timeout_ms;
  uint32_t links_max;
  MuxPeerLink *by_addr;
  bool limit_reached;
} MuxPeerLinks;

/** mux_peer_socket_set_common_options() - options of all sockets to peers */
bool mux_peer_socket_set_common_options (void *socket,
                                         uint32_t silence_timeout_ms);
/** mux_peer_links_send() - send @blob on the link of @addr, or drop it
 * Opens the link if there is none.
 * Return: false if it was dropped. */
bool mux_peer_links_send (MuxPeerLinks *links,
                          const char *addr,
                          const MuxBlob *blob,
                          int64_t now_ms);
/** mux_peer_links_tick() - read echoes; probe, replace and close links
 * @paused_ms: time for which this thread did not run and so read no echo; it
 *   does not count towards the silence timeout; 0: none */
void
mux_peer_links_tick (MuxPeerLinks *links, int64_t now_ms, int64_t paused_ms);
/** mux_peer_links_probe() - send a probe behind all messages sent so far */
void mux_peer_links_probe (MuxPeerLinks *links);
/** mux_peer_link_receive_echoes() - read the echoes that have arrived */
void mux_peer_link_receive_echoes (MuxPeerLink *link);
/** mux_peer_link_awaits_echo() - whether the last probe has no echo yet
 * Always false for an unresponsive link. */
bool mux_peer_link_awaits_echo (const MuxPeerLink *link);
void mux_peer_links_close (MuxPeerLinks *links);

#endif
