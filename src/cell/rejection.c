#include "cell_private.h"

/*
 * Commits of progress that the store rejects, as malformed or too large.  Such
 * a commit fails each time it is sent, so that it is narrowed down to the job
 * it fails for; the other jobs of the part are committed without that one.
 */

/* A job is given up when its changes were rejected alone this many times, with
 * a commit of the part accepted after each. */
#define REJECTIONS_MAX 3
/* Before a rejected job is tried again. */
#define RETRY_MS 100

uint32_t
cell_commit_items_max (const CellPart *part)
{
  return part->commit_probe ? 0
                            : CELL_COMMIT_ITEMS_MAX >> part->commit_narrowed;
}

/* Moves the job behind the others of its part, which are committed first. */
static void
isolate (MuxCell *cell, CellPart *part, CellJob *job, const char *why)
{
  job->rejections++;
  part->commit_probe = true;
  cell_log (cell, "job_changes_rejected", "{s:s, s:i, s:b, s:s}", "job",
            job->id, "times", (int) job->rejections, "ended", (int) job->ended,
            "why", why);
  DL_DELETE2 (part->dirty, job, dirty_prev, dirty_next);
  DL_APPEND2 (part->dirty, job, dirty_prev, dirty_next);
}

void
cell_commit_rejected (MuxCell *cell, CellPart *part, const MuxCellReply *reply)
{
  CellJob *job;
  CellJob *only = NULL;

  DL_FOREACH2 (part->dirty, job, dirty_next)
  if (job->in_commit)
    only = job;
  part->next_commit_ms = cell->time.now_ms;
  if (part->commit_items > 1)
    {
      do
        part->commit_narrowed++;
      while (cell_commit_items_max (part) >= part->commit_items);
      return;
    }
  part->next_commit_ms += RETRY_MS;
  if (only != NULL)
    isolate (cell, part, only, reply->rejection);
}

/*
 * What is left of the job can't be stored.  It ends as failed, since its caller
 * would otherwise wait for it forever.  If its end is rejected, too, it is kept
 * in memory alone: a successor reads it as it was stored last.
 */
static void
give_up (MuxCell *cell, CellPart *part, CellJob *job)
{
  cell_log (cell, "job_not_storable", "{s:s, s:b}", "job", job->id, "ended",
            (int) job->ended);
  mux_count (cell->options.counters, MUX_COUNT_JOBS_NOT_STORABLE, 1);
  job->rejections = 0;
  if (job->ended)
    {
      DL_DELETE2 (part->dirty, job, dirty_prev, dirty_next);
      job->dirty = false;
      return;
    }
  job->not_storable = true;
  cell_job_fail (cell, job, "not_storable");
}

void
cell_commit_accepted (MuxCell *cell, CellPart *part)
{
  CellJob *job;
  CellJob *next;

  if (part->commit_narrowed > 0)
    part->commit_narrowed--;
  if (!part->commit_probe)
    return;
  part->commit_probe = false;
  DL_FOREACH_SAFE2 (part->dirty, job, next, dirty_next)
  if (job->rejections >= REJECTIONS_MAX)
    give_up (cell, part, job);
}
