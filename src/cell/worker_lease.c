#include "late_calls.h"

/* How long runs may go on at a worker without renewal. */

/* Workers' clocks may be slow by this: a lease lasts longer than requested. */
#define CLOCK_SLOW_PERCENT 2
#define PERCENT 100
/* Between the expiry of a lease at the worker and the end of the run. */
#define EXPIRY_MARGIN_MS 200
/* Workers cap leases at this. */
#define LEASE_MAX_MS 10000

/* Lower bound of the worker's clock now. */
static int64_t
worker_clock_min_ms (const CellWorker *worker, int64_t now_ms)
{
  int64_t passed = now_ms - worker->clock_at_ms;

  return worker->clock_ms + passed * (PERCENT - CLOCK_SLOW_PERCENT) / PERCENT;
}

/* Records that the lease may last until @until on the worker's clock. */
static void
raise_lease (const MuxCell *cell,
             CellWorker *worker,
             int64_t until,
             CellLeaseSource source)
{
  if (until <= worker->lease_expires_ms)
    return;
  worker->lease_expires_ms = until;
  worker->lease_raised_ms = cell->time.now_ms;
  worker->lease_source = source;
}

int64_t
cell_worker_extend_lease (const MuxCell *cell,
                          CellWorker *worker,
                          CellLeaseSource source)
{
  int64_t until;

  if (worker->clock_at_ms == 0)
    return 0;
  until = worker_clock_min_ms (worker, cell->time.now_ms)
          + cell->options.lease_ms;
  raise_lease (cell, worker, until, source);
  return until;
}

static int64_t
on_slow_clock (int64_t ms)
{
  return ms * PERCENT / (PERCENT - CLOCK_SLOW_PERCENT);
}

int64_t
cell_longest_lease_ms (void)
{
  return on_slow_clock (LEASE_MAX_MS);
}

/*
 * A call meant for an earlier incarnation of the worker, and carried out late
 * by this one, asks for the longest lease there is. Such a call may come after
 * the last reply.
 *
 * Return: until when such a lease may last; 0: no such call can arrive any
 * more.
 */
static int64_t
stale_lease_until_ms (const CellWorker *worker)
{
  int64_t until_ms = cell_late_calls_until_ms (worker, worker->confirmed);

  return until_ms > worker->clock_at_ms ? until_ms + cell_longest_lease_ms ()
                                        : 0;
}

int64_t
cell_worker_lease_left (const MuxCell *cell, const CellWorker *worker)
{
  int64_t now = cell->time.now_ms;
  int64_t left = on_slow_clock (worker->lease_expires_ms
                                - worker_clock_min_ms (worker, now));
  int64_t stale = stale_lease_until_ms (worker) - now;

  if (stale > left)
    left = stale;
  return left > 0 ? left : 0;
}

/* For a worker that has not answered this planner: no predecessor can have
 * sent orders after its claim expired, and the longest lease that it could
 * request has ended. */
static int64_t
predecessor_lease_until_ms (const MuxCell *cell)
{
  return cell->predecessor.until_ms
         + (int64_t) cell->options.lease_ms * (PERCENT + CLOCK_SLOW_PERCENT + 1)
               / PERCENT;
}

/* An expiry stored by a predecessor takes late calls into account. */
static int64_t
unconfirmed_lease_until_ms (const MuxCell *cell, const CellWorker *worker)
{
  int64_t until_ms = predecessor_lease_until_ms (cell);
  int64_t stale_ms = stale_lease_until_ms (worker);

  if (stale_ms > until_ms)
    until_ms = stale_ms;
  return worker->stored_expiry_ms != 0 && worker->stored_expiry_ms < until_ms
             ? worker->stored_expiry_ms
             : until_ms;
}

int64_t
cell_unconfirmed_lease_left (const MuxCell *cell, const CellWorker *worker)
{
  int64_t left = unconfirmed_lease_until_ms (cell, worker) - cell->time.now_ms;

  return left > 0 ? left : 0;
}

/*
 * An unreachable worker may run tasks until its lease ends, and they must not
 * be started elsewhere before. It counts as free once even a slow clock there
 * must have passed the latest lease requested; one that has not answered this
 * planner, once all that a predecessor may have ordered has expired.
 */
static bool
lease_has_expired (const MuxCell *cell, const CellWorker *worker)
{
  int64_t now = cell->time.now_ms;

  if (!worker->confirmed)
    return now - EXPIRY_MARGIN_MS > unconfirmed_lease_until_ms (cell, worker);
  return worker_clock_min_ms (worker, now)
             > worker->lease_expires_ms + EXPIRY_MARGIN_MS
         && now > stale_lease_until_ms (worker) + EXPIRY_MARGIN_MS;
}

/*
 * A planner that was cut off with some of the workers keeps its claim for
 * longer than a lease lasts, and would start the tasks of the other workers
 * again while a successor, which has renewed their leases, goes on with them.
 * So a lease counts as expired only once the claim is confirmed by a call sent
 * after the expiry.
 */
bool
cell_lease_is_over (MuxCell *cell, CellWorker *worker)
{
  if (!lease_has_expired (cell, worker))
    {
      worker->lease_over_since_ms = 0;
      return false;
    }
  if (worker->lease_over_since_ms == 0)
    {
      worker->lease_over_since_ms = cell->time.now_ms;
      cell->next_heartbeat_ms = cell->time.now_ms;
    }
  return cell->claim_verified_ms >= worker->lease_over_since_ms;
}

/* A late call to an earlier incarnation may have requested the longest lease
 * before this reply.  A predecessor's did so before the first reply, from which
 * on the worker knows this planner's fencing token. */
void
cell_lease_of_stale (const MuxCell *cell, CellWorker *worker, bool first)
{
  int64_t until_ms = cell_late_calls_until_ms (worker, !first);
  int64_t passed_ms = cell->time.now_ms - until_ms;

  if (passed_ms < 0)
    passed_ms = 0;
  if (until_ms != 0 && passed_ms < LEASE_MAX_MS)
    raise_lease (cell, worker, worker->clock_ms + LEASE_MAX_MS - passed_ms,
                 CELL_LEASE_STALE);
}

/* A predecessor's last order came before ours, and requested no longer lease
 * than one from now; nothing else may be known of it. */
void
cell_lease_of_predecessor (const MuxCell *cell, CellWorker *worker)
{
  raise_lease (cell, worker, worker->clock_ms + cell->options.lease_ms,
               CELL_LEASE_PREDECESSOR);
}

json_t *
cell_lease_json (const MuxCell *cell, const CellWorker *worker)
{
  static const char *const sources[]
      = { [CELL_LEASE_NONE] = "none",
          [CELL_LEASE_START] = "start",
          [CELL_LEASE_RENEWAL] = "renewal",
          [CELL_LEASE_PREDECESSOR] = "predecessor",
          [CELL_LEASE_STALE] = "stale" };
  int64_t now = cell->time.now_ms;

  if (!worker->confirmed)
    return json_pack (
        "{s:s, s:I, s:I}", "source",
        worker->stored_expiry_ms != 0 ? "roster" : "claim", "stored_over_ms",
        (json_int_t) (worker->stored_expiry_ms != 0
                          ? now - worker->stored_expiry_ms
                          : 0),
        "orders_over_ms", (json_int_t) (now - cell->predecessor.until_ms));
  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I}", "source", sources[worker->lease_source],
      "raised_ms_ago", (json_int_t) (now - worker->lease_raised_ms),
      "until_clock", (json_int_t) worker->lease_expires_ms, "clock",
      (json_int_t) worker_clock_min_ms (worker, now), "clock_read_ms_ago",
      (json_int_t) (now - worker->clock_at_ms));
}
