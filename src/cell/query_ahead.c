#include "cell_private.h"

/*
 * Sends approval queries about steps that become ready when the running ones
 * have ended.
 *
 * Their proofs and the record of their workers are then there in time; else
 * each step of a chain waits for a query and a commit.  This is tried once,
 * when the preceding steps have been placed.  If no daemon is free, or the
 * proofs would expire too early, the query is sent when the step is ready.
 */

/* Time by which tasks exceed their declared run time. */
#define OVERRUN_MS 500

/* Long queries would keep daemons from urgent ones. */
static bool
is_short (const CellStage *stage)
{
  const MuxApprovalSpec *approval = &stage->job->spec->queue.approval;

  return approval->required
         && cell_approval_query_is_short (stage, CELL_CANDIDATES_AHEAD_MIN);
}

/* Returns the longest expected time of the running steps that @stage depends
 * on, or -1 if some of their tasks have not been sent to workers. */
static int64_t
longest_dependency_ms (const CellStage *stage)
{
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < stage->step; i++)
    {
      const CellStage *before
          = cell_job_stage (stage->job, stage->occurrence, i);

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
can_query_ahead (const CellStage *stage)
{
  int64_t longest_ms = longest_dependency_ms (stage);

  return stage->tasks_left > 0 && !stage->ready && !stage->query_pending
         && !stage->spec->gang && stage->approval_count == 0 && longest_ms > 0
         && longest_ms + OVERRUN_MS
                <= (int64_t) stage->job->spec->queue.approval.valid_ms;
}

static void
query_candidates (MuxCell *cell, CellStage *stage)
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

  if (!is_short (placed) || !cell_traffic_allows_ahead (cell) || job->cancelled
      || job->failed)
    return;
  for (uint32_t i = placed->step + 1; i < job->spec->step_count; i++)
    {
      CellStage *stage = cell_job_stage (job, placed->occurrence, i);

      if ((stage->spec->after >> placed->step & 1) != 0
          && can_query_ahead (stage))
        query_candidates (cell, stage);
    }
}
