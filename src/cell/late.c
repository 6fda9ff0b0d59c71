#include "cell_private.h"

/*
 * A planner that takes what arrives seconds after it came.  It keeps what was
 * accepted and works it off; what comes new is refused while it is late.
 */

/* An accepted job needs four turns of the planner before it starts: its own
 * row, the policy service's answer, the record of it, the start. */
#define LATE_MAX_MS 500
/* The planner was heard so lately, in ms, if by its sign of life in the store
 * alone. */
#define HEARD_MS 1500

/* Answers that the mean is of, at most, */
#define ANSWERS 64
/* and at least. */
#define ANSWERS_LEAST 8
/* They tell of the next moments alone, in ms. */
#define ANSWERS_KEEP_MS 1500
#define US_PER_MS 1000

/* Only answers that other daemons pass on wait where this one can't see it; a
 * call of its own is late with its worker, too. */
static bool
is_carried (const CellPending *pending)
{
  return pending->overdue_ms != 0;
}

void
cell_reply_latency_record (MuxCell *cell, const CellPending *pending)
{
  CellReplyLatency *answers = &cell->reply_latency;
  int64_t took_ms
      = cell->time.processed_ms - pending->sent_ms - pending->wait_ms;

  /* One that came before its wait was over may have come at any time. */
  if (!is_carried (pending) || took_ms < 0)
    return;
  if (cell->time.now_ms - answers->last_ms > ANSWERS_KEEP_MS)
    answers->count = 0;
  if (answers->count < ANSWERS)
    answers->count++;
  if (answers->count == 1)
    answers->mean_us = 0;
  answers->last_ms = cell->time.now_ms;
  answers->mean_us
      += (took_ms * US_PER_MS - answers->mean_us) / (int64_t) answers->count;
}

int64_t
cell_reply_latency_ms (const MuxCell *cell)
{
  const CellReplyLatency *answers = &cell->reply_latency;

  if (cell->role != CELL_PLANNING || !cell_uses_proxies (cell)
      || answers->count < ANSWERS_LEAST
      || cell->time.now_ms - answers->last_ms > ANSWERS_KEEP_MS)
    return 0;
  return answers->mean_us / US_PER_MS;
}

/* Answers may wait before they get here, too, on connections that are not read
 * in time.  In a full pool that is no reason to refuse: what waits there waits
 * for room. */
int64_t
cell_late_ms (const MuxCell *cell)
{
  int64_t late_ms = cell->time.now_ms - cell->time.processed_ms;
  int64_t answers_ms = cell->pool_has_room ? cell_reply_latency_ms (cell) : 0;

  if (late_ms < answers_ms)
    late_ms = answers_ms;
  return late_ms > 0 ? late_ms : 0;
}

int64_t
cell_planner_late_ms (const MuxCell *cell)
{
  if (cell->role == CELL_PLANNING)
    return cell_late_ms (cell);
  return cell->time.now_ms - cell->planner_last_contact_ms < HEARD_MS
             ? cell->planner_late_ms
             : 0;
}

/*
 * Guards against a cell that falls from all to nothing: past what the planner's
 * processor bears each job makes all others later, none starts in time, and
 * callers who were told that nobody knows come again on top.  The load that is
 * answered is whatever the planner can't take, of jobs, workers or calls alike.
 */
bool
cell_accepts_jobs (const MuxCell *cell)
{
  return cell_planner_late_ms (cell) <= LATE_MAX_MS;
}

void
cell_late_tick (MuxCell *cell)
{
  bool late = !cell_accepts_jobs (cell);

  mux_observe (cell->options.counters, MUX_HIST_PLANNER_LATE,
               cell_late_ms (cell));
  if (late != cell->late)
    cell_log (cell, late ? "planner_late" : "planner_in_time",
              "{s:I, s:i, s:i}", "late_ms", (json_int_t) cell_late_ms (cell),
              "workers", (int) HASH_COUNT (cell->workers), "jobs",
              (int) HASH_COUNT (cell->jobs));
  cell->late = late;
}
