#include "cell_private.h"

/* How long what runs at a worker may run on. */

/* The clocks of workers may be slow by this: a lease lasts longer than asked.
 */
#define CLOCK_SLOW_PERCENT 2
#define PERCENT 100
/* A lease lapses at the worker, its end shows there a little later. */
#define LAPSE_MARGIN_MS 200
/* Workers shorten a longer lease to this, in ms. */
#define LEASE_MAX_MS 10000

/* Not less than its clock shows now. */
static int64_t
clock_least (const CellWorker *worker, int64_t now_ms)
{
  int64_t passed = now_ms - worker->clock_at_ms;

  return worker->clock_ms + passed * (PERCENT - CLOCK_SLOW_PERCENT) / PERCENT;
}

int64_t
cell_worker_extend_lease (const MuxCell *cell, CellWorker *worker)
{
  int64_t until;

  if (worker->clock_at_ms == 0)
    return 0;
  until = clock_least (worker, cell->time.now_ms) + cell->options.lease_ms;
  if (until > worker->lease_expires_ms)
    worker->lease_expires_ms = until;
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
 * Guards against a lease that is taken for over too early: a call that was
 * meant for a worker's former life, and is carried out late by this one, asks
 * for a time on the former one's clock, and with that for the longest lease
 * there is. Such a call may come behind the last answer. Return: until when a
 * lease asked so may last; 0: all such calls were over.
 */
static int64_t
stale_lease_over_ms (const CellWorker *worker)
{
  return worker->stale_until_ms > worker->clock_at_ms
             ? worker->stale_until_ms + cell_longest_lease_ms ()
             : 0;
}

int64_t
cell_worker_lease_left (const MuxCell *cell, const CellWorker *worker)
{
  int64_t now = cell->time.now_ms;
  int64_t left
      = on_slow_clock (worker->lease_expires_ms - clock_least (worker, now));
  int64_t stale = stale_lease_over_ms (worker) - now;

  if (stale > left)
    left = stale;
  return left > 0 ? left : 0;
}

/* At a worker that has not answered this planner: no former planner can have
 * ordered for longer, and the longest lease that one could ask has ended. */
static int64_t
former_lease_over_ms (const MuxCell *cell)
{
  return cell->predecessor.until_ms
         + (int64_t) cell->options.lease_ms * (PERCENT + CLOCK_SLOW_PERCENT + 1)
               / PERCENT;
}

int64_t
cell_predecessor_lease_left (const MuxCell *cell)
{
  int64_t left = former_lease_over_ms (cell) - cell->time.now_ms;

  return left > 0 ? left : 0;
}

int64_t
cell_unconfirmed_lease_left (const MuxCell *cell, const CellWorker *worker)
{
  int64_t left = cell_predecessor_lease_left (cell);
  int64_t marked = worker->marked_expiry_ms - cell->time.now_ms;

  if (worker->marked_expiry_ms == 0 || marked >= left)
    return left;
  return marked > 0 ? marked : 0;
}

/*
 * Guards against tasks that run twice: a worker that can't be reached may run
 * on until its lease ends.  It is taken as free once even a slow clock there
 * must have passed the furthest lease that was asked; for one that has not
 * answered this planner, once all that a former planner may have ordered is
 * over.
 */
static bool
lease_is_over (const MuxCell *cell, const CellWorker *worker)
{
  int64_t now = cell->time.now_ms;

  /* No mark of a former planner lies behind the end of the longest lease. */
  if (!worker->confirmed && worker->marked_expiry_ms != 0
      && now - LAPSE_MARGIN_MS > worker->marked_expiry_ms)
    return true;
  if (!worker->confirmed)
    return now - LAPSE_MARGIN_MS > former_lease_over_ms (cell);
  return clock_least (worker, now) > worker->lease_expires_ms + LAPSE_MARGIN_MS
         && now > stale_lease_over_ms (worker) + LAPSE_MARGIN_MS;
}

/*
 * Guards against a lease that a successor has renewed: a planner that was cut
 * off with some of the workers trusts its claim for longer than a lease lasts,
 * and would start the tasks of the others again while its successor goes on
 * with them.  Only a proof of the claim that was asked for after the lease was
 * over shows that nobody has renewed it.
 */
bool
cell_lease_is_over (MuxCell *cell, CellWorker *worker)
{
  if (!lease_is_over (cell, worker))
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

/* What such a call asked for before this answer. */
void
cell_lease_of_stale (const MuxCell *cell, CellWorker *worker)
{
  int64_t until = worker->clock_ms + LEASE_MAX_MS;

  if (cell->time.now_ms < worker->stale_until_ms
      && until > worker->lease_expires_ms)
    worker->lease_expires_ms = until;
}

/* A former planner's last order came before ours, and asked no longer lease
 * than one from now; that may be all that is known of it. */
void
cell_lease_of_predecessor (const MuxCell *cell, CellWorker *worker)
{
  int64_t until = worker->clock_ms + cell->options.lease_ms;

  if (until > worker->lease_expires_ms)
    worker->lease_expires_ms = until;
}
