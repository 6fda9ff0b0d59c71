#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/*
 * The roster names each worker that may run something of ours, with its
 * address.  Guards against tasks that run twice after a change of planner: a
 * worker that lost its way to the store is missing from the platform's list
 * while its tasks run on, and a new planner that did not know of it would
 * start them again elsewhere.  A worker is written here before its first
 * start, and taken out when nothing can run there any more.
 */

#define RETRY_MS 200
/* Entries of one commit, beside the condition; a call holds 100. */
#define GROUP 90

static void
roster_read (MuxCell *cell,
             const CellPending *pending,
             const MuxCellReply *reply)
{
  (void) pending;
  cell->roster_busy = false;
  cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
  if (reply->status != MUX_CELL_OK)
    return;
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      CellWorker *worker = cell_worker_add (cell, reply->row[i].key);
      json_t *json = cell_blob_json (reply->row[i].value);
      const char *addr = json_string_value (json_object_get (json, "addr"));
      int64_t over_ms = json_integer_value (json_object_get (json, "over_ms"));

      if (worker != NULL && addr != NULL)
        {
          snprintf (worker->info.addr, sizeof worker->info.addr, "%s", addr);
          worker->in_roster = true;
          worker->over_ms = over_ms != 0 ? cell->time.now_ms + over_ms
                                               - reply->store_clock_ms
                                         : 0;
          worker->lost_marked = over_ms != 0;
        }
      json_decref (json);
    }
  cell->roster_loaded = !reply->more;
}

void
cell_roster_load (MuxCell *cell)
{
  CellPending pending = { .done = roster_read, .term = cell->term };

  if (cell->time.now_ms < cell->roster_next_ms)
    return;
  cell->roster_busy
      = cell_call (cell, cell_scan_call (MUX_TABLE_ROSTER, ""), &pending);
}

static bool
wants_entry (const CellWorker *worker)
{
  return !worker->in_roster && !worker->dead && worker->heard;
}

/* Out of reach for so long, a worker is marked with the time at which its
 * lease is surely over, so that a next planner need not assume the longest. */
#define MARK_AFTER_MS 700

static bool
wants_mark (const MuxCell *cell, const CellWorker *worker)
{
  return worker->in_roster && worker->heard && !worker->dead
         && worker->lost_ms != 0 && !worker->lost_marked
         && cell->time.now_ms - worker->lost_ms > MARK_AFTER_MS
         && cell->store_clock_at_ms != 0;
}

static bool
wants_unmark (const CellWorker *worker)
{
  return worker->lost_marked && !worker->dead && worker->lost_ms == 0;
}

static bool
wants_removal (const CellWorker *worker)
{
  return worker->in_roster && worker->dead;
}

static void
roster_written (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  CellWorker *worker;
  CellWorker *next;

  cell->roster_busy = false;
  if (reply->status == MUX_CELL_CONFLICT)
    cell_claim_doubt (cell, "roster_conflict");
  if (reply->status != MUX_CELL_OK)
    {
      cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  cell_verified (cell, pending->sent_ms);
  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->roster_asked)
    {
      worker->in_roster = !worker->dead;
      worker->lost_marked = worker->mark_asked;
    }
  cell->replan = true;
}

static bool
wants_write (const MuxCell *cell, const CellWorker *worker)
{
  return wants_entry (worker) || wants_removal (worker)
         || wants_mark (cell, worker) || wants_unmark (worker);
}

/* The mark is a time of the store's clock, which all daemons can read. */
static MuxBlob *
entry (const MuxCell *cell, const CellWorker *worker)
{
  int64_t over_ms = 0;

  if (worker->mark_asked)
    over_ms = cell->store_clock_ms
              + (cell->time.now_ms - cell->store_clock_at_ms)
              + cell_worker_lease_left (cell, worker);
  return cell_json_blob (json_pack ("{s:s, s:I}", "addr", worker->info.addr,
                                    "over_ms", (json_int_t) over_ms));
}

static uint32_t
fill (MuxCell *cell, MuxCellCall *call)
{
  CellWorker *worker;
  CellWorker *next;
  uint32_t n = 0;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    worker->roster_asked = false;
    if (n == GROUP || !wants_write (cell, worker))
      continue;
    worker->roster_asked = true;
    worker->mark_asked = wants_mark (cell, worker);
    n++;
    if (worker->dead)
      cell_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_ROSTER, worker->info.id);
    else
      cell_change (call, MUX_CHANGE_PUT, MUX_TABLE_ROSTER, worker->info.id)
          ->value
          = entry (cell, worker);
  }
  return n;
}

void
cell_roster_tick (MuxCell *cell)
{
  MuxCellCall *call;
  CellPending pending = { .done = roster_written, .term = cell->term };
  CellWorker *worker;
  CellWorker *next;
  bool wanted = false;

  if (cell->roster_busy || cell->time.now_ms < cell->roster_next_ms)
    return;
  HASH_ITER (hh, cell->workers, worker, next)
  wanted = wanted || wants_write (cell, worker);
  if (!wanted)
    return;
  call = cell_commit_call ("", GROUP + 1);
  if (call == NULL)
    return;
  cell_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->term);
  (void) fill (cell, call);
  cell->roster_busy = cell_call (cell, call, &pending);
  cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
}
