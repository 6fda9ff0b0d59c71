#include "cell_private.h"

/*
 * Orders to workers, and the connections that they cost.
 *
 * A worker accepts a number of connections from all daemons together.  One on
 * which an order goes unanswered may stay open there for minutes after it was
 * closed here, and a worker whose connections are used up gets no order any
 * more, while its renewals go on.  Each daemon that may call it has a share:
 * the planner alone most of them; where calls are proxied the planner and the
 * proxy the same; and a planner that has just taken over what the others leave,
 * as it does not know how many its predecessor has left there.
 */

/* Back-offs are doubled up to this. */
#define BACKOFF_MAX_MS 8000
/* Connections of a worker whose pool does not give their number. */
#define CONNECTIONS_DEFAULT 64
/* Shares, in eighths. */
#define PLANNER_EIGHTHS 6
#define PROXIED_EIGHTHS 3
#define SUCCESSOR_EIGHTHS 2
#define EIGHTHS 8
/* Connections of a planner to a worker at a time, after one that was lost. */
#define SUCCESSOR_IN_USE_MAX 2
/* How long connections of a predecessor may be left at the workers. */
#define PREDECESSOR_MS 60000

/* @service: hash of the pool's name; 0: the pool with the fewest */
static uint32_t
pool_connections (const MuxCell *cell, uint64_t service)
{
  uint32_t fewest = CONNECTIONS_DEFAULT;

  for (uint32_t i = 0; cell->config != NULL && i < cell->config->pool_count;
       i++)
    {
      const MuxPoolSpec *pool = &cell->config->pool[i];

      if (pool->connections_max == 0)
        continue;
      if (service != 0 && mux_hash_name (pool->name, 0) == service)
        return pool->connections_max;
      if (service == 0 && pool->connections_max < fewest)
        fewest = pool->connections_max;
    }
  return fewest;
}

static uint32_t
share_of (uint32_t connections, uint32_t eighths)
{
  uint64_t share = (uint64_t) connections * eighths / EIGHTHS;

  return share > 0 ? (uint32_t) share : 1;
}

static bool
has_new_term (const MuxCell *cell)
{
  return cell->claim.term_count > 1
         && cell->time.now_ms - cell->term_began_ms < PREDECESSOR_MS;
}

uint32_t
cell_connections_max (const MuxCell *cell, const CellWorker *worker)
{
  uint32_t connections
      = pool_connections (cell, worker != NULL ? worker->service : 0);

  if (worker == NULL)
    return share_of (connections, PROXIED_EIGHTHS);
  if (has_new_term (cell))
    return share_of (connections, SUCCESSOR_EIGHTHS);
  return share_of (connections, cell_uses_proxies (cell) ? PROXIED_EIGHTHS
                                                         : PLANNER_EIGHTHS);
}

/*
 * A planner that lost power has closed no connection.  Planners lost one after
 * the other would leave a worker without any, so that each uses few until it
 * has planned for a while: one for renewals and one for orders.
 */
void
cell_connections_limit (const MuxCell *cell,
                        const CellWorker *worker,
                        MuxCellCall *call)
{
  call->connections_max = cell_connections_max (cell, worker);
  if (worker != NULL && has_new_term (cell) && cell->predecessor.name[0] != 0)
    call->connections_in_use_max = SUCCESSOR_IN_USE_MAX;
}

void
cell_order_sent (MuxCell *cell, CellWorker *worker, MuxCellVerb verb)
{
  if (verb != MUX_CELL_RENEW)
    mux_order_limit_sent (&worker->orders, cell->time.now_ms);
}

static void
count_connections (MuxCell *cell,
                   CellWorker *worker,
                   const CellPending *entry,
                   const MuxCellReply *reply)
{
  if (reply->connections_max != 0)
    mux_order_limit_set (&worker->orders, reply->connections_max,
                         reply->given_up);
  else if (entry->proxied && reply->status == MUX_CELL_UNKNOWN
           && reply->verb != MUX_CELL_RENEW)
    mux_order_limit_add (&worker->orders, cell->time.now_ms,
                         cell_connections_max (cell, NULL));
}

static void
count_order (MuxCell *cell,
             CellWorker *worker,
             const CellPending *entry,
             const MuxCellReply *reply)
{
  MuxOrderLimit *orders = &worker->orders;
  int64_t now_ms = cell->time.now_ms;

  if (reply->status == MUX_CELL_UNKNOWN)
    mux_order_limit_lost (orders, now_ms, entry->sent_ms);
  else if (reply->unsent)
    mux_order_limit_unsent (orders);
  else
    mux_order_limit_answered (orders, now_ms);
  if (mux_order_limit_is_short (orders, now_ms))
    cell->replan = true;
}

static void
log_change (MuxCell *cell, CellWorker *worker)
{
  bool used_up
      = mux_order_limit_is_used_up (&worker->orders, cell->time.now_ms);

  if (used_up == worker->unconnected)
    return;
  worker->unconnected = used_up;
  mux_count (cell->options.counters, MUX_COUNT_WORKERS_UNCONNECTED, used_up);
  cell_log (cell, used_up ? "worker_unconnected" : "worker_connected",
            "{s:s, s:i, s:i}", "worker", worker->info.id, "given_up",
            (int) worker->orders.given_up, "room", (int) worker->orders.room);
}

void
cell_order_replied (MuxCell *cell,
                    const CellPending *entry,
                    const MuxCellReply *reply)
{
  CellWorker *worker
      = entry->peer[0] == 0 ? cell_worker_find (cell, entry->worker) : NULL;

  if (worker == NULL)
    return;
  count_connections (cell, worker, entry, reply);
  if (reply->verb != MUX_CELL_RENEW)
    count_order (cell, worker, entry, reply);
  log_change (cell, worker);
}

bool
cell_order_is_allowed (const MuxCell *cell, const CellWorker *worker)
{
  return mux_order_limit_allows (&worker->orders, cell->time.now_ms);
}

/* Without this back-off a worker that answers renewals and refuses starts, and
 * so is empty, is chosen first for each new run of a gang, and each of these is
 * stopped because of it. */
void
cell_worker_back_off (const MuxCell *cell, CellWorker *worker, int64_t min_ms)
{
  int64_t ms = worker->backoff_ms * 2;

  /* Several starts sent at once count once. */
  if (ms > 0 && cell->time.now_ms < worker->avoid_until_ms)
    return;
  if (ms < min_ms)
    ms = min_ms;
  worker->backoff_ms = ms < BACKOFF_MAX_MS ? ms : BACKOFF_MAX_MS;
  worker->avoid_until_ms = cell->time.now_ms + worker->backoff_ms;
}
