#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Jobs whose row can't be read, as another writer or another version of this
 * program may leave it.  Nothing of them is started, but their tasks may run
 * and end: such ends are stored beside the job's progress, and count once a
 * planner can read the job.
 *
 * Guards against a task that is done and runs again: an end that is
 * acknowledged is forgotten by its worker.  Left unacknowledged it would hold
 * up all later ends of that worker.
 */

/* Behind a job's id: sorts after that key. */
#define BEHIND "~"
/* Jobs remembered for their rows alone, of some 200 bytes each; of others it is
 * known only that there are some. */
#define UNREAD_MAX 4096
/* Jobs kept with ends, for each of those: 64 K of 500 bytes, a quarter of a
 * daemon's memory.  Above, ends stay with their workers. */
#define ENDED_FACTOR 16
/* Ends kept of each: a row holds 64 KB, an end up to 110 bytes. */
#define ENDS_MAX 400
#define RETRY_MS 100
#define MS_PER_S 1000

static CellUnreadable *
find (MuxCell *cell, const char *id)
{
  CellUnreadable *unread;

  HASH_FIND_STR (cell->unreadable, id, unread);
  return unread;
}

static uint32_t
noted_max (const MuxCell *cell)
{
  return cell->options.unreadable_max != 0 ? cell->options.unreadable_max
                                           : UNREAD_MAX;
}

/* NULL: there are @max, or memory is out. */
static CellUnreadable *
find_or_add (MuxCell *cell, const char *id, uint32_t max)
{
  CellUnreadable *unread = find (cell, id);

  if (unread != NULL)
    return unread;
  unread
      = HASH_COUNT (cell->unreadable) < max ? calloc (1, sizeof *unread) : NULL;
  if (unread == NULL)
    return NULL;
  snprintf (unread->id, sizeof unread->id, "%s", id);
  unread->part = cell_part_of (unread->id);
  HASH_ADD_STR (cell->unreadable, id, unread);
  return unread;
}

static void
unread_free (MuxCell *cell, CellUnreadable *unread)
{
  if (unread->dirty)
    cell->part[unread->part].unreadable_dirty--;
  HASH_DEL (cell->unreadable, unread);
  mux_job_free (unread->spec);
  free (unread->end);
  free (unread);
}

void
cell_unreadable_free (MuxCell *cell)
{
  CellUnreadable *unread;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unread, next)
  unread_free (cell, unread);
  cell->unreadable_overflow = false;
  cell->unreadable_ends_overflow = false;
}

void
cell_unreadable_add (MuxCell *cell, const char *id, bool seen)
{
  CellUnreadable *unread = find_or_add (cell, id, noted_max (cell));

  if (unread == NULL)
    {
      cell->unreadable_overflow = true;
      cell_log (cell, "unread_job_passed", "{s:s, s:i}", "job", id, "kept",
                (int) HASH_COUNT (cell->unreadable));
      return;
    }
  unread->has_row = unread->has_row || seen;
  /* It could be read for a moment. */
  mux_job_free (unread->spec);
  unread->spec = NULL;
}

static void
mark_dirty (MuxCell *cell, CellUnreadable *unread)
{
  CellPart *part = &cell->part[unread->part];

  cell->change_seq++;
  if (unread->dirty)
    {
      unread->dirty_again = unread->in_commit;
      return;
    }
  unread->dirty = true;
  if (part->dirty == NULL && part->unreadable_dirty == 0)
    part->dirty_since_ms = cell->time.now_ms;
  part->unreadable_dirty++;
}

bool
cell_unreadable_add_end (CellUnreadable *unread, const CellUnreadableEnd *end)
{
  CellUnreadableEnd *list;

  for (uint32_t i = 0; i < unread->end_count; i++)
    if (unread->end[i].run == end->run
        && unread->end[i].task.occurrence == end->task.occurrence
        && unread->end[i].task.step == end->task.step
        && unread->end[i].task.index == end->task.index)
      return false;
  list = unread->end_count < ENDS_MAX
             ? realloc (unread->end, (unread->end_count + 1) * sizeof *list)
             : NULL;
  if (list == NULL)
    {
      unread->overflow = true;
      return true;
    }
  unread->end = list;
  list[unread->end_count++] = *end;
  return true;
}

/* Others change nothing but for what they saved. */
static bool
counts (const MuxRunReport *report)
{
  return report->end == MUX_RUN_DONE || report->end == MUX_RUN_FAILED
         || report->checkpoint[0] != 0;
}

/*
 * The job that the end is one of, if it may be one that can't be read.
 *
 * Guards against a bound that turns into a task that runs twice: where not all
 * such jobs are remembered, any job that is not known may be one of them, and
 * its end is kept as theirs are.  An end too many for that is left with its
 * worker.  So is one of a job whose stored ends may not have been kept: a row
 * made of the new one alone would replace them.
 * Return: false: it can't be kept; else @unread is NULL where no end needs to
 *   be.
 */
static bool
take_unread (MuxCell *cell, const char *id, CellUnreadable **unread)
{
  *unread = find (cell, id);
  if (*unread != NULL || !cell->unreadable_overflow
      || cell_job_ended_recently (cell, id) || cell_job_find (cell, id) != NULL)
    return true;
  if (!cell->unreadable_ends_overflow)
    *unread = find_or_add (cell, id, noted_max (cell) * ENDED_FACTOR);
  return *unread != NULL;
}

bool
cell_unreadable_keep_end (MuxCell *cell, const MuxRunReport *report)
{
  CellUnreadable *unread;
  CellUnreadableEnd end
      = { .task = report->task, .run = report->run, .end = report->end };

  if (!counts (report))
    return true;
  if (!take_unread (cell, report->task.job, &unread))
    {
      cell_log (cell, "unread_end_left", "{s:s, s:i}", "job", report->task.job,
                "run", (int) report->run);
      return false;
    }
  if (unread == NULL)
    return true;
  snprintf (end.checkpoint, sizeof end.checkpoint, "%s", report->checkpoint);
  if (!cell_unreadable_add_end (unread, &end))
    return true;
  cell_log (cell, "unread_job_end", "{s:s, s:i, s:i, s:i, s:s}", "job",
            unread->id, "step", (int) end.task.step, "task",
            (int) end.task.index, "run", (int) end.run, "end",
            mux_run_end_name (end.end));
  mark_dirty (cell, unread);
  return true;
}

bool
cell_unreadable_add_rows (MuxCell *cell,
                          const CellPart *part,
                          MuxCellCall *call)
{
  uint32_t rows = 0;
  CellUnreadable *unread;
  CellUnreadable *next;

  if (part->unreadable_dirty == 0)
    return true;
  HASH_ITER (hh, cell->unreadable, unread, next)
  {
    if (!unread->dirty || &cell->part[unread->part] != part)
      continue;
    if (rows == CELL_UNREADABLE_ROWS_MAX)
      return false;
    cell_unreadable_put_row (cell, call, unread);
    rows++;
  }
  return true;
}

void
cell_unreadable_committed (MuxCell *cell, CellPart *part, bool stored)
{
  CellUnreadable *unread;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unread, next)
  {
    if (!unread->in_commit || &cell->part[unread->part] != part)
      continue;
    unread->in_commit = false;
    if (!stored || unread->dirty_again)
      {
        unread->dirty_again = false;
        continue;
      }
    unread->dirty = false;
    part->unreadable_dirty--;
    unread->stored_wall_ms = cell->time.wall_ms;
    if (unread->expired)
      unread_free (cell, unread);
  }
}

/* What is left of the task once that run has ended so. */
static void
apply_end (MuxCell *cell, CellJob *job, const CellUnreadableEnd *end)
{
  MuxTaskRef ref = end->task;
  CellTask *task;

  if (ref.occurrence >= cell_occurrences_due (cell, job))
    return;
  snprintf (ref.job, sizeof ref.job, "%s", job->id);
  cell_occurrences_restore (cell, job, ref.occurrence + 1);
  task = cell_task_find (cell, &ref);
  if (task == NULL)
    return;
  job->started = true;
  cell_queue_count_update (cell, job);
  cell_end_apply (cell, task, end->run, end->end, end->checkpoint);
}

/* Ends that are missing may be good ones: none of its tasks may run again. */
static void
apply (MuxCell *cell, CellJob *job, const CellUnreadable *unread)
{
  for (uint32_t i = 0; i < unread->end_count; i++)
    apply_end (cell, job, &unread->end[i]);
  job->progress_unreadable = job->progress_unreadable || unread->overflow;
  job->unreadable_ends_stored = unread->stored_wall_ms != 0;
  cell_job_mark_dirty (cell, job);
}

bool
cell_unreadable_load_row (MuxCell *cell, const MuxCellRow *row)
{
  char id[MUX_ROW_NAME_LEN];
  CellUnreadable *unread;
  CellUnreadable own = { .end_count = 0 };
  CellJob *job;

  if (!cell_unreadable_row_job (row->key, id))
    return false;
  if (!mux_job_id_valid (id))
    return true;
  job = cell_job_find (cell, id);
  if (job != NULL)
    {
      cell_unreadable_read_row (cell, row, &own);
      apply (cell, job, &own);
      free (own.end);
      return true;
    }
  unread = find_or_add (cell, id, noted_max (cell) * ENDED_FACTOR);
  if (unread != NULL)
    cell_unreadable_read_row (cell, row, unread);
  else
    cell->unreadable_overflow = cell->unreadable_ends_overflow = true;
  return true;
}

/* The rows beside the job, its progress before its ends. */
static void
take_rows (MuxCell *cell,
           CellUnreadable *unread,
           CellJob *job,
           const MuxCellReply *reply)
{
  char id[MUX_ROW_NAME_LEN];

  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->row[i].key, job->id) == 0)
      cell_progress_row (cell, &reply->row[i]);
    else if (cell_unreadable_row_job (reply->row[i].key, id)
             && strcmp (id, job->id) == 0)
      cell_unreadable_read_row (cell, &reply->row[i], unread);
  apply (cell, job, unread);
}

static void
beside_read (MuxCell *cell,
             const CellPending *pending,
             const MuxCellReply *reply)
{
  CellUnreadable *unread = find (cell, pending->task.job);
  CellJob *job;

  if (unread == NULL)
    return;
  unread->reading = false;
  unread->next_ms = cell->time.now_ms + RETRY_MS;
  /* An end that came meanwhile is stored first: a commit on its way would
   * bring the row back behind its removal. */
  if (reply->status != MUX_CELL_OK || unread->spec == NULL || unread->in_commit)
    return;
  job = cell_job_add (cell, unread->spec, unread->version);
  unread->spec = NULL;
  if (job == NULL)
    return;
  job->predates_term = true;
  take_rows (cell, unread, job, reply);
  cell_log (cell, "unread_job_back", "{s:s, s:i}", "job", job->id, "ends",
            (int) unread->end_count);
  unread_free (cell, unread);
  cell_job_resume (cell, job);
}

static void
read_beside (MuxCell *cell, CellUnreadable *unread)
{
  MuxCellCall *call
      = cell_scan_call (MUX_TABLE_PROGRESS, cell->part[unread->part].name);
  CellPending pending
      = { .on_reply = beside_read, .term = cell->term, .part = unread->part };

  unread->next_ms = cell->time.now_ms + RETRY_MS;
  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", unread->id);
  snprintf (call->to, sizeof call->to, "%s" BEHIND, unread->id);
  snprintf (pending.task.job, sizeof pending.task.job, "%s", unread->id);
  unread->reading = cell_call (cell, call, &pending);
}

/*
 * Guards against a task that is done and runs again: to its row alone a job
 * that can be read again looks like one that was just stored, of which nothing
 * has run.
 */
bool
cell_unreadable_recover (MuxCell *cell, MuxJobSpec *spec, uint64_t version)
{
  CellUnreadable *unread = find (cell, spec->id);

  if (cell->role != CELL_PLANNING
      || (unread == NULL && !cell->unreadable_overflow))
    return false;
  unread = find_or_add (cell, spec->id, noted_max (cell) * ENDED_FACTOR);
  if (unread == NULL)
    {
      cell_log (cell, "job_dropped", "{s:s, s:s}", "key", spec->id, "why",
                "too many can't be read");
      mux_job_free (spec);
      return true;
    }
  mux_job_free (unread->spec);
  unread->spec = spec;
  unread->version = version;
  if (!unread->reading)
    read_beside (cell, unread);
  return true;
}

/* Nothing else would ever remove ends whose job's row is gone.  Where not all
 * rows are remembered it may stand. */
static bool
is_abandoned (const MuxCell *cell, const CellUnreadable *unread)
{
  int64_t keep_ms = (int64_t) cell->options.ended_retention_s * MS_PER_S;

  return !cell->unreadable_overflow && !unread->has_row && unread->spec == NULL
         && unread->stored_wall_ms != 0
         && cell->time.wall_ms - unread->stored_wall_ms > keep_ms;
}

void
cell_unreadable_tick (MuxCell *cell)
{
  CellUnreadable *unread;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unread, next)
  {
    if (unread->spec != NULL && !unread->reading
        && cell->time.now_ms >= unread->next_ms)
      read_beside (cell, unread);
    if (unread->expired || unread->dirty || !is_abandoned (cell, unread))
      continue;
    unread->expired = true;
    mark_dirty (cell, unread);
  }
}
