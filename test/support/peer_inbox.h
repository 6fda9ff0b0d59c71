#ifndef SUPPORT_PEER_INBOX_H
#define SUPPORT_PEER_INBOX_H

#include "port/ports.h"

#include <pthread.h>

#define PEER_INBOX_MAX 4096
/* Time-out of every wait; a test that reaches it fails. */
#define PEER_WAIT_MS 30000

/**
 * struct PeerInbox - records the messages that a peer adapter delivers
 * @inbox: its function table
 * @changed: signalled at each change of the fields below
 * @gate_closed: deliveries block until the gate opens
 * @at_gate: number of blocked deliveries
 * @count: used entries of @msgs
 * @msgs: messages in the order of delivery, without their bodies
 */
typedef struct
{
  MuxInbox inbox;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  bool gate_closed;
  uint32_t at_gate;
  uint32_t count;
  MuxPeerMsg msgs[PEER_INBOX_MAX];
} PeerInbox;

PeerInbox *peer_inbox_new (void);
void peer_inbox_free (PeerInbox *inbox);
/** peer_inbox_wait() - waits for a message of @from with at least @revision
 * Return: false after @wait_ms. */
bool peer_inbox_wait (PeerInbox *inbox,
                      const char *from,
                      uint64_t revision,
                      uint32_t wait_ms);
/** peer_inbox_seen() - counts the messages of @from so far */
uint32_t peer_inbox_seen (PeerInbox *inbox, const char *from);
/** peer_inbox_close_gate() - blocks deliveries until peer_inbox_open_gate() */
void peer_inbox_close_gate (PeerInbox *inbox);
/** peer_inbox_wait_at_gate() - waits until a delivery is blocked
 * Return: false after PEER_WAIT_MS. */
bool peer_inbox_wait_at_gate (PeerInbox *inbox);
void peer_inbox_open_gate (PeerInbox *inbox);

#endif
