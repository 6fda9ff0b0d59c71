#ifndef PORT_PORTS_H
#define PORT_PORTS_H

#include "port/instances.h"
#include "port/peer.h"
#include "port/table.h"
#include "port/worker.h"

#include <stdbool.h>

/* What an adapter may call from its own threads to hand something to the
 * core.  Each takes over what it is given and returns false, having freed it,
 * when the core's ring is full. */
typedef struct MuxInbox MuxInbox;
struct MuxInbox
{
  bool (*worker_reply) (MuxInbox *inbox, MuxWorkerReply *reply);
  bool (*table_reply) (MuxInbox *inbox, MuxTableReply *reply);
  bool (*peer_msg) (MuxInbox *inbox,
                    const MuxPeerMsg *msg); /* copies it, refs its body */
  bool (*instances) (MuxInbox *inbox, MuxInstanceList *list);
};

/* Towards workers.  The first member of an adapter is its table. */
typedef struct MuxWorkerPort MuxWorkerPort;
struct MuxWorkerPort
{
  /* Copies @call (refs its body), returns at once; exactly one reply follows
   * if and only if it returned true.  False: its ring is full. */
  bool (*call) (MuxWorkerPort *port, const MuxWorkerCall *call);
  void (*free) (MuxWorkerPort *port);
};

/* Towards the platform's table, object store and instance list. */
typedef struct MuxPlatformPort MuxPlatformPort;
struct MuxPlatformPort
{
  /* Takes @call over; exactly one reply follows if and only if it returned
   * true.  False: its ring is full; @call is freed all the same. */
  bool (*call) (MuxPlatformPort *port, MuxTableCall *call);
  void (*free) (MuxPlatformPort *port);
};

/* Towards other daemons. */
typedef struct MuxPeerPort MuxPeerPort;
struct MuxPeerPort
{
  /* Copies @msg (refs its body); best effort: may be lost.  False: full. */
  bool (*send) (MuxPeerPort *port, const char *addr, const MuxPeerMsg *msg);
  void (*free) (MuxPeerPort *port);
};

#endif
