#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Rows of ended jobs are kept as long as callers may query them, and then
 * removed by the planner, as the store would grow by a row for every job. A
 * pass reads page by page with pauses, so that its reads are few beside the
 * store's rate.
 */

/* Passes during the time that a row is kept: rows stay a tenth longer. */
#define PASSES_PER_KEEP 10
/* Between two pages of up to 500 rows. */
#define PAGE_PAUSE_MS 200
#define RETRY_MS 5000
/* Rows removed by one commit: a call holds 100 entries, a row takes two. */
#define REMOVALS_MAX 45
#define MS_PER_S 1000

static int64_t
keep_ms (const MuxCell *cell)
{
  return (int64_t) cell->options.ended_retention_s * MS_PER_S;
}

static void
advance_part (MuxCell *cell)
{
  CellSweep *sweep = &cell->sweep;

  sweep->from[0] = 0;
  sweep->part++;
  sweep->next_ms = cell->time.now_ms + PAGE_PAUSE_MS;
  if (sweep->part < CELL_PARTS)
    return;
  sweep->part = 0;
  sweep->next_ms = cell->time.now_ms + keep_ms (cell) / PASSES_PER_KEEP;
}

/* A row without a time, or with one in the future, is kept. */
static bool
is_old (const MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = cell_json_from_blob (row->value);
  int64_t ended_ms
      = (int64_t) json_integer_value (json_object_get (json, "ended_ms"));

  json_decref (json);
  return ended_ms > 0 && cell->time.wall_ms - ended_ms > keep_ms (cell);
}

static void
removed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  (void) pending;
  cell->sweep.busy = false;
  /* If the commit failed or its fate is unknown, the same page is read again.
   */
  cell->sweep.next_ms
      = cell->time.now_ms
        + (reply->status == MUX_CELL_OK ? PAGE_PAUSE_MS : RETRY_MS);
  if (reply->status == MUX_CELL_OK)
    mux_count (cell->options.counters, MUX_COUNT_ROWS_SWEPT, 1);
}

/* Return: NULL: no row of the page is old, or out of memory. */
static MuxCellCall *
removal_call (const MuxCell *cell, const MuxCellReply *reply)
{
  MuxCellCall *call = NULL;
  uint32_t n = 0;

  for (uint32_t i = 0; i < reply->row_count && n < REMOVALS_MAX; i++)
    {
      const MuxCellRow *row = &reply->row[i];

      if (!is_old (cell, row))
        continue;
      if (call == NULL)
        call = cell_commit_call (cell->part[cell->sweep.part].name,
                                 2 * REMOVALS_MAX);
      if (call == NULL)
        return NULL;
      cell_call_expect (call, MUX_TABLE_ENDED, row->key, row->version);
      cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_ENDED, row->key);
      n++;
    }
  return call;
}

static void
page_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellPending removal = { .on_reply = removed, .term = cell->term };
  CellSweep *sweep = &cell->sweep;

  (void) pending;
  sweep->busy = false;
  sweep->next_ms = cell->time.now_ms + PAGE_PAUSE_MS;
  if (reply->status != MUX_CELL_OK)
    {
      sweep->next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  sweep->busy = cell_call (cell, removal_call (cell, reply), &removal);
  if (sweep->busy)
    return;
  if (!cell_next_page (sweep->from, reply))
    advance_part (cell);
}

void
cell_sweep_tick (MuxCell *cell)
{
  CellSweep *sweep = &cell->sweep;
  CellPending pending = { .on_reply = page_read, .term = cell->term };
  MuxCellCall *call;

  if (!cell_is_active_planner (cell) || sweep->busy
      || cell->time.now_ms < sweep->next_ms)
    return;
  call = cell_scan_call (MUX_TABLE_ENDED, cell->part[sweep->part].name);
  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", sweep->from);
  sweep->busy = cell_call (cell, call, &pending);
}

void
cell_sweep_begin (MuxCell *cell)
{
  memset (&cell->sweep, 0, sizeof cell->sweep);
  cell->sweep.next_ms = cell->time.now_ms + keep_ms (cell) / PASSES_PER_KEEP;
}
