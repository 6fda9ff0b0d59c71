#ifndef CELL_TRAFFIC_LIMIT_H
#define CELL_TRAFFIC_LIMIT_H

#include <stdint.h>

/*
 * Limits what a planner sends that can wait or be left out.
 *
 * Addresses the planner whose link or processor carries less than its cell
 * needs: stops, leases and ends wait behind names of workers, queries ahead of
 * time and polls of idle workers. The level falls while replies are late and
 * rises again once they are in time; it never exceeds the capacity of the
 * instance. At the full level nothing is limited. Does no I/O and reads no
 * clock.
 */

/* Level at which nothing is limited, in thousandths. */
#define MUX_TRAFFIC_FULL_MILLI 1000

/**
 * struct MuxTrafficLimit - how much of what can wait is sent
 * @level_milli: in thousandths
 * @updated_ms: time of the last update
 */
typedef struct
{
  uint32_t level_milli;
  int64_t updated_ms;
} MuxTrafficLimit;

/** mux_traffic_limit_reset() - begin a term, without a limit */
void mux_traffic_limit_reset (MuxTrafficLimit *limit, int64_t now_ms);
/**
 * mux_traffic_limit_update() - adapt the level; does nothing if the last update
 * is too recent
 * @late_ms: how late replies are
 * @capacity_milli: smallest ratio of what the instance has to what planning
 *   needs, at most 1000
 */
void mux_traffic_limit_update (MuxTrafficLimit *limit,
                               int64_t now_ms,
                               int64_t late_ms,
                               uint32_t capacity_milli);
/** mux_traffic_limit_count() - @needed, and the level's share of what is wanted
 * beyond it */
uint32_t mux_traffic_limit_count (const MuxTrafficLimit *limit,
                                  uint32_t wanted,
                                  uint32_t needed);
/** mux_traffic_limit_pause_ms() - pause to add to polls: 0 at the full level,
 * nearly @most_ms at the lowest */
int64_t mux_traffic_limit_pause_ms (const MuxTrafficLimit *limit,
                                    int64_t most_ms);

#endif
