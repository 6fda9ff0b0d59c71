#include "cell/throttle.h"

/* Behind by more than this, in ms, the planner has more to do than it can; by
 * less than the second one it has not. */
#define BEHIND_MS 300
#define IN_TIME_MS 150
/* Between two updates, in ms. */
#define UPDATE_MS 250
/* And so far behind that nothing more is taken until the next update. */
#define STOP_MS 600
/* Fewer steps than this wait for no planner that is behind. */
#define UNLOOKED_MIN 32
/* A planner looks at so many steps in a second at least. */
#define RATE_MIN 100
#define MS_PER_S INT64_C (1000)
/* What one update leaves of the share, in thousandths: by how much more came
 * than began, within these. */
#define FALL_LEAST 400
#define FALL_MOST 850
/* The share rises by one of so many parts, and by the second one; it is never
 * less than the third: of what is taken it is learned whether more can be. */
#define RISE_PARTS 6
#define RISE_LEAST 8
#define SHARE_MIN 50
/* Callers who are refused come again within these times; those who are taken
 * next, as the share rises, come first. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 6000

void
mux_throttle_reset (MuxThrottle *throttle, int64_t now_ms)
{
  *throttle = (MuxThrottle){ .share_milli = MUX_THROTTLE_FULL_MILLI,
                             .updated_ms = now_ms };
}

static uint32_t
fall_milli (const MuxThrottle *throttle)
{
  uint64_t fall = (uint64_t) throttle->started * MUX_THROTTLE_FULL_MILLI
                  / throttle->accepted;

  if (fall < FALL_LEAST)
    return FALL_LEAST;
  return fall < FALL_MOST ? (uint32_t) fall : FALL_MOST;
}

/* More come than begin; what was taken before the last fall is still worked
 * off while the delay shrinks. */
static bool
is_too_much (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms > BEHIND_MS && delay_ms >= throttle->delay_ms
         && throttle->started < throttle->accepted;
}

/* A planner that works off what it has is late for those, and can begin more
 * than it takes. */
static bool
can_take_more (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms < IN_TIME_MS
         || (delay_ms < throttle->delay_ms
             && throttle->started > throttle->accepted);
}

static uint32_t
risen (uint32_t share)
{
  share += share / RISE_PARTS + RISE_LEAST;
  return share < MUX_THROTTLE_FULL_MILLI ? share : MUX_THROTTLE_FULL_MILLI;
}

static uint32_t
fallen (const MuxThrottle *throttle)
{
  uint32_t share
      = throttle->share_milli * fall_milli (throttle) / MUX_THROTTLE_FULL_MILLI;

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
  if (now_ms - throttle->updated_ms < UPDATE_MS)
    return;
  measure (throttle, now_ms - throttle->updated_ms);
  throttle->updated_ms = now_ms;
  if (is_too_much (throttle, delay_ms))
    throttle->share_milli = fallen (throttle);
  else if (can_take_more (throttle, delay_ms))
    throttle->share_milli = risen (throttle->share_milli);
  throttle->delay_ms = delay_ms;
  throttle->accepted = 0;
  throttle->started = 0;
  throttle->scanned = 0;
}

int64_t
mux_throttle_scan_wait_ms (const MuxThrottle *throttle, uint32_t unlooked)
{
  uint32_t rate
      = throttle->scan_rate > RATE_MIN ? throttle->scan_rate : RATE_MIN;

  if (unlooked < UNLOOKED_MIN)
    return 0;
  return (int64_t) unlooked * MS_PER_S / rate;
}

uint32_t
mux_throttle_share_now (const MuxThrottle *throttle, int64_t delay_ms)
{
  return delay_ms > STOP_MS ? 0 : throttle->share_milli;
}

uint32_t
mux_throttle_retry_ms (uint32_t share_milli, uint64_t spread)
{
  uint32_t place = (uint32_t) (spread % MUX_THROTTLE_FULL_MILLI);

  if (place < share_milli)
    return 0;
  return RETRY_MIN_MS
         + (place - share_milli) * (RETRY_MAX_MS - RETRY_MIN_MS)
               / MUX_THROTTLE_FULL_MILLI;
}
