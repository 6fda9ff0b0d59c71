#include "cell_private.h"

/*
 * In which order waiting steps get room and questions to the policy service.
 * It matters under overload alone: with room for all, none waits for another.
 *
 * What is to last and is away goes first: its tasks are small against the room
 * that they are owed.  What can still be in time goes before what can't, by the
 * declared time of its tasks: a step that has passed its latest start would
 * take the room of one that has not, and be late all the same.  Among these the
 * operators' order of queues decides, then the latest start: by the latest
 * start alone the tasks of a patient queue, of which any gap holds one, take
 * the room that a gang of a more urgent queue needs all at once.
 */

/* What is to last and has waited for so long, in ms, goes first. */
#define OWED_AFTER_MS 1000

/*
 * What runs until it is cancelled is owed as long as it is away.  Guards
 * against tasks of a patient queue that never run again in a full pool: each
 * gap there is taken by a queue that is served before.
 */
static CellRank
rank_of_lasting (const CellStage *stage, int64_t now_ms)
{
  return now_ms < stage->ready_ms + OWED_AFTER_MS ? CELL_RANK_IN_TIME
                                                  : CELL_RANK_STARVED;
}

CellRank
cell_stage_rank (const CellStage *stage, int64_t now_ms)
{
  if (stage->spec->long_running)
    return rank_of_lasting (stage, now_ms);
  if (now_ms < stage->deadline_ms - stage->expected_ms)
    return CELL_RANK_IN_TIME;
  return now_ms < stage->worthless_ms ? CELL_RANK_LATE : CELL_RANK_WORTHLESS;
}

int64_t
cell_stage_rank_expires_ms (const CellStage *stage, int64_t now_ms)
{
  int64_t late_ms = stage->deadline_ms - stage->expected_ms;

  if (stage->spec->long_running)
    return now_ms < stage->ready_ms + OWED_AFTER_MS
               ? stage->ready_ms + OWED_AFTER_MS
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
