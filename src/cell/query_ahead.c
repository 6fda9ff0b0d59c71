#include "cell_private.h"

/*
 * Questions about steps whose turn comes when those that run now have ended.
 *
 * Their proofs, and the record of where they may run, are there when it comes;
 * else each step of a chain waits for a question and a commit.  It is tried
 * once, when the steps before have been placed; if no daemon is free to ask, or
 * the proofs would not last, the step asks when its turn has come.
 */

/* By which tasks exceed their declared time. */
#define OVERRUN_MS 500

/* Long questions keep daemons from urgent ones. */
static bool
is_short (const CellStage *stage)
{
  const MuxApprovalSpec *approval = &stage->job->spec->queue.approval;

  return approval->required
         && cell_approval_query_is_short (stage, CELL_CANDIDATES_AHEAD_MIN);
}

/* Of the steps that @stage comes after, all tasks have been sent to workers.
 * Return: the longest declared time of those that run; -1: some wait. */
static int64_t
longest_before_ms (const CellStage *stage)
{
  const CellJob *job = stage->job;
  uint32_t first = stage->occurrence * job->spec->step_count;
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < stage->step; i++)
    {
      const CellStage *before = job->stage[first + i];

      if ((stage->spec->after >> i & 1) == 0 || before->tasks_left == 0)
        continue;
      if (cell_stage_waiting_tasks (before) > 0)
        return -1;
      if (before->expected_ms > longest_ms)
        longest_ms = before->expected_ms;
    }
  return longest_ms;
}

static bool
is_next (const CellStage *stage)
{
  int64_t longest_ms = longest_before_ms (stage);

  return stage->tasks_left > 0 && !stage->ready && !stage->query_pending
         && !stage->spec->gang && stage->approval_count == 0 && longest_ms > 0
         && longest_ms + OVERRUN_MS
                <= (int64_t) stage->job->spec->queue.approval.valid_ms;
}

static void
ask (MuxCell *cell, CellStage *stage)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t count;

  if (!cell_can_query (cell, stage, CELL_CANDIDATES_AHEAD_MIN))
    return;
  count = cell_candidates_ahead (cell, stage, worker);
  (void) cell_approval_query_send (cell, stage, worker, count);
}

void
cell_query_ahead (MuxCell *cell, const CellStage *placed)
{
  const CellJob *job = placed->job;
  uint32_t first = placed->occurrence * job->spec->step_count;

  if (!is_short (placed) || job->cancelled || job->failed)
    return;
  for (uint32_t i = placed->step + 1; i < job->spec->step_count; i++)
    if ((job->spec->step[i].after >> placed->step & 1) != 0
        && is_next (job->stage[first + i]))
      ask (cell, job->stage[first + i]);
}
