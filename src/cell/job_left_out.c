#include "job_memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Jobs that the planner has no memory for.  The store holds more than one
 * instance can plan if an earlier version accepted it, or a larger instance.
 * Such jobs stay in the store, and their runs' ends are kept as those of
 * unreadable jobs, see unreadable.c.  Once there is memory, the table of jobs
 * is searched for the most urgent of them.
 */

/* A search begins once this part of the memory is free, */
#define FREE_PART 16
/* and no sooner than this after the last one. */
#define SEARCH_INTERVAL_MS 2000
/* After a call that failed. */
#define RETRY_MS 200
/* To make room for more urgent jobs, a takeover leaves so many of the others
 * out that this part becomes free. */
#define LEAVE_PART 8

static bool
fits (const MuxCell *cell, uint64_t bytes)
{
  return cell->job_memory.used_bytes + bytes
         <= cell_job_memory_own_limit (cell);
}

/* Time of day by which the job is promised to end. */
static int64_t
promised_end_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  int64_t begin_ms
      = spec->repetitions > 0 && spec->first_due_ms > spec->accepted_wall_ms
            ? spec->first_due_ms
            : spec->accepted_wall_ms;

  return begin_ms + cell_promised_duration_ms (cell, spec);
}

/* Return: negative: @a is planned before @b. */
static int
compare (const MuxCell *cell, const MuxJobSpec *a, const MuxJobSpec *b)
{
  int64_t a_ms;
  int64_t b_ms;

  if (a->queue.priority != b->queue.priority)
    return a->queue.priority < b->queue.priority ? -1 : 1;
  a_ms = promised_end_ms (cell, a);
  b_ms = promised_end_ms (cell, b);
  if (a_ms != b_ms)
    return a_ms < b_ms ? -1 : 1;
  return strcmp (a->id, b->id);
}

static void
note_left_out (MuxCell *cell, const char *id)
{
  CellJobMemory *memory = &cell->job_memory;

  if (!memory->left_out)
    cell_log (cell, "jobs_left_out", "{s:s, s:I, s:I}", "first", id, "used",
              (json_int_t) memory->used_bytes, "limit",
              (json_int_t) cell_job_memory_own_limit (cell));
  memory->left_out = true;
  mux_count (cell->options.counters, MUX_COUNT_JOBS_LEFT_OUT, 1);
  cell_unreadable_add (cell, id, true);
}

/* A cancelled job needs its memory for a moment only, and one whose runs are
 * known could not be left out without them. */
static bool
may_be_left_out (const CellJob *job)
{
  return !job->cancelled && job->booking_count == 0;
}

static CellJob *
least_urgent (const MuxCell *cell)
{
  CellJob *least = NULL;
  CellJob *job;
  CellJob *next;

  HASH_ITER (hh, cell->jobs, job, next)
  if (may_be_left_out (job)
      && (least == NULL || compare (cell, job->spec, least->spec) > 0))
    least = job;
  return least;
}

static int
by_urgency (const void *a, const void *b, void *cell)
{
  return compare (cell, (*(CellJob *const *) a)->spec,
                  (*(CellJob *const *) b)->spec);
}

/* Leaves out jobs that are less urgent than @spec, the least urgent first. */
static void
make_room (MuxCell *cell, const MuxJobSpec *spec, uint64_t bytes)
{
  uint64_t limit = cell_job_memory_own_limit (cell);
  uint64_t used_max = limit - limit / LEAVE_PART;
  uint32_t count = 0;
  CellJob **list;
  CellJob *job;
  CellJob *next;

  job = least_urgent (cell);
  if (job == NULL || compare (cell, job->spec, spec) <= 0)
    return;
  list = calloc (HASH_COUNT (cell->jobs), sizeof (CellJob *));
  if (list == NULL)
    return;
  HASH_ITER (hh, cell->jobs, job, next)
  if (may_be_left_out (job))
    list[count++] = job;
  qsort_r (list, count, sizeof (CellJob *), by_urgency, cell);
  while (count > 0 && cell->job_memory.used_bytes + bytes > used_max
         && compare (cell, list[count - 1]->spec, spec) > 0)
    {
      char id[MUX_JOB_ID_LEN];

      job = list[--count];
      snprintf (id, sizeof id, "%s", job->id);
      cell_job_remove (cell, job);
      note_left_out (cell, id);
    }
  free (list);
}

bool
cell_job_leave_out (MuxCell *cell, MuxJobSpec *spec)
{
  uint64_t bytes = cell_job_bytes (spec);

  if (fits (cell, bytes))
    return false;
  if (cell->role == CELL_LOADING)
    make_room (cell, spec, bytes);
  if (fits (cell, bytes))
    return false;
  note_left_out (cell, spec->id);
  mux_job_free (spec);
  return true;
}

static void
drop_last (CellLeftOut *search)
{
  CellLeftOutJob *last = &search->job[--search->count];

  search->bytes -= cell_job_bytes (last->spec);
  search->others++;
  mux_job_free (last->spec);
}

/* Takes @spec over and keeps it if it is among the most urgent jobs that fit.
 */
static void
consider (MuxCell *cell, MuxJobSpec *spec, uint64_t version)
{
  CellLeftOut *search = &cell->left_out;
  uint32_t at = search->count;

  while (at > 0 && compare (cell, spec, search->job[at - 1].spec) < 0)
    at--;
  if (search->count == CELL_LEFT_OUT_JOBS_MAX && at < search->count)
    drop_last (search);
  if (search->count == CELL_LEFT_OUT_JOBS_MAX)
    {
      search->others++;
      mux_job_free (spec);
      return;
    }
  memmove (&search->job[at + 1], &search->job[at],
           (search->count - at) * sizeof search->job[0]);
  search->job[at] = (CellLeftOutJob){ .spec = spec, .version = version };
  search->count++;
  search->bytes += cell_job_bytes (spec);
  while (search->count > 1 && !fits (cell, search->bytes))
    drop_last (search);
}

static void
consider_row (MuxCell *cell, const MuxCellRow *row)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  MuxJobSpec *spec;
  json_t *json;

  if (!mux_job_id_valid (row->key) || cell_job_find (cell, row->key) != NULL
      || cell_job_ended_recently (cell, row->key)
      || cell_unreadable_is_recovering (cell, row->key))
    return;
  json = cell_json_from_blob (row->value);
  cell_job_row_restore (json);
  spec = mux_job_from_json (json, &findings);
  json_decref (json);
  if (spec != NULL && strcmp (spec->id, row->key) == 0)
    consider (cell, spec, row->version);
  else
    mux_job_free (spec);
}

/* The row of a job comes before that of its cancel. */
static void
cancel_found (MuxCell *cell, const MuxCellRow *row)
{
  size_t len = strlen (row->key) - 1;
  char id[MUX_ROW_NAME_LEN];

  snprintf (id, sizeof id, "%.*s", (int) len, row->key);
  cell_unreadable_cancel (cell, id);
  for (uint32_t i = 0; i < cell->left_out.count; i++)
    if (strcmp (cell->left_out.job[i].spec->id, id) == 0)
      cell->left_out.job[i].cancelled = true;
}

/* The last job is read even if it alone does not fit: it would be left out
 * forever, and nothing else runs by then. */
static bool
may_be_read (const MuxCell *cell, const CellLeftOutJob *job)
{
  return fits (cell, cell_job_bytes (job->spec)) || cell->jobs == NULL;
}

static void
end_search (MuxCell *cell)
{
  CellLeftOut *search = &cell->left_out;

  cell_log (cell, "left_out_jobs_read", "{s:i, s:i}", "read",
            (int) search->count, "others", (int) search->others);
  cell->job_memory.left_out = search->count > 0 || search->others > 0;
  for (uint32_t i = 0; i < search->count; i++)
    {
      CellLeftOutJob *job = &search->job[i];
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "%s", job->spec->id);
      if (!may_be_read (cell, job)
          || !cell_unreadable_recover (cell, job->spec, job->version))
        mux_job_free (job->spec);
      else if (job->cancelled)
        cell_unreadable_cancel (cell, id);
    }
  *search = (CellLeftOut){ .next_ms = cell->time.now_ms + SEARCH_INTERVAL_MS };
}

static void
page_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellLeftOut *search = &cell->left_out;

  (void) pending;
  search->busy = false;
  if (reply->status != MUX_CELL_OK)
    {
      search->next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (cell_row_is_cancel (&reply->row[i]))
      cancel_found (cell, &reply->row[i]);
    else
      consider_row (cell, &reply->row[i]);
  if (cell_next_page (search->from, reply))
    return;
  search->from[0] = 0;
  if (++search->part == CELL_PARTS)
    end_search (cell);
}

static void
read_page (MuxCell *cell)
{
  CellLeftOut *search = &cell->left_out;
  CellPending pending = { .on_reply = page_read, .term = cell->term };
  MuxCellCall *call
      = cell_scan_call (MUX_TABLE_JOBS, cell->part[search->part].name);

  if (call == NULL)
    return;
  search->active = true;
  snprintf (call->from, sizeof call->from, "%s", search->from);
  search->busy = cell_call (cell, call, &pending);
  if (!search->busy)
    search->next_ms = cell->time.now_ms + RETRY_MS;
}

static bool
is_due (const MuxCell *cell)
{
  uint64_t limit = cell_job_memory_own_limit (cell);

  if (cell->left_out.active)
    return true;
  return cell->job_memory.left_out
         && (cell->job_memory.used_bytes <= limit - limit / FREE_PART
             || cell->jobs == NULL);
}

void
cell_jobs_left_out_tick (MuxCell *cell)
{
  if (!cell->left_out.busy && cell->time.now_ms >= cell->left_out.next_ms
      && is_due (cell))
    read_page (cell);
}

void
cell_jobs_left_out_free (MuxCell *cell)
{
  for (uint32_t i = 0; i < cell->left_out.count; i++)
    mux_job_free (cell->left_out.job[i].spec);
  cell->left_out = (CellLeftOut){ .count = 0 };
  cell->job_memory.left_out = false;
}
