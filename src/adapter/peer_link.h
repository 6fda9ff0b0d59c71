#ifndef ADAPTER_PEER_LINK_H
#define ADAPTER_PEER_LINK_H

#include "base/blob.h"
#include "base/counters.h"
#include "base/id.h"
#include "peer_curve.h"

#include <stdbool.h>
#include <stdint.h>

/* Out of memory, uthash leaves the entry out instead of ending the process. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

/* Addresses that one daemon speaks to at once, if no less is asked for: several
 * times the daemons of the largest cell. */
#define MUX_PEER_LINKS_MAX 2048
/* Messages that may wait inside one connection. */
#define MUX_PEER_LINK_QUEUE 1024
/* A link is closed when nothing was sent on it for this many silent_ms. */
#define MUX_PEER_IDLE_FACTOR 10

/* A probe is this byte, with which no message begins, and a number; the peer
 * sends it back as it came. */
#define MUX_PEER_PROBE_TYPE 0
#define MUX_PEER_PROBE_BYTES 5

/**
 * struct MuxPeerLink - connection to the listener of one peer address
 * @addr: "ip:port"
 * @socket: DEALER
 * @used_ms: when something was last sent here
 * @waiting_since_ms: first send that no echo has followed yet; 0: none
 * @probe: number of the last probe sent
 * @echo: number of the last probe that came back
 * @silent: it has been replaced for silence and was not heard since
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
 * @zmq: context
 * @curve: encryption
 * @counters: may be NULL
 * @silent_ms: a link that is not heard for this long is replaced
 * @links_max: most links at once
 * @by_addr: links
 * @full: the bound was reached and has been reported
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

/** mux_peer_socket_common() - options of every socket that meets a peer */
bool mux_peer_socket_set_common_options (void *socket, uint32_t silent_ms);
/** mux_peer_links_send() - hand @blob to the link of @addr, or drop it */
void mux_peer_links_send (MuxPeerLinks *links,
                          const char *addr,
                          const MuxBlob *blob,
                          int64_t now_ms);
/** mux_peer_links_tick() - hear, probe, replace and close links
 * @paused_ms: time for which this thread could hear nothing, or 0 */
void
mux_peer_links_tick (MuxPeerLinks *links, int64_t now_ms, int64_t paused_ms);
/** mux_peer_links_probe() - ask for an echo behind everything sent so far */
void mux_peer_links_probe (MuxPeerLinks *links);
/** mux_peer_link_hear() - read the echoes that came back */
void mux_peer_link_receive_echoes (MuxPeerLink *link);
/** mux_peer_link_awaits_echo() - its last probe has not come back yet,
 * and it is not known to be silent */
bool mux_peer_link_awaits_echo (const MuxPeerLink *link);
void mux_peer_links_close (MuxPeerLinks *links);

#endif
