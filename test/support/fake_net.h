#ifndef SUPPORT_FAKE_NET_H
#define SUPPORT_FAKE_NET_H

#include "core/core.h"
#include "support/fake_sink.h"
#include "support/fake_table.h"
#include "support/random.h"

#define FAKE_NODES_MAX 16

/**
 * struct FakeNode - one daemon's core
 * @core: NULL: not running
 * @table_cut: it can't reach the table; its peers can
 * @thaw_ms: it takes no steps before this; what comes waits
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  const char *seeds[1];
  MuxCore *core;
  MuxCounters *counters;
  FakeSink sink;
  bool table_cut;
  uint64_t incarnation;
  int64_t ticked_ms;
  int64_t thaw_ms;
} FakeNode;

typedef struct FakeNet FakeNet;

/* Answers, and calls to workers, as they come.  Without @worker_call, workers
 * are out of reach. */
typedef struct
{
  void *user;
  void (*answer) (void *user, uint32_t node, const MuxCoreResponse *answer);
  void (*worker_call) (void *user, uint32_t node, const MuxWorkerCall *call);
} FakeHooks;

/**
 * struct FakeNet - whole cores over one table on a fake clock
 * @now_ms: the clock; moves only in fake_net_next()
 * @random: delays and faults: the same seed gives the same run
 * @table: shared by all
 * @lost_ppm: share of writes whose answer is lost (MUX_TABLE_UNKNOWN): a third
 *   takes effect, a third does not, a third takes effect after the loss was
 *   told
 * @table_slow_ms: calls to the table take up to so much longer
 * @peer_lost_ppm: share of messages between daemons that are dropped
 * @peer_slow_ms: messages between daemons take up to so much longer; those of
 *   one link stay in order
 * @cut: messages from one node to another are dropped
 * @node_count: nodes, running or not
 */
struct FakeNet
{
  int64_t now_ms;
  MuxRandom random;
  FakeTable table;
  uint32_t lost_ppm;
  uint32_t table_slow_ms;
  uint32_t peer_lost_ppm;
  uint32_t peer_slow_ms;
  bool cut[FAKE_NODES_MAX][FAKE_NODES_MAX];
  int64_t last_ms[FAKE_NODES_MAX][FAKE_NODES_MAX];
  FakeHooks hooks;
  uint32_t node_count;
  FakeNode nodes[FAKE_NODES_MAX];
  struct FakeDelivery *deliveries;
};

FakeNet *fake_net_new (uint64_t seed, const FakeHooks *hooks);
void fake_net_free (FakeNet *net);
/** fake_net_add() - start a daemon whose seed peer is the first node */
uint32_t fake_net_add (FakeNet *net, const char *name, const char *centre);
/** fake_net_kill() - its process ends without a word; fake_net_start() brings
 * it back as a new life */
void fake_net_kill (FakeNet *net, uint32_t node);
void fake_net_start (FakeNet *net, uint32_t node);
/** fake_net_give() - an event for a core, now */
void fake_net_deliver (FakeNet *net, uint32_t node, const MuxEvent *event);
void fake_net_request (FakeNet *net, uint32_t node, const MuxCoreRequest *ask);
/** fake_net_reply() - a worker's reply, @delay_ms from now; takes it over */
void fake_net_reply (FakeNet *net,
                     uint32_t node,
                     MuxWorkerReply *reply,
                     int64_t delay_ms);
/** fake_net_freeze() - it takes no steps for @ms while time goes on */
void fake_net_freeze (FakeNet *net, uint32_t node, int64_t ms);
/** fake_net_later() - call @act after @delay_ms */
void fake_net_schedule (FakeNet *net,
                        int64_t delay_ms,
                        void (*act) (void *arg),
                        void *arg);
/** fake_net_next() - the next delivery or wake-up, whichever comes first */
void fake_net_next (FakeNet *net);
/** fake_net_run() - all that happens in the next @ms */
void fake_net_run (FakeNet *net, int64_t ms);

#endif
