#include "support/fake_worker.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define NET_DELAY_MS 2
#define PPM 1000000

/* A call that has no reply yet. */
typedef struct FakeWorkerCall FakeWorkerCall;
struct FakeWorkerCall
{
  FakeWorker *worker;
  MuxWorkerCall call;
  uint32_t node;
  uint64_t node_incarnation;
  uint64_t worker_incarnation;
  int64_t deadline_ms; /* the caller gets NO_ANSWER then */
  int64_t wait_ms;     /* the reply may wait until then for the task's end */
  bool answered;
  bool waiting;
  FakeWorkerCall *prev, *next;
};

static int64_t
clock_ms (const FakeWorker *worker)
{
  return worker->net->now_ms + worker->clock_offset_ms;
}

static int64_t
delay_ms (FakeWorker *worker)
{
  return 1
         + mux_random_below (&worker->net->random,
                             NET_DELAY_MS + worker->slow_ms);
}

static void
call_free (FakeWorkerCall *item)
{
  DL_DELETE (item->worker->calls, item);
  mux_blob_unref (item->call.body);
  free (item);
}

/* Takes @reply over, and drops it if the caller has been restarted. */
static void
send_reply (FakeWorkerCall *item, MuxWorkerReply *reply, int64_t at_ms)
{
  FakeNet *net = item->worker->net;

  if (item->answered
      || net->nodes[item->node].incarnation != item->node_incarnation)
    mux_worker_reply_free (reply);
  else
    fake_net_reply (net, item->node, reply, at_ms - net->now_ms);
  item->answered = true;
}

static void
time_out (FakeWorkerCall *item)
{
  send_reply (item, mux_worker_reply_new (&item->call, MUX_WORKER_NO_ANSWER, 0),
              item->deadline_ms);
}

static bool
reply_is_lost (FakeWorkerCall *item)
{
  FakeWorker *worker = item->worker;

  /* The worker has restarted since the call arrived. */
  if (item->worker_incarnation != worker->options.incarnation)
    return true;
  if (item->call.verb == MUX_WORKER_START && worker->lose_starts > 0)
    {
      worker->lose_starts--;
      return true;
    }
  return worker->silent || worker->cut[item->node]
         || mux_random_below (&worker->net->random, PPM) < worker->lost_ppm;
}

static void
answer (FakeWorkerCall *item, MuxWorkerReply *reply)
{
  int64_t at_ms = item->worker->net->now_ms + delay_ms (item->worker);

  if (reply_is_lost (item) || at_ms > item->deadline_ms)
    {
      mux_worker_reply_free (reply);
      time_out (item);
    }
  else
    send_reply (item, reply, at_ms);
  call_free (item);
}

static MuxWorkerReply *
fetch (FakeWorkerCall *item)
{
  MuxWorkerCall call = item->call;

  call.verb = MUX_WORKER_FETCH;
  call.epoch = 0;
  return standin_worker_call (item->worker->logic, &call,
                              clock_ms (item->worker), NULL);
}

static void tick (void *arg);

static void
tick_again (FakeWorker *worker)
{
  int64_t at_ms = standin_worker_tick (worker->logic, clock_ms (worker));

  if (at_ms == INT64_MAX)
    return;
  at_ms -= worker->clock_offset_ms;
  if (worker->tick_ms > worker->net->now_ms && worker->tick_ms <= at_ms)
    return;
  worker->tick_ms = at_ms;
  fake_net_schedule (worker->net, at_ms - worker->net->now_ms, tick, worker);
}

static void
tick (void *arg)
{
  tick_again (arg);
}

/* Scheduled by task_ended(), since the logic may be in the middle of a call
 * then. */
static void
reply_after_end (void *arg)
{
  FakeWorkerCall *item = arg;

  answer (item, fetch (item));
}

static void
task_ended (void *ctx, MuxId task)
{
  FakeWorker *worker = ctx;
  FakeWorkerCall *item;

  DL_FOREACH (worker->calls, item)
  {
    if (!item->waiting || !mux_id_equal (item->call.task, task))
      continue;
    item->waiting = false;
    fake_net_schedule (worker->net, 0, reply_after_end, item);
  }
}

static void
reply_after_wait (void *arg)
{
  FakeWorker *worker = arg;
  FakeWorkerCall *item, *next;

  DL_FOREACH_SAFE (worker->calls, item, next)
  {
    if (!item->waiting || item->wait_ms > worker->net->now_ms)
      continue;
    item->waiting = false;
    answer (item, fetch (item));
  }
}

/* Passes a call to the logic, without the mechanisms that are disabled. */
static MuxWorkerReply *
execute (FakeWorkerCall *item)
{
  FakeWorker *worker = item->worker;
  MuxWorkerCall call = item->call;
  MuxWorkerReply *reply;

  if (worker->ignores_incarnation && call.verb != MUX_WORKER_RENEW)
    call.incarnation = 0;
  if (worker->ignores_not_after)
    call.not_after_ms = 0;
  if (worker->ignores_forget && call.verb == MUX_WORKER_FORGET)
    {
      reply = fetch (item);
      if (reply->status == MUX_WORKER_OK && reply->state == MUX_TASK_ABSENT)
        reply->state = MUX_TASK_FORGOTTEN;
      return reply;
    }
  if (worker->ignores_epoch && call.verb == MUX_WORKER_START)
    {
      reply = fetch (item);
      call.epoch = reply->epoch;
      mux_worker_reply_free (reply);
    }
  return standin_worker_call (worker->logic, &call, clock_ms (worker), NULL);
}

static void
arrive (void *arg)
{
  FakeWorkerCall *item = arg;
  FakeWorker *worker = item->worker;
  MuxWorkerReply *reply;
  bool may_wait;

  if (worker->silent || worker->cut[item->node])
    {
      time_out (item);
      call_free (item);
      return;
    }
  worker->starts_seen += item->call.verb == MUX_WORKER_START;
  item->worker_incarnation = worker->options.incarnation;
  reply = execute (item);
  tick_again (worker);
  may_wait = item->call.verb == MUX_WORKER_START
             || item->call.verb == MUX_WORKER_FETCH;
  if (may_wait && item->call.wait_ms > 0 && reply->status == MUX_WORKER_OK
      && reply->state == MUX_TASK_RUNNING)
    {
      mux_worker_reply_free (reply);
      item->waiting = true;
      item->wait_ms = worker->net->now_ms + item->call.wait_ms;
      fake_net_schedule (worker->net, item->call.wait_ms, reply_after_wait,
                         worker);
      return;
    }
  answer (item, reply);
}

void
fake_worker_call (FakeWorker *worker, uint32_t node, const MuxWorkerCall *call)
{
  FakeWorkerCall *item = calloc (1, sizeof *item);
  int64_t arrive_ms = delay_ms (worker);

  if (item == NULL)
    abort ();
  item->worker = worker;
  item->call = *call;
  mux_blob_ref (call->body);
  item->node = node;
  item->node_incarnation = worker->net->nodes[node].incarnation;
  item->deadline_ms = worker->net->now_ms + call->timeout_ms;
  DL_APPEND (worker->calls, item);
  if (call->verb == MUX_WORKER_START && worker->late_starts > 0)
    {
      worker->late_starts--;
      arrive_ms = worker->late_ms;
      if (arrive_ms >= (int64_t) call->timeout_ms)
        time_out (item);
    }
  fake_net_schedule (worker->net, arrive_ms, arrive, item);
}

static void
start_incarnation (FakeWorker *worker)
{
  worker->logic = standin_worker_new (&worker->options);
  worker->tick_ms = 0;
}

void
fake_worker_init (FakeWorker *worker,
                  FakeNet *net,
                  const StandinWorkerOptions *options)
{
  worker->net = net;
  mux_name_copy (worker->name, options->name);
  worker->options = *options;
  worker->options.name = worker->name;
  worker->options.ctx = worker;
  worker->options.on_end = task_ended;
  start_incarnation (worker);
}

void
fake_worker_clear (FakeWorker *worker)
{
  while (worker->calls != NULL)
    call_free (worker->calls);
  standin_worker_free (worker->logic);
}

void
fake_worker_restart (FakeWorker *worker)
{
  FakeWorkerCall *item, *next;

  DL_FOREACH_SAFE (worker->calls, item, next)
  {
    if (!item->waiting)
      continue;
    time_out (item);
    call_free (item);
  }
  standin_worker_free (worker->logic);
  worker->options.incarnation++;
  start_incarnation (worker);
}
