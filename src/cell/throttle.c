#include "cell/throttle.h"

/* Above the first delay the planner has more work than it can do; below the
 * second one it keeps up. */
#define BEHIND_MS 300
#define KEEPS_UP_MS 150
/* Shortest time between two updates. */
#define UPDATE_INTERVAL_MS 250
/* Above this delay nothing is accepted until the next update. */
#define REFUSE_ALL_MS 600
/* With fewer unscanned steps than this the planner does not count as behind. */
#define UNSCANNED_MIN 32
/* Lower bound of the steps that a planner scans per second. */
#define SCAN_RATE_MIN 100
#define MS_PER_S INT64_C (1000)
/* Bounds, in thousandths, of the factor by which one update reduces the share;
 * within them it is the ratio of started to accepted jobs. */
#define FALL_MIN_MILLI 400
#define FALL_MAX_MILLI 850
/* An update raises the share by 1/RISE_PARTS of it plus RISE_MIN. The share
 * never falls below SHARE_MIN, as the jobs that are accepted show whether more
 * can be. */
#define RISE_PARTS 6
#define RISE_MIN 8
#define SHARE_MIN 50
/* Range of the retry delay of refused jobs; those accepted next when the share
 * rises retry first. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 6000

void
mux_throttle_reset (MuxThrottle *throttle, int64_t now_ms)
{
  *throttle = (MuxThrottle){ .share_milli = MUX_THROTTLE_FULL_MILLI,
                             .updated_ms = now_ms };
}

static uint32_t
fall_factor_milli (const MuxThrottle *throttle)
{
  uint64_t fall = (uint64_t) throttle->started * MUX_THROTTLE_FULL_MILLI
                  / throttle->accepted;

  if (fall < FALL_MIN_MILLI)
    return FALL_MIN_MILLI;
  return fall < FALL_MAX_MILLI ? (uint32_t) fall : FALL_MAX_MILLI;
}

/* More jobs arrive than start.  While the delay shrinks, the planner is still
 * starting jobs that were accepted before the last reduction. */
static bool
is_overloaded (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms > BEHIND_MS && delay_ms >= throttle->delay_ms
         && throttle->started < throttle->accepted;
}

/* While the planner reduces its backlog, the jobs in it are late, but it starts
 * more jobs than it accepts. */
static bool
can_accept_more (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms < KEEPS_UP_MS
         || (delay_ms < throttle->delay_ms
             && throttle->started > throttle->accepted);
}

static uint32_t
raised_share (uint32_t share)
{
  share += share / RISE_PARTS + RISE_MIN;
  return share < MUX_THROTTLE_FULL_MILLI ? share : MUX_THROTTLE_FULL_MILLI;
}

static uint32_t
reduced_share (const MuxThrottle *throttle)
{
  uint32_t share = throttle->share_milli * fall_factor_milli (throttle)
                   / MUX_THROTTLE_FULL_MILLI;

  return share > SHARE_MIN ? share : SHARE_MIN;
}

static void
measure (MuxThrottle *throttle, int64_t passed_ms)
{
  throttle->scan_rate = (uint32_t) ((throttle->scan_rate
                                     + throttle->scanned * MS_PER_S / passed_ms)
                                    / 2);
}

void
mux_throttle_update (MuxThrottle *throttle, int64_t now_ms, int64_t delay_ms)
{
  if (now_ms - throttle->updated_ms < UPDATE_INTERVAL_MS)
    return;
  measure (throttle, now_ms - throttle->updated_ms);
  throttle->updated_ms = now_ms;
  if (is_overloaded (throttle, delay_ms))
    throttle->share_milli = reduced_share (throttle);
  else if (can_accept_more (throttle, delay_ms))
    throttle->share_milli = raised_share (throttle->share_milli);
  throttle->delay_ms = delay_ms;
  throttle->accepted = 0;
  throttle->started = 0;
  throttle->scanned = 0;
}

int64_t
mux_throttle_scan_wait_ms (const MuxThrottle *throttle, uint32_t unscanned)
{
  uint32_t rate = throttle->scan_rate > SCAN_RATE_MIN ? throttle->scan_rate
                                                      : SCAN_RATE_MIN;

  if (unscanned < UNSCANNED_MIN)
    return 0;
  return (int64_t) unscanned * MS_PER_S / rate;
}

uint32_t
mux_throttle_share_now (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms > REFUSE_ALL_MS ? 0 : throttle->share_milli;
}

uint32_t
mux_throttle_retry_ms (uint32_t share_milli, uint64_t seed)
{
  uint32_t position = (uint32_t) (seed % MUX_THROTTLE_FULL_MILLI);

  if (position < share_milli)
    return 0;
  return RETRY_MIN_MS
         + (position - share_milli) * (RETRY_MAX_MS - RETRY_MIN_MS)
               / MUX_THROTTLE_FULL_MILLI;
}
