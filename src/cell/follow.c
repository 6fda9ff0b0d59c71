#include "cell_private.h"

#include <stdio.h>

/* A call waits so long for a change.  Short, so that a
 * connection that went silent is noticed soon. */
#define WAIT_MS 5000
#define WAIT_GRACE_MS 1500
/* Twice what the slowest store seen takes for an answer. */
#define PROBE_MS 600
/* After a failure; a store that is away is asked twice a second. */
#define RETRY_MS 250
/* Between two answers with changes: rows that come closely together then
 * share one call, which is paid for; it delays a change by half of it. */
#define REST_MS 30

static void
followed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply);

void
cell_follow_start (CellFollow *follow, uint64_t term, uint64_t version)
{
  follow->on = true;
  follow->term = term;
  follow->loaded = version != 0;
  follow->busy = false;
  follow->part = 0;
  follow->from[0] = 0;
  follow->version = version;
  follow->next_ms = 0;
}

static bool
begins (const CellFollow *follow)
{
  return follow->from[0] == 0 && follow->part == 0;
}

static void
send_scan (MuxCell *cell, CellFollow *follow, uint64_t number)
{
  MuxCellCall *call = cell_scan_call (
      follow->table, follow->parted ? cell->part[follow->part].name : "");
  CellPending pending
      = { .done = followed, .term = follow->term, .number = number };

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", follow->from);
  if (begins (follow) && follow->whole != NULL)
    follow->whole (cell, false);
  follow->busy = cell_call (cell, call, &pending);
}

static void
send_follow (MuxCell *cell, CellFollow *follow, uint64_t number)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_FOLLOW);
  CellPending pending
      = { .done = followed, .term = follow->term, .number = number };

  if (call == NULL)
    return;
  call->table = follow->table;
  call->after = follow->version;
  /* While the store fails the answer itself is the news: one that waited for
   * a change would leave callers refused for seconds after its return. */
  call->wait_ms = cell->store_failing_ms == 0 ? WAIT_MS : 0;
  call->timeout_ms
      = cell->store_failing_ms == 0 ? WAIT_MS + WAIT_GRACE_MS : PROBE_MS;
  follow->busy = cell_call (cell, call, &pending);
}

void
cell_follow_tick (MuxCell *cell, CellFollow *follow)
{
  uint64_t number = (uint64_t) (follow - cell->follow);

  if (!follow->on || follow->busy || cell->time.now_ms < follow->next_ms)
    return;
  follow->next_ms = cell->time.now_ms + RETRY_MS;
  if (follow->loaded)
    send_follow (cell, follow, number);
  else
    send_scan (cell, follow, number);
}

/* The version of a whole reading is that of its first page: what changed
 * while the others were read is then seen again, which does no harm. */
static void
page_read (MuxCell *cell, CellFollow *follow, const MuxCellReply *reply)
{
  if (begins (follow))
    follow->version = reply->version;
  if (cell_next_page (follow->from, reply))
    return;
  if (follow->parted && follow->part + 1 < CELL_PARTS)
    {
      follow->part++;
      return;
    }
  follow->loaded = true;
  if (follow->whole != NULL)
    follow->whole (cell, true);
}

/*
 * Guards against a store that forgot the changes after the version known
 * (MUX_CELL_HISTORY): they will never be told, so that a follower would go on
 * with what it has for good.  The table is read whole again instead.
 */
static void
followed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellFollow *follow = &cell->follow[pending->number];

  follow->busy = false;
  if (reply->status == MUX_CELL_HISTORY)
    {
      follow->loaded = false;
      follow->part = 0;
      follow->from[0] = 0;
      follow->next_ms = cell->time.now_ms;
      cell_log (cell, "history_lost", "{s:i, s:I}", "table",
                (int) follow->table, "after", (json_int_t) follow->version);
      return;
    }
  if (reply->status != MUX_CELL_OK)
    {
      follow->next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      follow->seen (cell, &reply->row[i]);
      /* The row may have ended the term, and with it this reading. */
      if (pending->term != 0 && pending->term != cell->term)
        return;
    }
  follow->next_ms = cell->time.now_ms
                    + (reply->row_count > 0 && follow->loaded ? REST_MS : 0);
  if (reply->verb == MUX_CELL_SCAN)
    page_read (cell, follow, reply);
  else if (reply->version > follow->version)
    follow->version = reply->version;
}
