#include "cell/traffic_limit.h"

/* Replies later than the first delay lower the level, earlier than the second
 * raise it: those at which the planner takes fewer jobs, see throttle.c. */
#define LATE_MS 300
#define IN_TIME_MS 150
/* Shortest time between two updates: replies sent since the last one show its
 * effect. */
#define UPDATE_INTERVAL_MS 250
/* From the full level to the lowest in 1.25 s, and back in 2 s. */
#define FALL_MILLI 700
#define RISE_MILLI 100
/* Never lower: what is left out then is not worth the placements lost. */
#define LEVEL_MIN_MILLI 200

void
mux_traffic_limit_reset (MuxTrafficLimit *limit, int64_t now_ms)
{
  *limit = (MuxTrafficLimit){ .level_milli = MUX_TRAFFIC_FULL_MILLI,
                              .updated_ms = now_ms };
}

void
mux_traffic_limit_update (MuxTrafficLimit *limit,
                          int64_t now_ms,
                          int64_t late_ms,
                          uint32_t capacity_milli)
{
  uint32_t most_milli = capacity_milli;

  if (now_ms - limit->updated_ms < UPDATE_INTERVAL_MS)
    return;
  limit->updated_ms = now_ms;
  if (late_ms > LATE_MS)
    limit->level_milli
        = limit->level_milli * FALL_MILLI / MUX_TRAFFIC_FULL_MILLI;
  else if (late_ms < IN_TIME_MS)
    limit->level_milli += RISE_MILLI;
  if (most_milli > MUX_TRAFFIC_FULL_MILLI)
    most_milli = MUX_TRAFFIC_FULL_MILLI;
  if (limit->level_milli > most_milli)
    limit->level_milli = most_milli;
  if (limit->level_milli < LEVEL_MIN_MILLI)
    limit->level_milli = LEVEL_MIN_MILLI;
}

uint32_t
mux_traffic_limit_count (const MuxTrafficLimit *limit,
                         uint32_t wanted,
                         uint32_t needed)
{
  if (wanted <= needed)
    return wanted;
  return needed
         + (uint32_t) ((uint64_t) (wanted - needed) * limit->level_milli
                       / MUX_TRAFFIC_FULL_MILLI);
}

int64_t
mux_traffic_limit_pause_ms (const MuxTrafficLimit *limit, int64_t most_ms)
{
  return most_ms * (int64_t) (MUX_TRAFFIC_FULL_MILLI - limit->level_milli)
         / MUX_TRAFFIC_FULL_MILLI;
}
