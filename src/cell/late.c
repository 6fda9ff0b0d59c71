#include "cell_private.h"

/*
 * A planner that takes what arrives seconds after it came.  It keeps what was
 * accepted and works it off; what comes new is refused while it is late.
 */

/* An accepted job needs four turns of the planner before it starts: its own
 * row, the policy service's answer, the record of it, the start. */
#define LATE_MAX_MS 500

int64_t
cell_late_ms (const MuxCell *cell)
{
  int64_t late_ms = cell->time.now_ms - cell->time.heard_ms;

  return late_ms > 0 ? late_ms : 0;
}

int64_t
cell_planner_late_ms (const MuxCell *cell)
{
  if (cell->role == CELL_PLANNING)
    return cell_late_ms (cell);
  return cell_planner_is_near (cell) ? cell->planner_late_ms : 0;
}

/*
 * Guards against a cell that falls from all to nothing: past what the planner's
 * processor bears each job makes all others later, none starts in time, and
 * callers who were told that nobody knows come again on top.  The load that is
 * answered is whatever the planner can't take, of jobs, workers or calls alike.
 */
bool
cell_takes_jobs (const MuxCell *cell)
{
  return cell_planner_late_ms (cell) <= LATE_MAX_MS;
}

void
cell_late_tick (MuxCell *cell)
{
  bool late = !cell_takes_jobs (cell);

  mux_observe (cell->options.counters, MUX_HIST_PLANNER_LATE,
               cell_late_ms (cell));
  if (late != cell->late)
    cell_log (cell, late ? "planner_late" : "planner_in_time",
              "{s:I, s:i, s:i}", "late_ms", (json_int_t) cell_late_ms (cell),
              "workers", (int) HASH_COUNT (cell->workers), "jobs",
              (int) HASH_COUNT (cell->jobs));
  cell->late = late;
}
