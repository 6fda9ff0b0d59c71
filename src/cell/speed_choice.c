#include "cell/speed_choice.h"

/* Speeds that differ by less than this ratio, in tenths, count as even. */
#define EVEN_RATIO_TENTHS 13
#define TENTHS 10
/* Part of the capacity that tells how fast the slow, or fast, workers are. */
#define TAIL_DIVISOR 20
/* A run has margin if this many percent of its expected time are left. */
#define MARGIN_PERCENT 125
#define PERCENT 100
#define MILLI 1000
/* Time left, in thousandths of the expected run time, at which the risk of
 * being late is about 0, a half and 1: with a log standard deviation of 0.25,
 * 5% of runs take longer than 1.5 times the expected time. */
#define SAFE_MILLI 1500
#define EVEN_ODDS_MILLI 1000
#define HOPELESS_MILLI 500
#define EVEN_RISK_MILLI 500
/* A task waits if its risk falls by this at least. */
#define GAIN_MILLI 100
/* Cost of the whole of the pool's range of speeds above what is needed.  It
 * equals a risk of 0.13, more than a run with margin has on slow workers. */
#define SPARE_SPEED_COST 40000
#define RISK_COST (MUX_SPEED_COST_MAX - SPARE_SPEED_COST)
/* Least speeds that are tried for a gang, each this many percent of the one
 * before. */
#define LEVELS_MAX 16
#define LEVEL_PERCENT 85
/* Starts within this time count as equal: a planning pass later. */
#define SAME_START_MS 100

void
mux_speed_pool_add (MuxSpeedPool *pool, uint32_t speed_milli, uint64_t capacity)
{
  uint32_t bin = speed_milli / MUX_SPEED_BIN_MILLI;

  if (capacity == 0)
    capacity = 1;
  if (bin >= MUX_SPEED_BINS)
    bin = MUX_SPEED_BINS - 1;
  if (pool->capacity == 0 || speed_milli < pool->min_milli)
    pool->min_milli = speed_milli;
  if (speed_milli > pool->max_milli)
    pool->max_milli = speed_milli;
  pool->capacity += capacity;
  pool->bin[bin].capacity += capacity;
  pool->bin[bin].times_speed += capacity * speed_milli;
}

/* Returns the mean speed of the first or last bins that hold the part of the
 * capacity. */
static uint32_t
tail_speed (const MuxSpeedPool *pool, bool from_fastest)
{
  uint64_t capacity = 0;
  uint64_t times_speed = 0;

  for (uint32_t i = 0;
       i < MUX_SPEED_BINS && capacity * TAIL_DIVISOR < pool->capacity; i++)
    {
      uint32_t bin = from_fastest ? MUX_SPEED_BINS - 1 - i : i;

      capacity += pool->bin[bin].capacity;
      times_speed += pool->bin[bin].times_speed;
    }
  return capacity > 0 ? (uint32_t) (times_speed / capacity)
                      : MUX_SPEED_ONE_MILLI;
}

void
mux_speed_pool_finish (MuxSpeedPool *pool)
{
  pool->slowest_milli = tail_speed (pool, false);
  pool->fastest_milli = tail_speed (pool, true);
}

bool
mux_speed_pool_is_uneven (const MuxSpeedPool *pool)
{
  return (uint64_t) pool->max_milli * TENTHS
             >= (uint64_t) pool->min_milli * EVEN_RATIO_TENTHS
         && pool->capacity > 0;
}

int64_t
mux_speed_run_ms (uint32_t expected_ms, uint32_t speed_milli)
{
  return (int64_t) expected_ms * MUX_SPEED_ONE_MILLI
         / (speed_milli > 0 ? speed_milli : 1);
}

bool
mux_speed_in_time_with_margin (int64_t run_ms, int64_t left_ms)
{
  return run_ms * MARGIN_PERCENT <= left_ms * PERCENT;
}

MuxSpeedFit
mux_speed_fit (const MuxSpeedNeed *need, uint32_t speed_milli)
{
  int64_t run_ms = mux_speed_run_ms (need->expected_ms, speed_milli);
  int64_t slow_ms = mux_speed_run_ms (need->expected_ms, need->slowest_milli);
  int64_t fast_ms = mux_speed_run_ms (need->expected_ms, need->fastest_milli);

  if (mux_speed_in_time_with_margin (slow_ms, need->left_ms)
      && run_ms <= slow_ms)
    return MUX_SPEED_ENOUGH;
  if (mux_speed_in_time_with_margin (run_ms, need->left_ms))
    return MUX_SPEED_NEEDED;
  if (run_ms <= need->left_ms)
    return MUX_SPEED_TIGHT;
  return fast_ms <= need->left_ms ? MUX_SPEED_TOO_SLOW : MUX_SPEED_ENOUGH;
}

uint32_t
mux_speed_risk_milli (int64_t run_ms, int64_t left_ms)
{
  int64_t ratio_milli
      = left_ms > 0 ? left_ms * MILLI / (run_ms > 0 ? run_ms : 1) : 0;

  if (ratio_milli >= SAFE_MILLI)
    return 0;
  if (ratio_milli >= EVEN_ODDS_MILLI)
    return (uint32_t) (EVEN_RISK_MILLI * (SAFE_MILLI - ratio_milli)
                       / (SAFE_MILLI - EVEN_ODDS_MILLI));
  if (ratio_milli <= HOPELESS_MILLI)
    return MILLI;
  return (uint32_t) (MILLI
                     - EVEN_RISK_MILLI * (ratio_milli - HOPELESS_MILLI)
                           / (EVEN_ODDS_MILLI - HOPELESS_MILLI));
}

/* At least the difference of speeds that don't count as even, so that estimates
 * of equal workers don't differ by much of the cost. */
static uint32_t
speed_range_milli (const MuxSpeedNeed *need)
{
  uint32_t least_milli
      = need->slowest_milli * (EVEN_RATIO_TENTHS - TENTHS) / TENTHS + 1;

  return need->fastest_milli > need->slowest_milli + least_milli
             ? need->fastest_milli - need->slowest_milli
             : least_milli;
}

/* Of work that is late on fast workers as well, speed is not paid for with
 * risk: it takes slow ones, and leaves the others to work that can be in
 * time. */
uint32_t
mux_speed_cost (const MuxSpeedNeed *need, uint32_t speed_milli)
{
  int64_t run_ms = mux_speed_run_ms (need->expected_ms, speed_milli);
  int64_t fast_ms = mux_speed_run_ms (need->expected_ms, need->fastest_milli);
  uint32_t risk_milli = fast_ms <= need->left_ms
                            ? mux_speed_risk_milli (run_ms, need->left_ms)
                            : 0;
  uint32_t range_milli = speed_range_milli (need);
  uint32_t spare_milli = speed_milli > need->slowest_milli
                             ? speed_milli - need->slowest_milli
                             : 0;

  if (spare_milli > range_milli)
    spare_milli = range_milli;
  return (uint32_t) ((uint64_t) RISK_COST * risk_milli / MILLI
                     + (uint64_t) SPARE_SPEED_COST * spare_milli / range_milli);
}

bool
mux_speed_should_wait (const MuxSpeedNeed *need, const MuxSpeedWait *wait)
{
  int64_t slow_ms = mux_speed_run_ms (need->expected_ms, wait->free_milli);
  int64_t fast_ms = mux_speed_run_ms (need->expected_ms, wait->fast_milli);

  uint32_t risk_now = mux_speed_risk_milli (slow_ms, need->left_ms);
  uint32_t risk_later
      = mux_speed_risk_milli (fast_ms, need->left_ms - wait->opens_ms);

  return risk_later < EVEN_RISK_MILLI && risk_later + GAIN_MILLI <= risk_now
         && wait->opens_ms + fast_ms < slow_ms
         && wait->waited_ms < slow_ms - fast_ms;
}

uint32_t
mux_speed_above (uint32_t speed_milli, uint32_t least_milli)
{
  uint64_t limit = (uint64_t) least_milli * EVEN_RATIO_TENTHS / TENTHS;
  uint32_t steps = 0;

  while (limit > 0 && speed_milli >= limit && steps < LEVELS_MAX)
    {
      limit = limit * EVEN_RATIO_TENTHS / TENTHS;
      steps++;
    }
  return steps;
}

MuxSpeedSet
mux_speed_set_at (const MuxSpeedOffer *offer,
                  uint32_t count,
                  const MuxSpeedNeed *need,
                  uint32_t tasks,
                  uint32_t least_milli,
                  uint32_t most_milli)
{
  MuxSpeedSet set = { .speed_milli = 0 };
  uint64_t held = 0;
  uint32_t lowest = UINT32_MAX;
  uint32_t highest = 0;

  for (uint32_t i = 0; i < count && held < tasks; i++)
    {
      if (offer[i].speed_milli < least_milli
          || offer[i].speed_milli > most_milli || offer[i].tasks == 0)
        continue;
      held += offer[i].tasks;
      set.start_ms = offer[i].at_ms;
      if (offer[i].speed_milli < lowest)
        lowest = offer[i].speed_milli;
      if (offer[i].speed_milli > highest)
        highest = offer[i].speed_milli;
    }
  if (held < tasks)
    return set;
  set.is_mixed = mux_speed_above (highest, lowest) > 0;
  set.speed_milli = lowest;
  set.end_ms = set.start_ms + mux_speed_run_ms (need->expected_ms, lowest);
  set.in_time = set.end_ms <= need->left_ms;
  set.has_margin = mux_speed_in_time_with_margin (set.end_ms - set.start_ms,
                                                  need->left_ms - set.start_ms);
  return set;
}

/* Whether @a is better than @b, the best of the faster ones so far.  Fast
 * workers in a set with slow ones do their work at the speed of these. */
static bool
is_better (const MuxSpeedSet *a, const MuxSpeedSet *b)
{
  if (b->speed_milli == 0 || a->speed_milli == 0)
    return a->speed_milli != 0;
  if (a->has_margin != b->has_margin)
    return a->has_margin;
  if (a->has_margin && a->is_mixed != b->is_mixed)
    return b->is_mixed;
  if (a->has_margin)
    return a->start_ms <= b->start_ms + SAME_START_MS;
  if (a->in_time || b->in_time)
    return a->end_ms < b->end_ms;
  return a->start_ms <= b->start_ms + SAME_START_MS;
}

/* Returns the highest speed that is even with @least_milli. */
static uint32_t
even_limit (uint32_t least_milli)
{
  return (uint32_t) ((uint64_t) least_milli * EVEN_RATIO_TENTHS / TENTHS);
}

MuxSpeedSet
mux_speed_choose_set (const MuxSpeedOffer *offer,
                      uint32_t count,
                      const MuxSpeedNeed *need,
                      uint32_t tasks)
{
  MuxSpeedSet best = { .speed_milli = 0 };
  uint32_t least_milli = 0;
  uint32_t lowest = UINT32_MAX;

  for (uint32_t i = 0; i < count; i++)
    {
      if (offer[i].speed_milli > least_milli)
        least_milli = offer[i].speed_milli;
      if (offer[i].speed_milli < lowest)
        lowest = offer[i].speed_milli;
    }
  for (uint32_t level = 0; level < LEVELS_MAX && count > 0; level++)
    {
      MuxSpeedSet set;

      least_milli
          = (uint32_t) ((uint64_t) least_milli * LEVEL_PERCENT / PERCENT);
      /* The last level holds all workers. */
      if (level == LEVELS_MAX - 1)
        least_milli = lowest;
      set = mux_speed_set_at (offer, count, need, tasks, least_milli,
                              even_limit (least_milli));
      if (is_better (&set, &best))
        best = set;
      set = mux_speed_set_at (offer, count, need, tasks, least_milli,
                              UINT32_MAX);
      if (is_better (&set, &best))
        best = set;
      if (least_milli <= lowest)
        break;
    }
  return best;
}
