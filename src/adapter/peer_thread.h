#ifndef ADAPTER_PEER_THREAD_H
#define ADAPTER_PEER_THREAD_H

#include "base/ring.h"
#include "peer_link.h"
#include "port/ports.h"

#include <pthread.h>
#include <stdatomic.h>

/* A message queued by MuxPeerPort.send() for the thread. */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  MuxPeerMsg msg;
} MuxPeerOutgoing;

/**
 * struct MuxPeerZmq - the peer adapter
 * @port: its interface; the first member
 * @inbox: receives messages
 * @counters: may be NULL
 * @outgoing: ring of MuxPeerOutgoing
 * @zmq: ZeroMQ context
 * @listener: ROUTER socket, receives from all peers
 * @curve: CURVE key pair and ZAP handler
 * @links: outgoing links to peers
 * @tick_ms: interval between checks of the links
 * @next_tick_ms: time of the next check
 * @stopping: tells the thread to end
 * @thread: while it runs it alone uses @listener, @curve, @links and the tick
 *   times
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
/** mux_peer_thread_main() - run a MuxPeerZmq until it is stopping */
void *mux_peer_thread_main (void *arg);

#endif
