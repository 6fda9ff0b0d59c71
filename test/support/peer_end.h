#ifndef SUPPORT_PEER_END_H
#define SUPPORT_PEER_END_H

#include "adapter/peer.h"
#include "support/peer_inbox.h"

/* A silence timeout that no test reaches, and one that some tests wait for. */
#define SILENT_LONG_MS 20000
#define SILENT_SHORT_MS 200
/* Pause between two sends of a peer that goes on sending. */
#define SEND_EVERY_MS 20
#define SENDS_MAX (PEER_WAIT_MS / SEND_EVERY_MS)
#define KEY_TEXT 41

/* One adapter with what it needs. */
typedef struct
{
  PeerInbox *inbox;
  MuxCounters *counters;
  MuxPeerPort *port;
  char addr[MUX_ADDR_LEN];
} Peer;

typedef struct
{
  char secret[KEY_TEXT];
  char public[KEY_TEXT];
} KeyPair;

KeyPair key_pair (void);
/** peer_prepare() - a Peer whose adapter peer_open() makes */
Peer peer_prepare (void);
MuxPeerZmqOptions options_of (Peer *peer, uint32_t silent_ms);
void peer_open (Peer *peer, const MuxPeerZmqOptions *options);
/** peer_new() - prepare and open; @keys may be NULL */
Peer peer_new (uint32_t silent_ms, const KeyPair *keys);
void peer_end (Peer *peer);
/** hint() - CONFIG_HINT of @from for @revision */
MuxPeerMsg hint (const char *from, uint64_t revision);
void
send_hint (Peer *peer, const char *addr, const char *from, uint64_t revision);
/** send_until_arrived() - send revisions from @first on until one of them
 * arrives at @to */
void send_until_arrived (Peer *peer,
                         const char *addr,
                         const char *from,
                         uint64_t first,
                         Peer *to);

#endif
