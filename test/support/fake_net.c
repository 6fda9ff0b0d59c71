#include "support/fake_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define START_MS 1000000
#define TABLE_DELAY_MS 3
#define PEER_DELAY_MS 2
/* Longest time from the caller's time-out to the effect of a delayed write. */
#define DELAYED_WRITE_MS 500
#define PPM 1000000

/* A delivery: one of the pointers is set, or else it is @msg. */
typedef struct FakeDelivery FakeDelivery;
struct FakeDelivery
{
  int64_t at_ms;
  uint32_t node;
  uint64_t incarnation;    /* of the node, which alone receives it */
  MuxTableCall *call;      /* to the table */
  bool answered;           /* the caller of @call has timed out */
  MuxTableReply *reply;    /* from the table */
  MuxWorkerReply *worker;  /* from a worker */
  MuxPeerMsg msg;          /* from a peer */
  void (*act) (void *arg); /* scheduled by fake_net_schedule() */
  void *arg;
  FakeDelivery *prev, *next;
};

static FakeDelivery *
deliver (FakeNet *net, uint32_t node, int64_t delay_ms)
{
  FakeDelivery *item = calloc (1, sizeof *item);

  if (item == NULL)
    abort ();
  item->at_ms = net->now_ms + delay_ms;
  item->node = node;
  item->incarnation = net->nodes[node].incarnation;
  DL_APPEND (net->deliveries, item);
  return item;
}

static void
delivery_free (FakeDelivery *item)
{
  mux_table_call_free (item->call);
  mux_table_reply_free (item->reply);
  mux_worker_reply_free (item->worker);
  mux_blob_unref (item->msg.body);
  free (item);
}

static bool
is_write (const MuxTableCall *call)
{
  return call->verb == MUX_TABLE_TXN || call->verb == MUX_TABLE_OBJECT_PUT;
}

/* The caller times out; the write has no effect, takes effect now, or takes
 * effect after the time-out. */
static void
lose_reply (FakeNet *net, FakeDelivery *item)
{
  uint32_t fate = mux_random_below (&net->random, 3);
  FakeDelivery *late;

  deliver (net, item->node, item->call->timeout_ms)->reply
      = mux_table_reply_new (item->call, MUX_TABLE_UNKNOWN, 0);
  if (fate == 0)
    return;
  if (fate == 1)
    {
      mux_table_reply_free (fake_table_call (&net->table, item->call));
      return;
    }
  late = deliver (net, item->node,
                  item->call->timeout_ms
                      + mux_random_below (&net->random, DELAYED_WRITE_MS));
  late->call = item->call;
  late->answered = true;
  item->call = NULL;
}

static int64_t
table_delay_ms (FakeNet *net)
{
  return mux_random_below (&net->random,
                           TABLE_DELAY_MS + 1 + net->table_slow_ms);
}

static void
table_call (FakeNet *net, FakeDelivery *item)
{
  MuxTableReply *reply;

  if (item->answered)
    mux_table_reply_free (fake_table_call (&net->table, item->call));
  else if (net->nodes[item->node].table_cut)
    deliver (net, item->node, 0)->reply
        = mux_table_reply_new (item->call, MUX_TABLE_DOWN, 0);
  else if (is_write (item->call) && !net->table.down
           && mux_random_below (&net->random, PPM) < net->lost_ppm)
    lose_reply (net, item);
  else
    {
      reply = fake_table_call (&net->table, item->call);
      deliver (net, item->node, table_delay_ms (net))->reply = reply;
    }
}

static void
send_to_peer (FakeNet *net, uint32_t from, const FakeSent *sent)
{
  int64_t at_ms = net->now_ms + PEER_DELAY_MS
                  + mux_random_below (&net->random, net->peer_slow_ms + 1);

  if (mux_random_below (&net->random, PPM) < net->peer_lost_ppm)
    return;
  for (uint32_t i = 0; i < net->node_count; i++)
    if (strcmp (net->nodes[i].addr, sent->addr) == 0 && !net->cut[from][i])
      {
        if (at_ms < net->last_ms[from][i])
          at_ms = net->last_ms[from][i];
        net->last_ms[from][i] = at_ms;
        deliver (net, i, at_ms - net->now_ms)->msg = sent->msg;
        mux_blob_ref (sent->msg.body);
      }
}

static void
worker_call (FakeNet *net, uint32_t node, const MuxWorkerCall *call)
{
  if (net->hooks.worker_call != NULL)
    net->hooks.worker_call (net->hooks.user, node, call);
  else
    fake_net_reply (net, node,
                    mux_worker_reply_new (call, MUX_WORKER_NOT_SENT, 0), 0);
}

/* Empties the sink before it handles what was in it, since hooks may step the
 * same core again. */
static void
drain_sink (FakeNet *net, uint32_t node)
{
  FakeSink taken = net->nodes[node].sink;

  fake_sink_init (&net->nodes[node].sink);
  net->nodes[node].sink.full = taken.full;
  net->nodes[node].sink.tap = taken.tap;
  for (uint32_t i = 0; i < taken.table_count; i++)
    deliver (net, node, table_delay_ms (net))->call = taken.table_calls[i];
  taken.table_count = 0;
  for (uint32_t i = 0; i < taken.sent_count; i++)
    send_to_peer (net, node, &taken.sent[i]);
  for (uint32_t i = 0; i < taken.worker_count; i++)
    worker_call (net, node, &taken.worker_calls[i]);
  for (uint32_t i = 0; i < taken.answer_count; i++)
    if (net->hooks.answer != NULL)
      net->hooks.answer (net->hooks.user, node, &taken.answers[i]);
  fake_sink_clear (&taken);
}

FakeNet *
fake_net_new (uint64_t seed, const FakeHooks *hooks)
{
  FakeNet *net = calloc (1, sizeof *net);

  if (net == NULL)
    abort ();
  net->now_ms = START_MS;
  net->random.state = seed;
  if (hooks != NULL)
    net->hooks = *hooks;
  return net;
}

void
fake_net_kill (FakeNet *net, uint32_t node)
{
  mux_core_free (net->nodes[node].core);
  net->nodes[node].core = NULL;
  drain_sink (net, node);
}

void
fake_net_free (FakeNet *net)
{
  FakeDelivery *item, *next;

  for (uint32_t i = 0; i < net->node_count; i++)
    {
      fake_net_kill (net, i);
      mux_counters_free (net->nodes[i].counters);
    }
  DL_FOREACH_SAFE (net->deliveries, item, next)
  {
    delivery_free (item);
  }
  fake_table_clear (&net->table);
  free (net);
}

void
fake_net_start (FakeNet *net, uint32_t index)
{
  FakeNode *node = &net->nodes[index];
  MuxCoreOptions options = { .sink = &node->sink.sink,
                             .counters = node->counters,
                             .name = node->name,
                             .data_centre = node->data_centre,
                             .peer_addr = node->addr,
                             .seed = mux_random_next (&net->random),
                             .seeds = node->seeds,
                             .seed_count = 1,
                             .lease_ms = 5000,
                             .heartbeat_ms = 500,
                             .suspect_ms = 2000,
                             .dead_ms = 5000,
                             .queue_max = 1000,
                             .writes_per_s = 200,
                             .key_keep_s = 600 };

  node->seeds[0] = net->nodes[0].addr;
  node->incarnation = options.incarnation = (uint64_t) ++net->now_ms;
  node->ticked_ms = net->now_ms;
  node->thaw_ms = 0;
  node->core = mux_core_new (&options, NULL);
  if (node->core == NULL)
    abort ();
  fake_net_deliver (net, index, &(MuxEvent){ .kind = MUX_EVENT_TICK });
}

uint32_t
fake_net_add (FakeNet *net, const char *name, const char *centre)
{
  uint32_t index = net->node_count++;
  FakeNode *node = &net->nodes[index];

  mux_name_copy (node->name, name);
  mux_name_copy (node->data_centre, centre);
  snprintf (node->addr, sizeof node->addr, "127.0.0.1:%u", 9000 + index);
  node->counters = mux_counters_new ();
  fake_sink_init (&node->sink);
  fake_net_start (net, index);
  return index;
}

void
fake_net_deliver (FakeNet *net, uint32_t node, const MuxEvent *event)
{
  FakeTap *tap = net->nodes[node].sink.tap;

  if (tap != NULL)
    tap->event (tap, event);
  mux_core_step (net->nodes[node].core, event, net->now_ms);
  drain_sink (net, node);
}

void
fake_net_request (FakeNet *net, uint32_t node, const MuxCoreRequest *ask)
{
  fake_net_deliver (net, node,
                    &(MuxEvent){ .kind = MUX_EVENT_REQUEST, .u.request = ask });
}

void
fake_net_freeze (FakeNet *net, uint32_t node, int64_t ms)
{
  net->nodes[node].thaw_ms = net->now_ms + ms;
}

void
fake_net_schedule (FakeNet *net,
                   int64_t delay_ms,
                   void (*act) (void *arg),
                   void *arg)
{
  FakeDelivery *item = deliver (net, 0, delay_ms);

  item->act = act;
  item->arg = arg;
}

void
fake_net_reply (FakeNet *net,
                uint32_t node,
                MuxWorkerReply *reply,
                int64_t delay_ms)
{
  deliver (net, node, delay_ms)->worker = reply;
}

static void
carry_out_delivery (FakeNet *net, FakeDelivery *item)
{
  MuxEvent event = { .kind = MUX_EVENT_PEER, .u.peer = &item->msg };
  const FakeNode *node = &net->nodes[item->node];

  if (item->call != NULL)
    {
      table_call (net, item);
      return;
    }
  if (item->reply != NULL)
    event = (MuxEvent){ .kind = MUX_EVENT_TABLE_REPLY,
                        .u.table_reply = item->reply };
  else if (item->worker != NULL)
    event = (MuxEvent){ .kind = MUX_EVENT_WORKER_REPLY,
                        .u.worker_reply = item->worker };
  if (node->core != NULL && node->incarnation == item->incarnation)
    fake_net_deliver (net, item->node, &event);
}

/* Ticks of a core are at least 1 ms apart, so that one which always requests an
 * immediate tick can't stop the clock. */
static int64_t
wake_ms (const FakeNode *node)
{
  int64_t at_ms;

  if (node->core == NULL)
    return INT64_MAX;
  at_ms = mux_core_wake_ms (node->core);
  if (at_ms < node->thaw_ms)
    at_ms = node->thaw_ms;
  return at_ms > node->ticked_ms ? at_ms : node->ticked_ms + 1;
}

static uint32_t
first_to_wake (const FakeNet *net)
{
  uint32_t first = 0;

  for (uint32_t i = 1; i < net->node_count; i++)
    if (wake_ms (&net->nodes[i]) < wake_ms (&net->nodes[first]))
      first = i;
  return first;
}

static FakeDelivery *
first_delivery (const FakeNet *net)
{
  FakeDelivery *item, *first = net->deliveries;

  DL_FOREACH (net->deliveries, item)
  {
    if (item->at_ms < first->at_ms)
      first = item;
  }
  return first;
}

static bool
is_frozen (const FakeNet *net, uint32_t node)
{
  return net->nodes[node].core != NULL
         && net->nodes[node].thaw_ms > net->now_ms;
}

void
fake_net_next (FakeNet *net)
{
  FakeNode *node = &net->nodes[first_to_wake (net)];
  FakeDelivery *item = first_delivery (net);

  if (item != NULL && item->at_ms <= wake_ms (node))
    {
      if (item->at_ms > net->now_ms)
        net->now_ms = item->at_ms;
      DL_DELETE (net->deliveries, item);
      if (item->act != NULL)
        item->act (item->arg);
      else if (item->call == NULL && is_frozen (net, item->node))
        {
          item->at_ms = net->nodes[item->node].thaw_ms;
          DL_APPEND (net->deliveries, item);
          return;
        }
      else
        carry_out_delivery (net, item);
      delivery_free (item);
      return;
    }
  if (wake_ms (node) > net->now_ms)
    net->now_ms = wake_ms (node);
  node->ticked_ms = net->now_ms;
  fake_net_deliver (net, (uint32_t) (node - net->nodes),
                    &(MuxEvent){ .kind = MUX_EVENT_TICK });
}

void
fake_net_run (FakeNet *net, int64_t ms)
{
  int64_t until_ms = net->now_ms + ms;

  while (net->now_ms < until_ms)
    fake_net_next (net);
}
