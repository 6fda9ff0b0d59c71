#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * On a large cell the planner's calls to workers would take more than its
 * processor has, so daemons with a large CPU share make them as proxies.
 * Proxies decide nothing: an order carries the planner's fencing token, the
 * run number and its deadline, so that one that is carried out late, or whose
 * reply is lost with its proxy, is resolved like any other.
 */

/* Up to this many workers the planner calls them itself: calls to 48 workers
 * take 0.08 of a core. */
#define PROXY_WORKERS_MIN 96
/* Minimum CPU share of a proxy, in thousandths of a core. */
#define PROXY_SHARE_MILLI 400
/* A proxy's last hello is at most this old. */
#define MEMBER_ALIVE_MS 700
/* The same if no member has been heard from within that time: a planner
 * that is overloaded processes all hellos late. */
#define MEMBER_GONE_MS 4000
/* How often a worker's proxy is chosen again among all members. */
#define PROXY_KEPT_MS 1000
/* How long a worker is called directly after its proxy got no reply: it may
 * be unreachable from the proxy alone. */
#define DIRECT_MS 5000
/* Limit of workers called directly while others are proxied: as many as
 * without proxies, which takes 0.16 of a core and 30 MB. */
#define DIRECT_MAX PROXY_WORKERS_MIN
#define CHECK_INTERVAL_MS 100
/* Added to the hash seed to choose another proxy: greater than any slot, so
 * that no worker's first choice is the same. */
#define REROUTE_HASH_STEP 65536

static bool
can_proxy (const MuxCell *cell, const CellMember *member, int64_t max_age_ms)
{
  return !member->stopping && member->limits.cpu_milli >= PROXY_SHARE_MILLI
         && cell->time.processed_ms - member->last_contact_ms < max_age_ms
         && strcmp (member->name, cell->options.name) != 0;
}

/* The same proxy for a worker as long as it is alive and the worker answers
 * through it, so that its connections are kept. */
static CellMember *
choose_proxy (MuxCell *cell, const CellWorker *worker, int64_t max_age_ms)
{
  CellMember *best = NULL;
  uint64_t best_hash = 0;
  CellMember *member;
  CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    uint64_t hash
        = mux_hash_name (member->name, worker->slot + 1 + worker->reroutes);

    if (!can_proxy (cell, member, max_age_ms)
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
  return HASH_COUNT (cell->workers) > PROXY_WORKERS_MIN;
}

static CellMember *
proxy_of (MuxCell *cell, CellWorker *worker)
{
  if (!cell_uses_proxies (cell) || cell->time.now_ms < worker->direct_until_ms)
    return NULL;
  if (worker->proxy != NULL && cell->time.now_ms < worker->proxy_until_ms
      && can_proxy (cell, worker->proxy, MEMBER_ALIVE_MS))
    return worker->proxy;
  worker->proxy = choose_proxy (cell, worker, MEMBER_ALIVE_MS);
  if (worker->proxy == NULL && cell->direct_workers >= DIRECT_MAX)
    worker->proxy = choose_proxy (cell, worker, MEMBER_GONE_MS);
  worker->proxy_until_ms = cell->time.now_ms + PROXY_KEPT_MS;
  return worker->proxy;
}

static void
count_proxied (const MuxCell *cell,
               MuxCellVerb verb,
               MuxDirection direction,
               const MuxBlob *body)
{
  MuxTraffic kind = MUX_TRAFFIC_PROXIED_RENEW;

  if (verb == MUX_CELL_START)
    kind = MUX_TRAFFIC_PROXIED_START;
  else if (verb == MUX_CELL_STOP)
    kind = MUX_TRAFFIC_PROXIED_STOP;
  else if (verb == MUX_CELL_PACE)
    kind = MUX_TRAFFIC_PROXIED_PACE;
  mux_count_message (cell->options.counters, kind, direction,
                     body != NULL ? body->len : 0);
}

/* A proxy of the previous protocol would reject the call, see proxy_wire.c. */
static bool
can_carry (const CellMember *proxy, const MuxCellCall *call)
{
  return cell_proxied_call_is_short (call)
         || (proxy->whole_tokens_incarnation != 0
             && proxy->whole_tokens_incarnation == proxy->incarnation);
}

static bool
send_call (MuxCell *cell,
           CellWorker *worker,
           MuxCellCall *call,
           const CellPending *pending)
{
  CellMember *proxy = proxy_of (cell, worker);
  MuxPeerMsg msg;
  CellPending *entry;
  bool sent;

  if (proxy == NULL || !can_carry (proxy, call))
    {
      cell_connections_limit (cell, worker, call);
      return cell_call (cell, call, pending);
    }
  msg = cell_message (cell, MUX_PEER_PROXY_CALL, proxy->name);
  entry = cell_pending_add (cell, pending, call);
  if (entry == NULL)
    {
      mux_cell_call_free (call);
      return false;
    }
  entry->proxied = true;
  msg.call_id = entry->call_id;
  msg.body = cell_proxied_call_encode (call);
  sent = msg.body != NULL
         && cell->options.sink->peer_send (cell->options.sink, proxy->addr,
                                           &msg);
  if (sent)
    count_proxied (cell, call->verb, MUX_SENT, msg.body);
  mux_blob_unref (msg.body);
  mux_cell_call_free (call);
  if (sent)
    return true;
  cell_pending_remove (cell, entry);
  return false;
}

bool
cell_worker_call (MuxCell *cell,
                  CellWorker *worker,
                  MuxCellCall *call,
                  const CellPending *pending)
{
  MuxCellVerb verb = call->verb;
  bool sent = send_call (cell, worker, call, pending);

  if (sent)
    cell_order_sent (cell, worker, verb);
  return sent;
}

/*
 * When many calls go unanswered at once, as when a proxy dies or the planner
 * is overloaded, each worker called directly costs a connection, and the
 * planner runs out of memory: 3,000 of them took over 500 MB and most of a
 * core. Beyond a limit another proxy makes the next call instead.
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
  worker->reroutes += REROUTE_HASH_STEP;
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

void
cell_proxy_tick (MuxCell *cell)
{
  if (cell->time.now_ms < cell->next_proxy_check_ms)
    return;
  cell->next_proxy_check_ms = cell->time.now_ms + CHECK_INTERVAL_MS;
  count_direct (cell);
}

/* The proxy's side. */

static void
proxied_call_done (MuxCell *cell,
                   const CellPending *pending,
                   const MuxCellReply *reply)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_PROXY_REPLY, pending->peer);

  msg.found = true;
  msg.call_id = pending->context;
  msg.body = cell_proxied_reply_encode (reply, pending->whole_tokens);
  if (msg.body != NULL)
    (void) cell->options.sink->peer_send (cell->options.sink,
                                          pending->peer_addr, &msg);
  mux_blob_unref (msg.body);
}

static void
proxy_call_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  MuxCellCall *call = cell_proxied_call_decode (msg->body);
  CellPending pending
      = { .on_reply = proxied_call_done, .context = msg->call_id };

  if (call == NULL)
    return;
  cell_connections_limit (cell, NULL, call);
  pending.whole_tokens = cell_proxied_call_takes_whole (call);
  snprintf (pending.peer, sizeof pending.peer, "%s", msg->from);
  snprintf (pending.peer_addr, sizeof pending.peer_addr, "%s", msg->from_addr);
  (void) cell_call (cell, call, &pending);
}

static void
proxy_reply_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellMember *member = cell_member_find (cell, msg->from);
  bool whole = false;
  MuxCellReply *reply
      = cell_proxied_reply_decode (msg->body, msg->call_id, &whole);

  if (reply == NULL)
    return;
  if (whole && member != NULL)
    member->whole_tokens_incarnation = msg->from_incarnation;
  count_proxied (cell, reply->verb, MUX_RECEIVED, msg->body);
  cell_reply_received (cell, reply);
  mux_cell_reply_free (reply);
}

void
cell_proxy_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_PROXY_CALL)
    proxy_call_received (cell, msg);
  else
    proxy_reply_received (cell, msg);
}
