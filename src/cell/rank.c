#include "cell_private.h"

/*
 * The order in which waiting stages get room and approval queries.  It matters
 * under overload only: with room for all, none waits for another.
 *
 * Long-running tasks that have waited for a while go first: they are small
 * compared with the room.  Stages that can still end in time, by their expected
 * run time, go before those that can't: a stage past its latest start would
 * take the room of one that is not, and be late all the same.  Within a rank
 * work beyond the fair share of its workspace goes behind the rest, if the pool
 * is full (share.h).  Then the configured priority of the queue decides, then
 * the latest start.  With
 * the latest start alone, small tasks of a queue with late deadlines, which fit
 * into any free room, would take the room that a gang of a more urgent queue
 * needs all at once.
 */

/* A long-running stage that has waited for this long goes first. */
#define STARVED_AFTER_MS 1000

/*
 * A long-running stage keeps this rank until it runs again.  Otherwise such
 * stages of a queue with low priority would never run in a full pool, as queues
 * of higher priority take all room that becomes free.
 */
static CellRank
long_running_rank (const CellStage *stage, int64_t now_ms)
{
  return now_ms < stage->ready_ms + STARVED_AFTER_MS ? CELL_RANK_IN_TIME
                                                     : CELL_RANK_STARVED;
}

CellRank
cell_stage_rank (const CellStage *stage, int64_t now_ms)
{
  if (stage->spec->long_running)
    return long_running_rank (stage, now_ms);
  if (now_ms < stage->deadline_ms - stage->fastest_ms)
    return CELL_RANK_IN_TIME;
  return now_ms < stage->worthless_ms ? CELL_RANK_LATE : CELL_RANK_WORTHLESS;
}

int64_t
cell_stage_rank_expires_ms (const CellStage *stage, int64_t now_ms)
{
  int64_t late_ms = stage->deadline_ms - stage->fastest_ms;

  if (stage->spec->long_running)
    return now_ms < stage->ready_ms + STARVED_AFTER_MS
               ? stage->ready_ms + STARVED_AFTER_MS
               : INT64_MAX;
  if (now_ms < late_ms)
    return late_ms;
  return now_ms < stage->worthless_ms ? stage->worthless_ms : INT64_MAX;
}

int
cell_stage_compare (const CellStage *a, const CellStage *b)
{
  uint32_t x = a->job->spec->queue.priority;
  uint32_t y = b->job->spec->queue.priority;

  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->share_class != b->share_class)
    return a->share_class < b->share_class ? -1 : 1;
  if (x != y)
    return x < y ? -1 : 1;
  if (a->latest_start_ms != b->latest_start_ms)
    return a->latest_start_ms < b->latest_start_ms ? -1 : 1;
  return 0;
}

bool
cell_stage_is_late (const CellStage *stage)
{
  return stage->rank > CELL_RANK_IN_TIME;
}
