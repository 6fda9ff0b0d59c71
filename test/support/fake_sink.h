#ifndef SUPPORT_FAKE_SINK_H
#define SUPPORT_FAKE_SINK_H

#include "core/core.h"

/* One message to a peer, as sent. */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  MuxPeerMsg msg;
} FakeSent;

/* Sees a core's events, and as a sink its actions, in the order in which they
 * come; what its calls return is not used. */
typedef struct FakeTap FakeTap;
struct FakeTap
{
  MuxCoreSink sink;
  void (*event) (FakeTap *tap, const MuxEvent *event);
};

/**
 * struct FakeSink - records the actions of a core in the order of their sort
 * @sink: give its address to the core
 * @tap: sees everything first, or NULL
 * @full: every call to an adapter is refused, as by a full ring
 * @answers: answers, each with its own reference of the body
 * @worker_calls: calls to workers, likewise
 * @table_calls: calls to the platform, owned
 * @sent: messages to peers
 * @logs: changes of state told so far
 *
 * A test takes what it wants: it answers calls in whatever order, then sets
 * the count to 0, or lets fake_sink_clear() drop everything.
 */
typedef struct
{
  MuxCoreSink sink;
  FakeTap *tap;
  bool full;
  uint32_t answer_count, worker_count, table_count, sent_count;
  uint32_t answer_cap, worker_cap, table_cap, sent_cap;
  MuxCoreResponse *answers;
  MuxWorkerCall *worker_calls;
  MuxTableCall **table_calls;
  FakeSent *sent;
  uint32_t logs;
} FakeSink;

/** fake_sink_grow() - @items with room for one more than @count */
void *fake_sink_grow (void *items, uint32_t count, uint32_t *cap, size_t size);
void fake_sink_init (FakeSink *sink);
void fake_sink_clear (FakeSink *sink);

#endif
