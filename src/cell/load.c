#include "cell_private.h"

#include <stdio.h>
#include <string.h>

#define RETRY_MS 100

static void part_tick (MuxCell *cell, CellPart *part);

void
cell_load_begin (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      CellPart *part = &cell->part[i];

      part->fenced = false;
      part->fence_version_unknown = false;
      part->term_version_unknown = false;
      part->reading_fence = false;
      part->dirty = NULL;
      part->unreadable_dirty = 0;
      part->committing = false;
      part->commit_narrowed = 0;
      part->commit_probe = false;
      part->stored_seq = 0;
      part->commit_seq = 0;
      part->load_table = MUX_TABLE_JOBS;
      part->load_busy = false;
      part->load_from[0] = 0;
      part->load_next_ms = 0;
    }
  cell->roster_loaded = false;
  cell->roster_busy = false;
  cell->roster_fence = 0;
  cell->roster_fence_unknown = false;
  cell->roster_from[0] = 0;
  cell->roster_next_ms = 0;
  cell_speeds_begin (cell);
}

static CellPending
pending_for_part (const MuxCell *cell,
                  const CellPart *part,
                  CellReplyHandler on_reply)
{
  return (CellPending){ .on_reply = on_reply,
                        .term = cell->term,
                        .part = (uint32_t) (part - cell->part) };
}

static void
fence_written (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];

  part->reading_fence = false;
  part->load_next_ms = cell->time.now_ms;
  if (reply->status == MUX_CELL_OK)
    {
      part->fence_version = reply->version;
      part->term_version = reply->version;
      part->fenced = true;
      part_tick (cell, part);
    }
  else if (reply->status != MUX_CELL_CONFLICT)
    part->load_next_ms += RETRY_MS;
}

void
cell_fence_add (const MuxCell *cell, const CellPart *part, MuxCellCall *call)
{
  cell_call_expect (call, MUX_TABLE_FENCE, CELL_FENCE_KEY, part->fence_version);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_FENCE, CELL_FENCE_KEY)
      ->value
      = cell_blob_from_json (
          json_pack ("{s:I}", "term", (json_int_t) cell->term));
}

/* With both rows in one commit no predecessor can store progress from then
 * on, nor jobs that it would start. */
static void
write_fence (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call = cell_commit_call (part->name, 3);
  CellPending pending = pending_for_part (cell, part, fence_written);

  if (call == NULL)
    return;
  cell_fence_add (cell, part, call);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_FENCE, CELL_TERM_KEY)
      ->value
      = cell_blob_from_json (
          json_pack ("{s:I}", "term", (json_int_t) cell->term));
  part->reading_fence = cell_call (cell, call, &pending);
}

/*
 * Another writer may leave a fence that can't be parsed, or that names a claim
 * which can't have existed when it was written, as versions rise; no planner
 * could ever replace it. It counts as older than any claim and is overwritten
 * on condition of its version. The claim is read again before any order is
 * sent, as a planner with another version of the program may have written it.
 */
static uint64_t
fence_term (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = cell_row_json (cell, row);
  json_int_t term = json_integer_value (json_object_get (json, "term"));
  bool valid = term > 0 && (uint64_t) term <= row->version;

  if (json != NULL && !valid)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "term");
  json_decref (json);
  if (valid)
    return (uint64_t) term;
  cell_claim_doubt (cell, "fence_unreadable");
  return 0;
}

/* If it is another writer's, or missing, it is overwritten together with the
 * fence, which shows that no successor has fenced the part. */
static bool
is_own_term (const MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = row != NULL ? cell_json_from_blob (row->value) : NULL;
  json_int_t term = json_integer_value (json_object_get (json, "term"));

  json_decref (json);
  return (uint64_t) term == cell->term;
}

static void
fence_read (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];
  const MuxCellRow *fence = cell_reply_find_row (reply, CELL_FENCE_KEY);
  const MuxCellRow *term_row = cell_reply_find_row (reply, CELL_TERM_KEY);
  uint64_t term;

  part->reading_fence = false;
  part->load_next_ms = cell->time.now_ms;
  if (reply->status != MUX_CELL_OK)
    {
      part->load_next_ms += RETRY_MS;
      part->next_commit_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  term = fence != NULL ? fence_term (cell, fence) : 0;
  if (term > cell->term)
    {
      cell_step_down (cell, "fenced");
      return;
    }
  part->fence_version = fence != NULL ? fence->version : 0;
  part->fence_version_unknown = false;
  part->term_version_unknown = false;
  if (term < cell->term || !is_own_term (cell, term_row))
    {
      write_fence (cell, part);
      return;
    }
  part->term_version = term_row->version;
  part->fenced = true;
}

void
cell_fence_read (MuxCell *cell, CellPart *part)
{
  CellPending pending = pending_for_part (cell, part, fence_read);

  part->reading_fence = cell_call (
      cell, cell_scan_call (MUX_TABLE_FENCE, part->name), &pending);
}

/*
 * Another planner that claimed after this one's fence, and fenced the part in
 * turn, may have stored and started jobs that are read here; starting them
 * would run them twice. Jobs younger than the fence are left to the feed,
 * which begins at our own claim and delivers a later claim first. A cancel
 * starts nothing, and counts at once.
 */
static void
job_read (MuxCell *cell, const CellPart *part, const MuxCellRow *row)
{
  if (row->version < part->term_version || cell_row_is_cancel (row))
    cell_jobs_row (cell, row);
}

/* If the job is not known it may be read later: its progress must not be
 * ignored then. */
static void
progress_read (MuxCell *cell, const MuxCellRow *row)
{
  if (cell_unreadable_load_row (cell, row)
      || cell_progress_split_row (cell, row))
    return;
  if (cell_job_find (cell, row->key) != NULL)
    cell_progress_row (cell, row);
  else if (mux_job_id_valid (row->key))
    cell_unreadable_add (cell, row->key, false);
}

static void
part_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];

  part->load_busy = false;
  if (reply->status != MUX_CELL_OK)
    {
      part->load_next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (part->load_table == MUX_TABLE_JOBS)
      job_read (cell, part, &reply->row[i]);
    else
      progress_read (cell, &reply->row[i]);
  if (!cell_next_page (part->load_from, reply))
    part->load_table = part->load_table == MUX_TABLE_JOBS ? MUX_TABLE_PROGRESS
                                                          : MUX_TABLE_COUNT;
  part_tick (cell, part);
}

static void
read_part (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call = cell_scan_call (part->load_table, part->name);
  CellPending pending = pending_for_part (cell, part, part_read);

  if (call == NULL)
    return;
  call->timeout_ms = 2 * CELL_STORE_TIMEOUT_MS;
  snprintf (call->from, sizeof call->from, "%s", part->load_from);
  part->load_busy = cell_call (cell, call, &pending);
}

/* Jobs are read once the fence is written: a predecessor can store none after
 * that. */
static void
part_tick (MuxCell *cell, CellPart *part)
{
  if (part->reading_fence || part->load_busy
      || cell->time.now_ms < part->load_next_ms
      || part->load_table == MUX_TABLE_COUNT)
    return;
  if (!part->fenced)
    cell_fence_read (cell, part);
  else
    read_part (cell, part);
}

static bool
all_loaded (const MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    if (cell->part[i].load_table != MUX_TABLE_COUNT)
      return false;
  return cell->roster_loaded;
}

static void
begin_planning (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  cell->role = CELL_PLANNING;
  /* The roster may have been read at this same event time. */
  cell->all_runs_known_at_ms = -1;
  cell->planning_began_ms = cell->time.now_ms;
  mux_count (cell->options.counters, MUX_COUNT_TERMS, 1);
  mux_observe (cell->options.counters, MUX_HIST_TAKEOVER,
               cell->time.now_ms - cell->term_began_ms);
  cell_log (cell, "planning", "{s:I, s:i, s:I}", "term",
            (json_int_t) cell->term, "jobs", (int) HASH_COUNT (cell->jobs),
            "after_ms", (json_int_t) (cell->time.now_ms - cell->term_began_ms));
  cell_start_gate_begin (cell);
  cell_traffic_begin (cell);
  cell_feed_start (&cell->feed[CELL_FEED_JOBS], cell->term, cell->term);
  cell_feed_start (&cell->feed[CELL_FEED_WORKERS], cell->term, 0);
  HASH_ITER (hh, cell->jobs, job, next)
  cell_job_resume (cell, job);
}

void
cell_load_tick (MuxCell *cell)
{
  if (cell->role != CELL_LOADING)
    return;
  for (uint32_t i = 0; i < CELL_PARTS && cell->role == CELL_LOADING; i++)
    part_tick (cell, &cell->part[i]);
  if (!cell->roster_loaded && !cell->roster_busy)
    cell_roster_load (cell);
  if (cell->role == CELL_LOADING && all_loaded (cell))
    begin_planning (cell);
}
