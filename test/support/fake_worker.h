#ifndef SUPPORT_FAKE_WORKER_H
#define SUPPORT_FAKE_WORKER_H

#include "standin/worker_logic.h"
#include "support/fake_net.h"

/**
 * struct FakeWorker - the worker stand-in's logic behind a core's worker calls
 * @user: for whoever gave the options' on_event, whose ctx is the worker
 * @clock_ahead_ms: its clock less the net's
 * @silent: calls come to nothing and get no answer
 * @cut: the same for calls of one node
 * @lost_ppm: share of answers that are lost, after the effect
 * @lose_starts: so many answers of START are lost, after the effect
 * @late_starts: so many STARTs arrive only after @late_ms
 * @slow_ms: calls and answers take up to so much longer, so that they overtake
 *   one another
 * @ignores_epoch, @ignores_incarnation, @ignores_not_after, @ignores_forget:
 *   a worker without the mechanism of that name; shows that a proof which
 *   relies on it fails without
 * @starts_seen: START calls that arrived
 */
typedef struct
{
  FakeNet *net;
  void *user;
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  StandinWorkerOptions options;
  StandinWorker *logic;
  MuxInstanceState state;
  int64_t clock_offset_ms;
  bool silent;
  bool cut[FAKE_NODES_MAX];
  uint32_t lost_ppm;
  uint32_t lose_starts;
  uint32_t late_starts;
  uint32_t late_ms;
  uint32_t slow_ms;
  bool ignores_epoch;
  bool ignores_incarnation;
  bool ignores_not_after;
  bool ignores_forget;
  uint32_t starts_seen;
  int64_t tick_ms;
  struct FakeWorkerCall *calls;
} FakeWorker;

/** fake_worker_init() - @options as of its first life */
void fake_worker_init (FakeWorker *worker,
                       FakeNet *net,
                       const StandinWorkerOptions *options);
void fake_worker_clear (FakeWorker *worker);
/** fake_worker_restart() - a new life that knows nothing */
void fake_worker_restart (FakeWorker *worker);
/** fake_worker_call() - a call of @node; its reply comes later */
void
fake_worker_call (FakeWorker *worker, uint32_t node, const MuxWorkerCall *call);

#endif
