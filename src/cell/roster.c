#include "cell_private.h"

#include "base/address.h"
#include "port/incarnation.h"

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
/* Entries of one commit, beside the claim and the fence; a call holds 100. */
#define GROUP 90
#define FENCE_ENTRIES 3

bool
cell_in_roster (const CellWorker *worker)
{
  return worker->roster != CELL_ROSTER_NONE;
}

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
    cell_report_bad_row (cell, row, CELL_ROW_FIELD, wrong);
  if (worker != NULL)
    worker->roster = CELL_ROSTER_NAMED;
  if (worker != NULL && wrong == NULL)
    {
      snprintf (worker->info.addr, sizeof worker->info.addr, "%s",
                json_string_value (json_object_get (json, "addr")));
      over_ms = json_integer_value (json_object_get (json, "over_ms"));
      /* Missing from the platform's list since now: it is asked for a while
       * before that counts. */
      worker->unlisted_ms = cell->time.now_ms;
      worker->roster
          = over_ms != 0 ? CELL_ROSTER_WITH_EXPIRY : CELL_ROSTER_NAMED;
      worker->marked_expiry_ms
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
    if (strcmp (reply->row[i].key, CELL_FENCE_KEY) == 0)
      cell->roster_fence = reply->row[i].version;
    else if (mux_incarnation_valid (reply->row[i].key))
      take_row (cell, &reply->row[i], reply->store_clock_ms);
    else
      cell_report_bad_row (cell, &reply->row[i], CELL_ROW_KEY, "key");
  cell->roster_loaded = !cell_next_page (cell->roster_from, reply);
  if (!cell->roster_loaded)
    cell->roster_next_ms = cell->time.now_ms;
}

void
cell_roster_load (MuxCell *cell)
{
  CellPending pending = { .on_reply = roster_read, .term = cell->term };
  MuxCellCall *call;

  if (cell->time.now_ms < cell->roster_next_ms)
    return;
  call = cell_scan_call (MUX_TABLE_ROSTER, "");
  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", cell->roster_from);
  cell->roster_busy = cell_call (cell, call, &pending);
}

/* Out of reach for so long, a worker is marked with the time at which its
 * lease is surely over, so that a next planner need not assume the longest. */
#define MARK_AFTER_MS 700

/* A mark there can be read by a next planner, and says what is still true as it
 * is written. */
static bool
can_mark (const MuxCell *cell, const CellWorker *worker)
{
  return cell->store_clock_at_ms != 0 && cell->store_failing_ms == 0
         && worker->info.addr[0] != 0;
}

/*
 * Guards against planners that are lost one after the other, each of which
 * waits anew for a worker that none of them hears: the first one stores when
 * the orders of all before it are over.  That holds for the next ones, too, as
 * nothing is ordered there while the mark may stand.
 */
static bool
wants_former_mark (const MuxCell *cell, const CellWorker *worker)
{
  return (worker->roster & CELL_ROSTER_NAMED) != 0
         && worker->unreachable_since_ms != 0
         && cell->time.now_ms - cell->planning_began_ms > MARK_AFTER_MS
         && can_mark (cell, worker);
}

/* What the roster should say; where nothing is known, what it says.  A mark
 * that goes unanswered leaves the worker without leases, so that none is sent
 * to a store that fails. */
static uint32_t
wanted (const MuxCell *cell, const CellWorker *worker)
{
  /* Until what was lost there is stored a next planner asks it, too. */
  if (worker->dead)
    return cell_stored_seq (cell) >= worker->ends_change_seq
                   && !cell_incarnation_is_unresolved (worker)
                   && worker->bookings == NULL
                   && (worker->confirmed || cell_late_starts_are_over (cell))
               ? CELL_ROSTER_NONE
               : worker->roster;
  if (!worker->confirmed)
    return wants_former_mark (cell, worker) ? CELL_ROSTER_WITH_EXPIRY
                                            : worker->roster;
  if (worker->unreachable_since_ms == 0)
    return CELL_ROSTER_NAMED;
  if (worker->roster == CELL_ROSTER_NONE
      || cell->time.now_ms - worker->unreachable_since_ms <= MARK_AFTER_MS
      || !can_mark (cell, worker))
    return worker->roster;
  return CELL_ROSTER_WITH_EXPIRY;
}

/*
 * Guards against a roster that is behind its planner, by which a next one would
 * take a worker as free that runs something: a mark or a removal may stand
 * though its answer is on its way, or was lost.  All that may stand is counted,
 * and written again, until a commit without it is answered.
 */
static void
settle (MuxCell *cell, MuxCellStatus status)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    if (worker->roster_pending == 0)
      continue;
    if (status == MUX_CELL_OK)
      worker->roster = worker->roster_pending;
    else if (status != MUX_CELL_UNKNOWN)
      worker->roster = worker->roster_before;
    worker->roster_pending = 0;
  }
}

static void
roster_written (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  cell->roster_busy = false;
  settle (cell, reply->status);
  if (reply->status == MUX_CELL_CONFLICT)
    cell_claim_doubt (cell, "roster_conflict");
  if (reply->status == MUX_CELL_UNKNOWN || reply->status == MUX_CELL_CONFLICT)
    cell->roster_fence_doubtful = true;
  if (reply->status != MUX_CELL_OK)
    {
      cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  cell->roster_fence = reply->version;
  cell_claim_verified (cell, pending->sent_ms);
  cell->replan = true;
}

static int64_t
lease_left (const MuxCell *cell, const CellWorker *worker)
{
  return worker->confirmed ? cell_worker_lease_left (cell, worker)
                           : cell_predecessor_lease_left (cell);
}

/* The mark is a time of the store's clock, which all daemons can read. */
static MuxBlob *
entry (const MuxCell *cell, const CellWorker *worker)
{
  int64_t over_ms = 0;

  if (worker->roster_pending == CELL_ROSTER_WITH_EXPIRY)
    over_ms = cell_store_time_ms (cell, lease_left (cell, worker));
  return cell_blob_from_json (json_pack ("{s:s, s:I}", "addr",
                                         worker->info.addr, "over_ms",
                                         (json_int_t) over_ms));
}

static void
write_entry (MuxCell *cell, CellWorker *worker, MuxCellCall *call)
{
  worker->roster_pending = wanted (cell, worker);
  worker->roster_before = worker->roster;
  worker->roster |= worker->roster_pending;
  if (worker->roster_pending == CELL_ROSTER_NONE)
    cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_ROSTER,
                          worker->info.id);
  else
    cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ROSTER,
                          worker->info.id)
        ->value
        = entry (cell, worker);
}

static void
write_entries (MuxCell *cell, MuxCellCall *call)
{
  CellWorker *worker;
  CellWorker *next;
  uint32_t n = 0;

  HASH_ITER (hh, cell->workers, worker, next)
  if (n < GROUP && wanted (cell, worker) != worker->roster)
    {
      write_entry (cell, worker, call);
      n++;
    }
}

/*
 * Each commit expects the row that the one before wrote, and renews it: one
 * that is carried out late, after a newer one, finds its condition broken and
 * can't bring an old mark or removal back.  The claim's row stays as it is from
 * commit to commit; it keeps out those of a former planner.
 */
static void
add_fence (const MuxCell *cell, MuxCellCall *call)
{
  cell_call_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->term);
  cell_call_expect (call, MUX_TABLE_ROSTER, CELL_FENCE_KEY, cell->roster_fence);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ROSTER, CELL_FENCE_KEY)
      ->value
      = mux_blob_new ("{}", 2);
}

static void
commit (MuxCell *cell)
{
  MuxCellCall *call = cell_commit_call ("", GROUP + FENCE_ENTRIES);
  CellPending pending = { .on_reply = roster_written, .term = cell->term };

  if (call == NULL)
    return;
  add_fence (cell, call);
  write_entries (cell, call);
  cell->roster_busy = cell_call (cell, call, &pending);
  if (!cell->roster_busy)
    settle (cell, MUX_CELL_NOT_DONE);
}

static void
fence_read (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  (void) pending;
  cell->roster_busy = false;
  if (reply->status != MUX_CELL_OK)
    return;
  cell->roster_fence = reply->row_count > 0 ? reply->row[0].version : 0;
  cell->roster_fence_doubtful = false;
  cell->roster_next_ms = cell->time.now_ms;
}

static void
read_fence (MuxCell *cell)
{
  MuxCellCall *call = cell_scan_call (MUX_TABLE_ROSTER, "");
  CellPending pending = { .on_reply = fence_read, .term = cell->term };

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", CELL_FENCE_KEY);
  cell_key_after (call->to, CELL_FENCE_KEY);
  cell->roster_busy = cell_call (cell, call, &pending);
}

static bool
wants_commit (const MuxCell *cell)
{
  const CellWorker *worker;
  const CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (wanted (cell, worker) != worker->roster)
    return true;
  return false;
}

void
cell_roster_tick (MuxCell *cell)
{
  if (cell->roster_busy || cell->time.now_ms < cell->roster_next_ms
      || !wants_commit (cell))
    return;
  cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
  if (cell->roster_fence_doubtful)
    read_fence (cell);
  else
    commit (cell);
}
