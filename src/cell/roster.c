#include "cell_private.h"

#include "base/address.h"

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
/* No lease lasts so long: a mark further ahead is none. */
#define MARK_MAX_MS 600000

static const char *
wrong_in_row (const json_t *json, int64_t store_clock_ms)
{
  const char *addr = json_string_value (json_object_get (json, "addr"));
  const json_t *over = json_object_get (json, "over_ms");
  json_int_t over_ms = json_integer_value (over);

  if (addr == NULL || !mux_address_reachable (addr))
    return "addr";
  return json_is_integer (over) && over_ms >= 0
                 && over_ms - store_clock_ms <= MARK_MAX_MS
             ? NULL
             : "over_ms";
}

/*
 * Guards against tasks that run twice: the key of a row alone says that they
 * may run at that worker.  If the rest can't be read it is waited for all the
 * same, until the list of workers tells where it is, or the longest lease is
 * over.
 */
static void
take_row (MuxCell *cell, const MuxCellRow *row, int64_t store_clock_ms)
{
  CellWorker *worker = cell_worker_add (cell, row->key);
  json_t *json = cell_row_json (cell, row);
  const char *wrong = wrong_in_row (json, store_clock_ms);
  int64_t over_ms = 0;

  if (json != NULL && wrong != NULL)
    cell_row_bad (cell, row, CELL_ROW_FIELD, wrong);
  if (worker != NULL)
    worker->in_roster = true;
  if (worker != NULL && wrong == NULL)
    {
      snprintf (worker->info.addr, sizeof worker->info.addr, "%s",
                json_string_value (json_object_get (json, "addr")));
      over_ms = json_integer_value (json_object_get (json, "over_ms"));
      worker->lost_marked = over_ms != 0;
      worker->over_ms
          = over_ms != 0 ? cell->time.now_ms + (over_ms - store_clock_ms) : 0;
    }
  json_decref (json);
}

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
    if (mux_name_valid (reply->row[i].key))
      take_row (cell, &reply->row[i], reply->store_clock_ms);
    else
      cell_row_bad (cell, &reply->row[i], CELL_ROW_KEY, "key");
  cell->roster_loaded = !cell_next_page (cell->roster_from, reply);
  if (!cell->roster_loaded)
    cell->roster_next_ms = cell->time.now_ms;
}

void
cell_roster_load (MuxCell *cell)
{
  CellPending pending = { .done = roster_read, .term = cell->term };
  MuxCellCall *call;

  if (cell->time.now_ms < cell->roster_next_ms)
    return;
  call = cell_scan_call (MUX_TABLE_ROSTER, "");
  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", cell->roster_from);
  cell->roster_busy = cell_call (cell, call, &pending);
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
