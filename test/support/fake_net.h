#ifndef SUPPORT_FAKE_NET_H
#define SUPPORT_FAKE_NET_H

#include "core/core.h"
#include "support/fake_sink.h"
#include "support/fake_table.h"
#include "support/random.h"

/* Simulated network: several daemons' cores, the messages between them and one
 * table, on a simulated clock. */

#define FAKE_NODES_MAX 16

/**
 * struct FakeNode - a daemon
 * @core: NULL: not running
 * @seeds: address of its seed peer
 * @table_cut: it can't reach the table, though others can
 * @incarnation: of the running process
 * @ticked_ms: time of its last tick
 * @thaw_ms: until then it is frozen, and what arrives is delayed
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

/* Called for each response and each call to a worker.  Without @worker_call,
 * workers are unreachable. */
typedef struct
{
  void *user;
  void (*answer) (void *user, uint32_t node, const MuxCoreResponse *answer);
  void (*worker_call) (void *user, uint32_t node, const MuxWorkerCall *call);
} FakeHooks;

/**
 * struct FakeNet - the network
 * @now_ms: the clock; advanced by fake_net_next() alone
 * @random: of delays and faults; the same seed gives the same simulation
 * @table: shared by all daemons
 * @lost_ppm: share of writes whose reply is lost (MUX_TABLE_UNKNOWN): a third
 *   of these takes effect, a third does not, and a third takes effect after
 *   the caller's time-out
 * @table_slow_ms: maximum additional latency of calls to the table
 * @peer_lost_ppm: share of messages between daemons that are lost
 * @peer_slow_ms: maximum additional latency of messages between daemons; those
 *   of one link stay in order
 * @cut: messages from one node to another are lost
 * @last_ms: latest arrival on a link, to keep its messages in order
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
/** fake_net_add() - adds and starts a daemon whose seed peer is the first node
 * Return: its index */
uint32_t fake_net_add (FakeNet *net, const char *name, const char *centre);
/** fake_net_kill() - ends a daemon's process without notice; fake_net_start()
 * restarts it as a new incarnation */
void fake_net_kill (FakeNet *net, uint32_t node);
void fake_net_start (FakeNet *net, uint32_t node);
/** fake_net_deliver() - delivers an event to a core at once */
void fake_net_deliver (FakeNet *net, uint32_t node, const MuxEvent *event);
void fake_net_request (FakeNet *net, uint32_t node, const MuxCoreRequest *ask);
/** fake_net_reply() - delivers a worker's reply in @delay_ms; takes it over */
void fake_net_reply (FakeNet *net,
                     uint32_t node,
                     MuxWorkerReply *reply,
                     int64_t delay_ms);
/** fake_net_freeze() - stops a daemon from executing for @ms */
void fake_net_freeze (FakeNet *net, uint32_t node, int64_t ms);
/** fake_net_schedule() - calls @act in @delay_ms */
void fake_net_schedule (FakeNet *net,
                        int64_t delay_ms,
                        void (*act) (void *arg),
                        void *arg);
/** fake_net_next() - carries out the next delivery or tick, whichever is due
 * first, and advances the clock to it */
void fake_net_next (FakeNet *net);
/** fake_net_run() - advances the simulation by @ms */
void fake_net_run (FakeNet *net, int64_t ms);

#endif
