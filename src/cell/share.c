#include "cell/share.h"

#include <stdlib.h>

#define MS_PER_S 1000
#define MILLI 1000
/* A pool with this part free, or more, is not contended.  Gangs of tasks of 4.5
 * processors leave a seventh of a worker of 16 that no further one fits into.
 */
#define FREE_PARTS 4
/* A contended pool stays so until demand falls below these parts of it, so that
 * limits don't come and go with each job. */
#define STAYS_PARTS 7
#define STAYS_OF 8
/* Processors in use and in demand, in quarters of the limit, below which work
 * is within it, in the first and in the second class.  A gang often takes a
 * quarter of the limit, see docs/design/shares.md. */
#define WITHIN_QUARTERS 5
#define FIRST_CLASS_QUARTERS 6
#define SECOND_CLASS_QUARTERS 8
#define QUARTERS 4
/* Callers try up to four times within three seconds: a try each half of a
 * second to a second. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 8000

uint32_t
mux_share_level (uint32_t priority)
{
  return priority < MUX_SHARE_LEVELS ? priority : MUX_SHARE_LEVELS - 1;
}

void
mux_shares_begin (MuxShares *shares)
{
  shares->count = 0;
  shares->overflow = false;
  for (uint32_t i = 0; i < shares->pool_count; i++)
    {
      MuxSharePool *pool = &shares->pool[i];

      pool->pool_milli = 0;
      pool->free_milli = 0;
      pool->rate = 0;
      for (uint32_t level = 0; level < MUX_SHARE_LEVELS; level++)
        pool->within_work[level] = 0;
    }
}

const MuxShare *
mux_shares_find (const MuxShares *shares, uint64_t service, uint64_t workspace)
{
  for (uint32_t i = 0; i < shares->count; i++)
    if (shares->share[i].workspace == workspace
        && shares->share[i].service == service)
      return &shares->share[i];
  return NULL;
}

MuxShare *
mux_shares_get (MuxShares *shares, uint64_t service, uint64_t workspace)
{
  const MuxShare *found = mux_shares_find (shares, service, workspace);
  MuxShare *share;

  if (found != NULL)
    return &shares->share[found - shares->share];
  if (shares->count == MUX_SHARES_MAX)
    {
      shares->overflow = true;
      return NULL;
    }
  share = &shares->share[shares->count++];
  *share = (MuxShare){ .service = service, .workspace = workspace };
  for (uint32_t level = 0; level < MUX_SHARE_LEVELS; level++)
    share->wait_ms[level] = -1;
  return share;
}

const MuxSharePool *
mux_shares_find_pool (const MuxShares *shares, uint64_t service)
{
  for (uint32_t i = 0; i < shares->pool_count; i++)
    if (shares->pool[i].service == service)
      return &shares->pool[i];
  return NULL;
}

MuxSharePool *
mux_shares_pool (MuxShares *shares, uint64_t service)
{
  const MuxSharePool *found = mux_shares_find_pool (shares, service);

  if (found != NULL)
    return &shares->pool[found - shares->pool];
  if (shares->pool_count == MUX_SHARE_POOLS_MAX)
    return NULL;
  shares->pool[shares->pool_count] = (MuxSharePool){ .service = service };
  return &shares->pool[shares->pool_count++];
}

static int64_t
sum_to (const int64_t value[MUX_SHARE_LEVELS], uint32_t level)
{
  int64_t sum = 0;

  for (uint32_t i = 0; i <= level; i++)
    sum += value[i];
  return sum;
}

int64_t
mux_share_running (const MuxShare *share, uint32_t level)
{
  return share != NULL ? sum_to (share->running, level) : 0;
}

int64_t
mux_share_used (const MuxShare *share, uint32_t level)
{
  return share != NULL
             ? sum_to (share->running, level) + sum_to (share->waiting, level)
             : 0;
}

static int64_t
demand_of (const MuxShare *share)
{
  int64_t demand = mux_share_used (share, MUX_SHARE_LEVELS - 1);

  if (share->quota_milli != 0 && (uint64_t) demand > share->quota_milli)
    return (int64_t) share->quota_milli;
  return demand;
}

/* One workspace of a pool, for the division. */
typedef struct
{
  MuxShare *share;
  double weight;
  double demand;
} Claim;

static int
by_demand (const void *x, const void *y)
{
  const Claim *a = x;
  const Claim *b = y;
  double first = a->demand * b->weight;
  double second = b->demand * a->weight;

  return (first > second) - (first < second);
}

/* Returns the number of workspaces with demand in the pool. */
static uint32_t
collect (MuxShares *shares, uint64_t service, Claim claim[MUX_SHARES_MAX])
{
  double weights = 0;
  uint32_t weighted = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < shares->count; i++)
    {
      MuxShare *share = &shares->share[i];

      if (share->service != service)
        continue;
      if (share->weight != MUX_SHARE_NO_WEIGHT)
        {
          weights += share->weight;
          weighted++;
        }
      if (demand_of (share) > 0)
        claim[n++] = (Claim){ .share = share,
                              .weight = share->weight,
                              .demand = (double) demand_of (share) };
    }
  for (uint32_t i = 0; i < n; i++)
    if (claim[i].weight <= 0)
      claim[i].weight = weighted > 0 ? weights / weighted : 1;
  return n;
}

/* Returns what a weight of one gets of @milli processors. */
static double
divide (Claim *claim, uint32_t count, double milli)
{
  double weights = 0;

  for (uint32_t i = 0; i < count; i++)
    weights += claim[i].weight;
  qsort (claim, count, sizeof *claim, by_demand);
  for (uint32_t i = 0; i + 1 < count; i++)
    {
      if (claim[i].demand * weights > milli * claim[i].weight)
        break;
      milli -= claim[i].demand;
      weights -= claim[i].weight;
    }
  return milli / weights;
}

static int
by_value (const void *x, const void *y)
{
  const double *a = x;
  const double *b = y;

  return (*a > *b) - (*a < *b);
}

/* Whether a workspace demands a multiple of what the others do by weight.  In a
 * burst of all of them limits would only put the small jobs of each behind its
 * large ones. */
static bool
some_stands_out (const Claim *claim, uint32_t count, uint32_t factor)
{
  double demand[MUX_SHARES_MAX] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    demand[i] = claim[i].demand / claim[i].weight;
  qsort (demand, count, sizeof *demand, by_value);
  return demand[count - 1] >= factor * demand[(count - 1) / 2];
}

static bool
is_contended (const MuxSharePool *pool,
              const Claim *claim,
              uint32_t count,
              uint32_t factor)
{
  double demand = 0;
  double needed = (double) pool->pool_milli;

  if (count < 2 || pool->free_milli * FREE_PARTS >= pool->pool_milli
      || !some_stands_out (claim, count, factor))
    return false;
  for (uint32_t i = 0; i < count; i++)
    demand += claim[i].demand;
  if (pool->is_contended)
    needed = needed * STAYS_PARTS / STAYS_OF;
  return demand >= needed;
}

static void
set_limits_of (MuxShares *shares, MuxSharePool *pool)
{
  Claim claim[MUX_SHARES_MAX];
  uint32_t count = collect (shares, pool->service, claim);
  double unit;

  pool->is_contended
      = !shares->overflow
        && is_contended (pool, claim, count, shares->outlier_factor);
  if (!pool->is_contended)
    return;
  unit = divide (claim, count, (double) (pool->pool_milli - pool->free_milli));
  for (uint32_t i = 0; i < count; i++)
    {
      claim[i].share->limit_milli = (int64_t) (unit * claim[i].weight);
      if (claim[i].share->limit_milli < 1)
        claim[i].share->limit_milli = 1;
    }
}

void
mux_shares_set_limits (MuxShares *shares)
{
  for (uint32_t i = 0; i < shares->pool_count; i++)
    set_limits_of (shares, &shares->pool[i]);
}

uint32_t
mux_share_class (const MuxShare *share, int64_t ahead_milli)
{
  int64_t quarters;

  if (share == NULL || share->limit_milli == 0)
    return 0;
  quarters = ahead_milli * QUARTERS / share->limit_milli;
  if (quarters < WITHIN_QUARTERS)
    return 0;
  if (quarters < FIRST_CLASS_QUARTERS)
    return 1;
  return quarters < SECOND_CLASS_QUARTERS ? 2 : 3;
}

static int64_t
wait_for_ms (int64_t work, double rate)
{
  double ms = rate > 0 ? (double) work * MS_PER_S / rate
                       : (work > 0 ? MUX_SHARE_WAIT_MAX_MS : 0);

  return ms < MUX_SHARE_WAIT_MAX_MS ? (int64_t) ms : MUX_SHARE_WAIT_MAX_MS;
}

/* Runs beyond the limit have to end first: of runs that end one after the
 * other, each after twice the mean rest at most, the part that is beyond. */
static int64_t
excess_ms (const MuxShare *share, uint32_t level)
{
  double running = (double) mux_share_running (share, level);
  double excess = running - (double) share->limit_milli;

  if (excess <= 0)
    return 0;
  return (int64_t) (2 * (double) sum_to (share->remaining, level) / running
                    * excess / running * MILLI);
}

/* The workspace gets its limit's part of what the pool places. */
static void
set_waits_of (MuxShare *share, const MuxSharePool *pool)
{
  double rate = (double) pool->rate * (double) share->limit_milli
                / (double) (pool->pool_milli - pool->free_milli + 1);

  for (uint32_t level = 0; level < MUX_SHARE_LEVELS; level++)
    share->wait_ms[level]
        = mux_share_class (share, mux_share_used (share, level)) > 0
              ? excess_ms (share, level)
                    + wait_for_ms (sum_to (share->work, level), rate)
              : -1;
}

static void
set_pool_waits (MuxSharePool *pool)
{
  for (uint32_t level = 0; level < MUX_SHARE_LEVELS; level++)
    pool->wait_ms[level]
        = wait_for_ms (sum_to (pool->within_work, level), (double) pool->rate);
}

void
mux_shares_set_waits (MuxShares *shares)
{
  for (uint32_t i = 0; i < shares->pool_count; i++)
    set_pool_waits (&shares->pool[i]);
  for (uint32_t i = 0; i < shares->count; i++)
    {
      const MuxSharePool *pool
          = mux_shares_find_pool (shares, shares->share[i].service);

      if (pool != NULL && pool->is_contended)
        set_waits_of (&shares->share[i], pool);
    }
}

void
mux_shares_accepted (MuxShares *shares,
                     uint64_t service,
                     uint64_t workspace,
                     uint32_t level,
                     int64_t milli,
                     int64_t work)
{
  MuxSharePool *pool;
  MuxShare *share;

  if (mux_shares_find_pool (shares, service) == NULL)
    return;
  pool = mux_shares_pool (shares, service);
  share = mux_shares_get (shares, service, workspace);
  /* Received waits have no counts behind them. */
  if (!pool->is_contended || share == NULL || pool->pool_milli == 0)
    return;
  if (share->wait_ms[level] < 0)
    pool->within_work[level] += work;
  share->waiting[level] += milli;
  share->work[level] += work;
  set_pool_waits (pool);
  set_waits_of (share, pool);
}

int64_t
mux_shares_wait_ms (const MuxShares *shares,
                    uint64_t service,
                    uint64_t workspace,
                    uint32_t level)
{
  const MuxSharePool *pool = mux_shares_find_pool (shares, service);
  const MuxShare *share = mux_shares_find (shares, service, workspace);

  if (pool == NULL || !pool->is_contended)
    return -1;
  if (share != NULL && share->wait_ms[level] > pool->wait_ms[level])
    return share->wait_ms[level];
  return pool->wait_ms[level];
}

uint32_t
mux_shares_retry_ms (int64_t wait_ms, int64_t acceptable_ms, uint64_t seed)
{
  int64_t retry_ms = wait_ms - acceptable_ms;

  if (retry_ms <= 0)
    return 0;
  if (retry_ms < RETRY_MIN_MS)
    retry_ms = RETRY_MIN_MS;
  if (retry_ms > RETRY_MAX_MS - RETRY_MIN_MS)
    retry_ms = RETRY_MAX_MS - RETRY_MIN_MS;
  return (uint32_t) (retry_ms + (int64_t) (seed % RETRY_MIN_MS));
}
