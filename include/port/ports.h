#ifndef PORT_PORTS_H
#define PORT_PORTS_H

#include "port/instances.h"
#include "port/peer.h"
#include "port/table.h"
#include "port/worker.h"

#include <stdbool.h>

/* By which adapters hand events to the core, from any thread.  Each function
 * takes ownership of what it is given; it returns false, having freed that,
 * when the core's ring is full. */
typedef struct MuxInbox MuxInbox;
struct MuxInbox
{
  bool (*worker_reply) (MuxInbox *inbox, MuxWorkerReply *reply);
  bool (*table_reply) (MuxInbox *inbox, MuxTableReply *reply);
  bool (*peer_msg) (MuxInbox *inbox,
                    const MuxPeerMsg *msg); /* copied, its body referenced */
  bool (*instances) (MuxInbox *inbox, MuxInstanceList *list);
};

/* Adapter to workers.  It is the first member of the structure that implements
 * it, as are those below. */
typedef struct MuxWorkerPort MuxWorkerPort;
struct MuxWorkerPort
{
  /* Copies @call (references its body) and does not block.  Returns false when
   * its ring is full; exactly one reply follows if it returned true, none
   * otherwise. */
  bool (*call) (MuxWorkerPort *port, const MuxWorkerCall *call);
  void (*free) (MuxWorkerPort *port);
};

/* Adapter to the platform's table, object store and instance list. */
typedef struct MuxPlatformPort MuxPlatformPort;
struct MuxPlatformPort
{
  /* Takes ownership of @call.  Returns false, with @call freed, when its ring
   * is full; exactly one reply follows if it returned true, none otherwise. */
  bool (*call) (MuxPlatformPort *port, MuxTableCall *call);
  void (*free) (MuxPlatformPort *port);
};

/* Adapter to other daemons. */
typedef struct MuxPeerPort MuxPeerPort;
struct MuxPeerPort
{
  /* Copies @msg (references its body).  The message may be lost.  Returns
   * false when its ring is full. */
  bool (*send) (MuxPeerPort *port, const char *addr, const MuxPeerMsg *msg);
  void (*free) (MuxPeerPort *port);
};

#endif
