#ifndef SUPPORT_FAKE_WORKER_H
#define SUPPORT_FAKE_WORKER_H

#include "standin/worker_logic.h"
#include "support/fake_net.h"

/**
 * struct FakeWorker - a worker on a simulated network, with the logic of the
 *   worker stand-in (standin/worker_logic.h)
 * @user: for the options' on_event, whose ctx is the worker
 * @clock_offset_ms: its clock minus the network's
 * @silent: calls are lost
 * @cut: calls of one node are lost
 * @lost_ppm: share of replies that are lost, after the effect
 * @lose_starts: number of replies to START still to be lost, after the effect
 * @late_starts: number of STARTs still to be delayed by @late_ms
 * @slow_ms: maximum additional latency of calls and replies, which may
 *   overtake one another
 * @ignores_epoch, @ignores_incarnation, @ignores_not_after, @ignores_forget:
 *   disables that mechanism, to show that a proof which relies on it fails
 *   without it
 * @starts_seen: START calls that arrived
 * @tick_ms: time of the next scheduled tick
 * @calls: calls without a reply
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

/** fake_worker_init() - starts a worker; @options are those of its first
 * incarnation */
void fake_worker_init (FakeWorker *worker,
                       FakeNet *net,
                       const StandinWorkerOptions *options);
void fake_worker_clear (FakeWorker *worker);
/** fake_worker_restart() - restarts it as a new incarnation without state */
void fake_worker_restart (FakeWorker *worker);
/** fake_worker_call() - receives a call of @node; the reply is delivered later
 */
void
fake_worker_call (FakeWorker *worker, uint32_t node, const MuxWorkerCall *call);

#endif
