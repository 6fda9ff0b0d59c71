#ifndef ADAPTER_PEER_THREAD_H
#define ADAPTER_PEER_THREAD_H

#include "base/ring.h"
#include "peer_link.h"
#include "port/ports.h"

#include <pthread.h>
#include <stdatomic.h>

/* One message on its way from send() to the thread. */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  MuxPeerMsg msg;
} MuxPeerOutgoing;

/**
 * struct MuxPeerZmq - the adapter
 * @port: its table
 * @inbox: where messages go
 * @counters: may be NULL
 * @outgoing: MuxPeerOutgoing for the thread
 * @zmq: context
 * @listener: ROUTER; used by the thread alone once that runs, as are the
 *   members below it
 * @curve: encryption
 * @links: towards the listeners of peers
 * @tick_ms: from one look at the links to the next
 * @next_tick_ms: when that is
 * @stopping: asks the thread to end
 * @thread: owner of all sockets
 */
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
} MuxPeerZmq;

void mux_peer_outgoing_free (MuxPeerOutgoing *out);
/** mux_peer_thread_main() - serve a MuxPeerZmq until it is stopping */
void *mux_peer_thread_main (void *arg);

#endif
