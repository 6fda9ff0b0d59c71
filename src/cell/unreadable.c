#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Jobs whose row can't be read, as another writer or another version of this
 * program may leave it.  They are not started, but runs of theirs may go on and
 * end.  Such ends are stored in a row beside the job's progress, and are
 * applied once a planner can read the job.
 *
 * The ends have to be kept: a worker forgets an end that is acknowledged, and a
 * task that is done would run again.  Left unacknowledged, it would hold up all
 * later ends of that worker.
 */

/* End of the key range that holds a job's progress and its row of ends: '~'
 * sorts after both. */
#define KEY_RANGE_END "~"
/* Unreadable jobs recorded without ends, of some 200 bytes each.  Beyond that
 * it is only known that there are more. */
#define UNREADABLE_MAX 4096
/* So many times as many are recorded with ends: 64 K of 500 bytes, a quarter of
 * a daemon's memory.  Beyond that ends are left with their workers. */
#define WITH_ENDS_FACTOR 16
/* After a read of the progress that failed or came too early. */
#define RETRY_MS 100
#define MS_PER_S 1000

static CellUnreadable *
find (MuxCell *cell, const char *id)
{
  CellUnreadable *unreadable;

  HASH_FIND_STR (cell->unreadable, id, unreadable);
  return unreadable;
}

static uint32_t
unreadable_max (const MuxCell *cell)
{
  return cell->options.unreadable_max != 0 ? cell->options.unreadable_max
                                           : UNREADABLE_MAX;
}

/* Return: NULL when there are @max already, or when out of memory. */
static CellUnreadable *
find_or_add (MuxCell *cell, const char *id, uint32_t max)
{
  CellUnreadable *unreadable = find (cell, id);

  if (unreadable != NULL)
    return unreadable;
  unreadable = HASH_COUNT (cell->unreadable) < max
                   ? calloc (1, sizeof *unreadable)
                   : NULL;
  if (unreadable == NULL)
    return NULL;
  snprintf (unreadable->id, sizeof unreadable->id, "%s", id);
  unreadable->part = cell_part_of (unreadable->id);
  HASH_ADD_STR (cell->unreadable, id, unreadable);
  return unreadable;
}

static void
drop_rows (CellUnreadable *unreadable)
{
  for (uint32_t i = 0; i < unreadable->row_count; i++)
    mux_blob_unref (unreadable->row[i].value);
  free (unreadable->row);
  unreadable->row = NULL;
  unreadable->row_count = 0;
  unreadable->from[0] = 0;
}

static void
unreadable_free (MuxCell *cell, CellUnreadable *unreadable)
{
  if (unreadable->dirty)
    cell->part[unreadable->part].unreadable_dirty--;
  HASH_DEL (cell->unreadable, unreadable);
  mux_job_free (unreadable->spec);
  cell_unreadable_free_ends (unreadable);
  drop_rows (unreadable);
  free (unreadable);
}

void
cell_unreadable_free (MuxCell *cell)
{
  CellUnreadable *unreadable;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unreadable, next)
  unreadable_free (cell, unreadable);
  cell->unreadable_overflow = false;
  cell->unreadable_ends_overflow = false;
}

void
cell_unreadable_add (MuxCell *cell, const char *id, bool has_row)
{
  CellUnreadable *unreadable = find_or_add (cell, id, unreadable_max (cell));

  if (unreadable == NULL)
    {
      cell->unreadable_overflow = true;
      cell_log (cell, "unread_job_passed", "{s:s, s:i}", "job", id, "kept",
                (int) HASH_COUNT (cell->unreadable));
      return;
    }
  unreadable->has_row = unreadable->has_row || has_row;
  /* It was readable for a moment. */
  mux_job_free (unreadable->spec);
  unreadable->spec = NULL;
}

void
cell_unreadable_cancel (MuxCell *cell, const char *id)
{
  CellUnreadable *unreadable = find (cell, id);

  if (unreadable != NULL)
    unreadable->cancelled = true;
}

bool
cell_unreadable_is_recovering (MuxCell *cell, const char *id)
{
  const CellUnreadable *unreadable = find (cell, id);

  return unreadable != NULL && unreadable->spec != NULL;
}

static void
mark_dirty (MuxCell *cell, CellUnreadable *unreadable)
{
  CellPart *part = &cell->part[unreadable->part];

  cell->change_seq++;
  if (unreadable->dirty)
    {
      unreadable->dirty_again = unreadable->in_commit;
      return;
    }
  unreadable->dirty = true;
  if (part->dirty == NULL && part->unreadable_dirty == 0)
    part->dirty_since_ms = cell->time.now_ms;
  part->unreadable_dirty++;
}

/* Other ends change nothing, unless they left a checkpoint. */
static bool
is_relevant (const MuxRunReport *report)
{
  return report->end == MUX_RUN_DONE || report->end == MUX_RUN_FAILED
         || report->checkpoint != NULL;
}

/*
 * Finds the unreadable job that an end belongs to, if any.
 *
 * Unless all unreadable jobs are recorded, any job not known here may be one of
 * them, and its ends are kept, too: otherwise its tasks could run twice.  If
 * there are too many the end is left with its worker.  So is the end of a job
 * whose stored ends may not be recorded here: a row with the new end alone
 * would replace them.
 * @unreadable: set to the job; NULL: the end need not be kept
 * Return: false: the end can't be kept.
 */
static bool
find_for_end (MuxCell *cell, const char *id, CellUnreadable **unreadable)
{
  *unreadable = find (cell, id);
  if (*unreadable != NULL || !cell->unreadable_overflow
      || cell_job_ended_recently (cell, id) || cell_job_find (cell, id) != NULL)
    return true;
  if (!cell->unreadable_ends_overflow)
    *unreadable
        = find_or_add (cell, id, unreadable_max (cell) * WITH_ENDS_FACTOR);
  return *unreadable != NULL;
}

bool
cell_unreadable_keep_end (MuxCell *cell, const MuxRunReport *report)
{
  CellUnreadable *unreadable;
  CellUnreadableEnd end
      = { .task = report->task, .run = report->run, .end = report->end };

  if (!is_relevant (report))
    return true;
  if (!find_for_end (cell, report->task.job, &unreadable))
    {
      cell_log (cell, "unread_end_left", "{s:s, s:i}", "job", report->task.job,
                "run", (int) report->run);
      return false;
    }
  if (unreadable == NULL)
    return true;
  end.checkpoint = report->checkpoint;
  if (!cell_unreadable_add_end (unreadable, &end))
    return true;
  cell_log (cell, "unread_job_end", "{s:s, s:i, s:i, s:i, s:s}", "job",
            unreadable->id, "step", (int) end.task.step, "task",
            (int) end.task.index, "run", (int) end.run, "end",
            mux_run_end_name (end.end));
  mark_dirty (cell, unreadable);
  return true;
}

bool
cell_unreadable_add_rows (MuxCell *cell,
                          const CellPart *part,
                          MuxCellCall *call,
                          uint32_t *items)
{
  uint32_t rows = 0;
  uint32_t max = cell_commit_items_max (part);
  CellUnreadable *unreadable;
  CellUnreadable *next;

  if (part->unreadable_dirty == 0)
    return true;
  HASH_ITER (hh, cell->unreadable, unreadable, next)
  {
    if (!unreadable->dirty || &cell->part[unreadable->part] != part)
      continue;
    if (rows == CELL_UNREADABLE_ROWS_MAX
        || (part->commit_narrowed > 0 && rows == max))
      return false;
    cell_unreadable_put_row (cell, call, unreadable);
    rows++;
    (*items)++;
  }
  return true;
}

void
cell_unreadable_committed (MuxCell *cell, CellPart *part, bool stored)
{
  CellUnreadable *unreadable;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unreadable, next)
  {
    if (!unreadable->in_commit || &cell->part[unreadable->part] != part)
      continue;
    unreadable->in_commit = false;
    if (!stored || unreadable->dirty_again)
      {
        unreadable->dirty_again = false;
        continue;
      }
    unreadable->dirty = false;
    part->unreadable_dirty--;
    unreadable->stored_wall_ms = cell->time.wall_ms;
    if (unreadable->expired)
      unreadable_free (cell, unreadable);
  }
}

/* Applies the end to the task of the job, which can be read now. */
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

/* If some ends were not kept, any task may be done, and none may run again: the
 * job then counts as one with unreadable progress. */
static void
apply_ends (MuxCell *cell, CellJob *job, const CellUnreadable *unreadable)
{
  for (uint32_t i = 0; i < unreadable->end_count; i++)
    apply_end (cell, job, &unreadable->end[i]);
  job->progress_unreadable = job->progress_unreadable || unreadable->overflow;
  job->unreadable_ends_stored = unreadable->stored_wall_ms != 0;
  cell_job_mark_dirty (cell, job);
}

bool
cell_unreadable_load_row (MuxCell *cell, const MuxCellRow *row)
{
  char id[MUX_ROW_NAME_LEN];
  CellUnreadable *unreadable;
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
      apply_ends (cell, job, &own);
      cell_unreadable_free_ends (&own);
      return true;
    }
  unreadable = find_or_add (cell, id, unreadable_max (cell) * WITH_ENDS_FACTOR);
  if (unreadable != NULL)
    cell_unreadable_read_row (cell, row, unreadable);
  else
    cell->unreadable_overflow = cell->unreadable_ends_overflow = true;
  return true;
}

/* Keeps the rows of a page until all have been read.
 * Return: false if out of memory. */
static bool
keep_rows (CellUnreadable *unreadable, const MuxCellReply *reply)
{
  MuxCellRow *list
      = realloc (unreadable->row,
                 (unreadable->row_count + reply->row_count + 1) * sizeof *list);

  if (list == NULL)
    return false;
  unreadable->row = list;
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      list[unreadable->row_count] = reply->row[i];
      list[unreadable->row_count++].value = mux_blob_ref (reply->row[i].value);
    }
  return true;
}

/* Applies the job's progress rows, then its ends: their keys are in that order.
 */
static void
take_progress_rows (MuxCell *cell, CellUnreadable *unreadable, CellJob *job)
{
  char id[MUX_ROW_NAME_LEN];

  for (uint32_t i = 0; i < unreadable->row_count; i++)
    {
      const MuxCellRow *row = &unreadable->row[i];

      if (strcmp (row->key, job->id) == 0)
        cell_progress_row (cell, row);
      else if (cell_unreadable_row_job (row->key, id)
               && strcmp (id, job->id) == 0)
        cell_unreadable_read_row (cell, row, unreadable);
      else
        (void) cell_progress_split_row (cell, row);
    }
  apply_ends (cell, job, unreadable);
}

static void read_progress (MuxCell *cell, CellUnreadable *unreadable);

static void
progress_read (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  CellUnreadable *unreadable = find (cell, pending->task.job);
  CellJob *job;
  bool cancelled;

  if (unreadable == NULL)
    return;
  unreadable->reading = false;
  unreadable->next_ms = cell->time.now_ms + RETRY_MS;
  /* An end that came meanwhile is stored first: an outstanding commit would
   * write the row again after its removal. */
  if (reply->status != MUX_CELL_OK || unreadable->spec == NULL
      || unreadable->in_commit || !keep_rows (unreadable, reply))
    {
      drop_rows (unreadable);
      return;
    }
  if (cell_next_page (unreadable->from, reply))
    {
      read_progress (cell, unreadable);
      return;
    }
  job = cell_job_add (cell, unreadable->spec, unreadable->version);
  unreadable->spec = NULL;
  if (job == NULL)
    return;
  job->predates_term = true;
  take_progress_rows (cell, unreadable, job);
  cell_log (cell, "unread_job_back", "{s:s, s:i}", "job", job->id, "ends",
            (int) unreadable->end_count);
  cancelled = unreadable->cancelled;
  unreadable_free (cell, unreadable);
  if (cancelled)
    cell_job_cancel (cell, job);
  cell_job_resume (cell, job);
}

static void
read_progress (MuxCell *cell, CellUnreadable *unreadable)
{
  MuxCellCall *call
      = cell_scan_call (MUX_TABLE_PROGRESS, cell->part[unreadable->part].name);
  CellPending pending = { .on_reply = progress_read,
                          .term = cell->term,
                          .part = unreadable->part };

  unreadable->next_ms = cell->time.now_ms + RETRY_MS;
  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s",
            unreadable->from[0] != 0 ? unreadable->from : unreadable->id);
  snprintf (call->to, sizeof call->to, "%s" KEY_RANGE_END, unreadable->id);
  snprintf (pending.task.job, sizeof pending.task.job, "%s", unreadable->id);
  unreadable->reading = cell_call (cell, call, &pending);
}

/* By its row alone a job that has become readable looks like one that was just
 * stored.  Its progress is read first, so that tasks which are done do not run
 * again. */
bool
cell_unreadable_recover (MuxCell *cell, MuxJobSpec *spec, uint64_t version)
{
  CellUnreadable *unreadable = find (cell, spec->id);

  if (cell->role != CELL_PLANNING
      || (unreadable == NULL && !cell->unreadable_overflow))
    return false;
  unreadable
      = find_or_add (cell, spec->id, unreadable_max (cell) * WITH_ENDS_FACTOR);
  if (unreadable == NULL)
    {
      cell_log (cell, "job_dropped", "{s:s, s:s}", "key", spec->id, "why",
                "too many unreadable jobs");
      mux_job_free (spec);
      return true;
    }
  mux_job_free (unreadable->spec);
  unreadable->spec = spec;
  unreadable->version = version;
  if (!unreadable->reading)
    read_progress (cell, unreadable);
  return true;
}

/* Whether the job's row is gone and its stored ends are old: nothing else would
 * remove them.  Unless all unreadable rows are recorded it may exist. */
static bool
is_abandoned (const MuxCell *cell, const CellUnreadable *unreadable)
{
  int64_t keep_ms = (int64_t) cell->options.ended_retention_s * MS_PER_S;

  return !cell->unreadable_overflow && !unreadable->has_row
         && unreadable->spec == NULL && unreadable->stored_wall_ms != 0
         && cell->time.wall_ms - unreadable->stored_wall_ms > keep_ms;
}

void
cell_unreadable_tick (MuxCell *cell)
{
  CellUnreadable *unreadable;
  CellUnreadable *next;

  HASH_ITER (hh, cell->unreadable, unreadable, next)
  {
    if (unreadable->spec != NULL && !unreadable->reading
        && cell->time.now_ms >= unreadable->next_ms)
      read_progress (cell, unreadable);
    if (unreadable->expired || unreadable->dirty
        || !is_abandoned (cell, unreadable))
      continue;
    unreadable->expired = true;
    mark_dirty (cell, unreadable);
  }
}
