#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * On a large cell the planner's calls to workers would cost it more than its
 * processor has: strong daemons carry them.  They decide nothing; an order
 * bears the planner's token, run and last moment, so that one that is carried
 * out late, or whose answer is lost with its carrier, is settled like any
 * other.
 */

/* Up to so many workers the planner calls them itself: the calls of 48 cost it
 * 0.08 of a core. */
#define CARRY_WORKERS 96
/* A daemon of less than this carries nothing, unless all are weak. */
#define CARRIER_MILLI 400
#define MEMBER_SILENT_MS 700
/* Where none was heard so lately, for so long: a planner that is late hears of
 * all of them late. */
#define MEMBER_GONE_MS 4000
/* A worker's carrier is chosen among all members this often. */
#define CARRIER_KEPT_MS 1000
/* For the way to the carrier and back. */
#define WAY_MS 300
/* After a call that its carrier got no answer to: the worker may be out of the
 * carrier's reach alone. */
#define DIRECT_MS 5000
/* Workers called directly at a time, where others carry: as many as without
 * carriers, for 0.16 of a core and 30 MB. */
#define DIRECT_MAX CARRY_WORKERS
#define OVERDUE_LOOK_MS 100
/* To another carrier: over all slots, so that it is nobody else's first one. */
#define DETOUR 65536
/* Ended at one look: more than a carrier's workers and their starts. */
#define OVERDUE_MAX 512
/* A planner's lateness counts no further than this, in ms. */
#define LATENESS_MAX_MS 3000

static bool
can_carry (const MuxCell *cell, const CellMember *member, int64_t silent_ms)
{
  return !member->stopping && member->cpu_share_milli >= CARRIER_MILLI
         && cell->time.processed_ms - member->last_contact_ms < silent_ms
         && strcmp (member->name, cell->options.name) != 0;
}

/* The same one for a worker as long as it lives and answers through it, so that
 * its connections are kept. */
static CellMember *
choose_carrier (MuxCell *cell, const CellWorker *worker, int64_t silent_ms)
{
  CellMember *best = NULL;
  uint64_t best_hash = 0;
  CellMember *member;
  CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    uint64_t hash
        = mux_hash_name (member->name, worker->slot + 1 + worker->reroutes);

    if (!can_carry (cell, member, silent_ms)
        || (best != NULL && hash <= best_hash))
      continue;
    best = member;
    best_hash = hash;
  }
  return best;
}

bool
cell_uses_proxies (const MuxCell *cell)
{
  return HASH_COUNT (cell->workers) > CARRY_WORKERS;
}

static CellMember *
carrier_of (MuxCell *cell, CellWorker *worker)
{
  if (!cell_uses_proxies (cell) || cell->time.now_ms < worker->direct_until_ms)
    return NULL;
  if (worker->proxy != NULL && cell->time.now_ms < worker->proxy_until_ms
      && can_carry (cell, worker->proxy, MEMBER_SILENT_MS))
    return worker->proxy;
  worker->proxy = choose_carrier (cell, worker, MEMBER_SILENT_MS);
  if (worker->proxy == NULL && cell->direct_workers >= DIRECT_MAX)
    worker->proxy = choose_carrier (cell, worker, MEMBER_GONE_MS);
  worker->proxy_until_ms = cell->time.now_ms + CARRIER_KEPT_MS;
  return worker->proxy;
}

bool
cell_worker_call (MuxCell *cell,
                  CellWorker *worker,
                  MuxCellCall *call,
                  const CellPending *pending)
{
  CellMember *carrier = carrier_of (cell, worker);
  MuxPeerMsg msg;
  CellPending *entry;
  bool sent;

  if (carrier == NULL || call == NULL)
    return cell_call (cell, call, pending);
  msg = cell_message (cell, MUX_PEER_PROXY_CALL, carrier->name);
  entry = cell_pending_add (cell, pending);
  if (entry == NULL)
    {
      mux_cell_call_free (call);
      return false;
    }
  entry->verb = call->verb;
  entry->overdue_ms = cell->time.now_ms + call->timeout_ms + WAY_MS;
  msg.call_id = entry->call_id;
  msg.body = cell_proxied_call_encode (call);
  sent = msg.body != NULL
         && cell->options.sink->peer_send (cell->options.sink, carrier->addr,
                                           &msg);
  mux_blob_unref (msg.body);
  mux_cell_call_free (call);
  if (sent)
    return true;
  HASH_DEL (cell->pending, entry);
  free (entry);
  return false;
}

/*
 * Guards against a planner that ends for its memory: when many calls go
 * unanswered at once, as for a carrier's death or a planner that is late, each
 * worker called directly costs a connection.  3,000 of them took over 500 MB
 * and most of a core.  Beyond a few, another daemon carries the next call.
 */
void
cell_worker_reroute (MuxCell *cell, CellWorker *worker)
{
  if (cell->time.now_ms < worker->direct_until_ms)
    {
      worker->direct_until_ms = cell->time.now_ms + DIRECT_MS;
      return;
    }
  if (cell->direct_workers < DIRECT_MAX)
    {
      cell->direct_workers++;
      worker->direct_until_ms = cell->time.now_ms + DIRECT_MS;
      return;
    }
  worker->reroutes += DETOUR;
  worker->proxy = NULL;
}

static void
count_direct (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  cell->direct_workers = 0;
  HASH_ITER (hh, cell->workers, worker, next)
  cell->direct_workers += cell->time.now_ms < worker->direct_until_ms;
}

static void
end_unanswered (MuxCell *cell, const CellPending *entry)
{
  MuxCellCall call = { .verb = entry->verb, .call_id = entry->call_id };
  CellWorker *worker = cell_worker_find (cell, entry->worker);
  MuxCellReply *reply = mux_cell_reply_new (&call, MUX_CELL_UNKNOWN);

  /* An unanswered renewal tells so itself. */
  if (worker != NULL && entry->verb != MUX_CELL_RENEW)
    cell_worker_reroute (cell, worker);
  if (reply != NULL)
    mux_cell_reply (cell, cell->time, reply);
}

/* Answers that wait on connections that are not read in time are not held
 * against their workers, but for so long at most. */
static int64_t
answers_late_ms (const MuxCell *cell)
{
  int64_t late_ms = cell_reply_latency_ms (cell);

  return late_ms < LATENESS_MAX_MS ? late_ms : LATENESS_MAX_MS;
}

/* A carrier that died keeps its answers.  All that are overdue end in one go:
 * with one at a time the last of a carrier's fifty workers would be out of work
 * for five seconds.  What ends may end others with it, so that each is looked
 * up again.
 *
 * Guards against a planner that has more to do than its processor bears and
 * takes its workers for lost: their answers wait in its own queue when their
 * time is up, each worker is then called directly, which costs the planner
 * more, and once the leases are over running tasks start again.  Time passes
 * here with what was taken: an answer that came in time is found before.  With
 * all taken 2.5 s late 120 workers were lost 641 times in 40 s, now never. */
void
cell_proxy_tick (MuxCell *cell)
{
  uint64_t overdue[OVERDUE_MAX] = { 0 };
  int64_t heard_ms = cell->time.processed_ms - answers_late_ms (cell);
  uint32_t count = 0;
  CellPending *entry;
  CellPending *next;

  if (cell->time.now_ms < cell->next_overdue_ms)
    return;
  cell->next_overdue_ms = cell->time.now_ms + OVERDUE_LOOK_MS;
  count_direct (cell);
  HASH_ITER (hh, cell->pending, entry, next)
  if (entry->overdue_ms != 0 && heard_ms > entry->overdue_ms
      && count < OVERDUE_MAX)
    overdue[count++] = entry->call_id;
  for (uint32_t i = 0; i < count; i++)
    {
      HASH_FIND (hh, cell->pending, &overdue[i], sizeof overdue[i], entry);
      if (entry != NULL)
        end_unanswered (cell, entry);
    }
}

/* The carrier's side. */

static void
carried (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_PROXY_REPLY, pending->peer);

  msg.found = true;
  msg.call_id = pending->context;
  msg.body = cell_proxied_reply_encode (reply);
  if (msg.body != NULL)
    (void) cell->options.sink->peer_send (cell->options.sink,
                                          pending->peer_addr, &msg);
  mux_blob_unref (msg.body);
}

static void
carry (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellPending pending = { .on_reply = carried, .context = msg->call_id };

  snprintf (pending.peer, sizeof pending.peer, "%s", msg->from);
  snprintf (pending.peer_addr, sizeof pending.peer_addr, "%s", msg->from_addr);
  (void) cell_call (cell, cell_proxied_call_decode (msg->body), &pending);
}

static void
take (MuxCell *cell, const MuxPeerMsg *msg)
{
  MuxCellReply *reply = cell_proxied_reply_decode (msg->body, msg->call_id);

  if (reply != NULL)
    mux_cell_reply (cell, cell->time, reply);
}

void
cell_proxy_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_PROXY_CALL)
    carry (cell, msg);
  else
    take (cell, msg);
}
