#ifndef SUPPORT_FAKE_SINK_H
#define SUPPORT_FAKE_SINK_H

#include "core/core.h"

/* A message sent to a peer. */
typedef struct
{
  char addr[MUX_ADDR_LEN];
  MuxPeerMsg msg;
} FakeSent;

/* Observes a core: its events, and as a sink its actions, in order.  What the
 * sink's functions return is ignored. */
typedef struct FakeTap FakeTap;
struct FakeTap
{
  MuxCoreSink sink;
  void (*event) (FakeTap *tap, const MuxEvent *event);
};

/**
 * struct FakeSink - records the actions of a core, each kind in order
 * @sink: to be passed to the core
 * @tap: observer that is called first, or NULL
 * @full: refuse every call to an adapter, as a full ring does
 * @answers: responses, each with its own reference to the body
 * @worker_calls: calls to workers, likewise
 * @table_calls: calls to the platform, owned
 * @sent: messages to peers
 * @logs: number of changes of state logged
 *
 * A test may reply to the recorded calls in any order; it then sets the count
 * to 0, or drops all records by fake_sink_clear().
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

/** fake_sink_grow() - reallocates @items if needed, for one more than @count */
void *fake_sink_grow (void *items, uint32_t count, uint32_t *cap, size_t size);
void fake_sink_init (FakeSink *sink);
/** fake_sink_clear() - drops all records */
void fake_sink_clear (FakeSink *sink);

#endif
