#include "cell_private.h"

/*
 * Feeds the limit of the planner's traffic and applies it. Limited are names
 * in approval queries beyond those that are likely to be used, queries ahead
 * of time, candidates named in jobs' rows, and polls of workers. Starts, stops,
 * leases, ends and commits are not.
 */

/* Below this level nothing is queried ahead of time. */
#define AHEAD_MIN_MILLI 700
/* Names needed for each waiting task: half of the workers are approved. */
#define NAMES_PER_TASK 2
/* Longest pause between a busy worker's reply and its next poll: several ends
 * then share a reply. A hundredth of a lease, and a tenth of an urgent job's
 * slack. */
#define BUSY_PAUSE_MS 50
/* Longest time that an idle worker is not polled beyond the usual one. A start
 * finds out by itself whether its worker is up. */
#define IDLE_PAUSE_MS 4000

uint32_t
cell_planner_capacity_milli (const MuxCell *cell)
{
  return cell_own_ability_milli (cell);
}

void
cell_traffic_begin (MuxCell *cell)
{
  mux_traffic_limit_reset (&cell->traffic_limit, cell->time.now_ms);
  cell->traffic_limited = false;
}

/* Delays of the planner's own processor and link; how long a direct call takes
 * may be its worker's doing. */
static int64_t
late_ms (const MuxCell *cell)
{
  int64_t own_ms = cell->time.now_ms - cell->time.processed_ms;
  int64_t replies_ms = cell_reply_latency_ms (cell);

  return own_ms > replies_ms ? own_ms : replies_ms;
}

void
cell_traffic_tick (MuxCell *cell)
{
  uint32_t capacity_milli = cell_planner_capacity_milli (cell);
  bool limited;

  mux_traffic_limit_update (&cell->traffic_limit, cell->time.now_ms,
                            late_ms (cell), capacity_milli);
  limited = cell->traffic_limit.level_milli < MUX_TRAFFIC_FULL_MILLI;
  if (limited == cell->traffic_limited)
    return;
  cell->traffic_limited = limited;
  mux_count (cell->options.counters, MUX_COUNT_TRAFFIC_LIMITED, limited);
  cell_log (cell, limited ? "traffic_limited" : "traffic_unlimited",
            "{s:I, s:i, s:i}", "late_ms", (json_int_t) late_ms (cell),
            "capacity_milli", (int) capacity_milli, "level_milli",
            (int) cell->traffic_limit.level_milli);
}

uint32_t
cell_traffic_names (const MuxCell *cell, uint32_t wanted, uint32_t tasks)
{
  uint32_t needed = tasks * NAMES_PER_TASK;

  if (needed < CELL_CANDIDATES_MIN)
    needed = CELL_CANDIDATES_MIN;
  return mux_traffic_limit_count (&cell->traffic_limit, wanted, needed);
}

bool
cell_traffic_allows_ahead (const MuxCell *cell)
{
  return cell->traffic_limit.level_milli >= AHEAD_MIN_MILLI;
}

int64_t
cell_traffic_busy_pause_ms (const MuxCell *cell)
{
  return mux_traffic_limit_pause_ms (&cell->traffic_limit, BUSY_PAUSE_MS);
}

int64_t
cell_traffic_idle_pause_ms (const MuxCell *cell)
{
  return mux_traffic_limit_pause_ms (&cell->traffic_limit, IDLE_PAUSE_MS);
}
