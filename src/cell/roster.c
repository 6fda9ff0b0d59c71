#include "late_calls.h"

#include "base/address.h"
#include "port/incarnation.h"

#include <stdio.h>
#include <string.h>

/*
 * The roster holds each worker that may run something of ours, with its
 * address. A worker that can't reach the store is missing from the platform's
 * list while its tasks run on, and a new planner that did not know of it would
 * start them a second time elsewhere. So a worker is added here before its
 * first start, and removed once nothing can run there any more.
 */

#define RETRY_MS 200
/* Workers in one commit, beside the claim and the fence; a call holds 100
 * entries. */
#define COMMIT_WORKERS_MAX 90
#define FENCE_ENTRIES 3

bool
cell_in_roster (const CellWorker *worker)
{
  return worker->roster != CELL_ROSTER_NONE;
}

/* No lease lasts this long: an expiry further ahead is invalid. */
#define EXPIRY_MAX_MS 600000

static const char *
bad_field (const json_t *json, int64_t store_clock_ms)
{
  const char *addr = json_string_value (json_object_get (json, "addr"));
  const json_t *expiry = json_object_get (json, "over_ms");
  json_int_t expires_ms = json_integer_value (expiry);

  if (addr == NULL || !mux_address_is_connectable (addr))
    return "addr";
  return json_is_integer (expiry) && expires_ms >= 0
                 && expires_ms - store_clock_ms <= EXPIRY_MAX_MS
             ? NULL
             : "over_ms";
}

/*
 * The key alone means that tasks may run at that worker. If the rest of the
 * row can't be parsed, nothing is started twice: the planner waits until the
 * list of workers gives its address, or until the longest lease has expired.
 */
static void
load_row (MuxCell *cell, const MuxCellRow *row, int64_t store_clock_ms)
{
  CellWorker *worker = cell_worker_add (cell, row->key);
  json_t *json = cell_row_json (cell, row);
  const char *bad = bad_field (json, store_clock_ms);
  int64_t expires_ms = 0;

  if (json != NULL && bad != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, bad);
  if (worker != NULL)
    {
      worker->roster = CELL_ROSTER_NAMED;
      worker->of_predecessor = true;
    }
  if (worker != NULL && bad == NULL)
    {
      snprintf (worker->info.addr, sizeof worker->info.addr, "%s",
                json_string_value (json_object_get (json, "addr")));
      expires_ms = json_integer_value (json_object_get (json, "over_ms"));
      /* The time it has been missing from the platform's list counts from
       * now: it is called for a while before that matters. */
      worker->unlisted_ms = cell->time.now_ms;
      worker->roster
          = expires_ms != 0 ? CELL_ROSTER_WITH_EXPIRY : CELL_ROSTER_NAMED;
      worker->stored_expiry_ms
          = expires_ms != 0 ? cell->time.now_ms + (expires_ms - store_clock_ms)
                            : 0;
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
      load_row (cell, &reply->row[i], reply->store_clock_ms);
    else if (!cell_late_calls_load (cell, &reply->row[i],
                                    reply->store_clock_ms))
      cell_report_bad_row (cell, &reply->row[i], CELL_ROW_BAD_KEY, "key");
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

/* Once a worker is unreachable for this long, the time when its lease has
 * certainly expired is stored, so that a successor need not assume the
 * longest lease. */
#define STORE_EXPIRY_AFTER_MS 700

/* A successor can use the stored expiry, and it is still true as it is
 * written. */
static bool
can_store_expiry (const MuxCell *cell, const CellWorker *worker)
{
  return cell->store_clock_at_ms != 0 && cell->store_failing_since_ms == 0
         && worker->info.addr[0] != 0;
}

/*
 * If several planners fail in a row, each would wait again for a worker that
 * none of them reaches. So the first one stores the time when the orders of
 * all planners before it have expired. That holds for the next ones too, as no
 * order is sent there while the expiry may be stored.
 */
static bool
wants_predecessor_expiry (const MuxCell *cell, const CellWorker *worker)
{
  return (worker->roster & CELL_ROSTER_NAMED) != 0
         && worker->unreachable_since_ms != 0
         && cell->time.now_ms - cell->planning_began_ms > STORE_EXPIRY_AFTER_MS
         && can_store_expiry (cell, worker);
}

/* The state the roster should hold; the present one if nothing is known. A
 * stored expiry whose commit is unanswered leaves the worker without leases,
 * so none is written while the store fails. */
static uint32_t
wanted_state (const MuxCell *cell, const CellWorker *worker)
{
  /* Until what was lost there is stored, a successor calls it too. */
  if (worker->dead)
    return cell_stored_seq (cell) >= worker->ends_change_seq
                   && !cell_incarnation_is_unresolved (worker)
                   && worker->bookings == NULL
                   && (worker->confirmed || cell_late_starts_are_over (cell))
               ? CELL_ROSTER_NONE
               : worker->roster;
  if (!worker->confirmed)
    return wants_predecessor_expiry (cell, worker) ? CELL_ROSTER_WITH_EXPIRY
                                                   : worker->roster;
  if (worker->unreachable_since_ms == 0)
    return CELL_ROSTER_NAMED;
  if (worker->roster == CELL_ROSTER_NONE
      || cell->time.now_ms - worker->unreachable_since_ms
             <= STORE_EXPIRY_AFTER_MS
      || !can_store_expiry (cell, worker))
    return worker->roster;
  return CELL_ROSTER_WITH_EXPIRY;
}

/*
 * An expiry or a removal may be in the store though its reply is under way or
 * lost; a planner that ignored that would let a successor take a busy worker
 * as free. So all states that the store may hold are kept, and written again,
 * until a commit without them is answered.
 */
static void
resolve_states (MuxCell *cell, MuxCellStatus status)
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
      worker->roster = worker->roster_previous;
    worker->roster_pending = 0;
  }
}

static void
roster_written (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  cell->roster_busy = false;
  resolve_states (cell, reply->status);
  cell_late_calls_written (cell, reply->status);
  if (reply->status == MUX_CELL_CONFLICT)
    cell_claim_doubt (cell, "roster_conflict");
  if (reply->status == MUX_CELL_UNKNOWN || reply->status == MUX_CELL_CONFLICT)
    cell->roster_fence_unknown = true;
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
                           : cell_unconfirmed_lease_left (cell, worker);
}

/* The expiry is by the store's clock, which all daemons can read. */
static MuxBlob *
entry_value (const MuxCell *cell, const CellWorker *worker)
{
  int64_t expires_ms = 0;

  if (worker->roster_pending == CELL_ROSTER_WITH_EXPIRY)
    expires_ms = cell_store_time_ms (cell, lease_left (cell, worker));
  return cell_blob_from_json (json_pack ("{s:s, s:I}", "addr",
                                         worker->info.addr, "over_ms",
                                         (json_int_t) expires_ms));
}

static void
write_entry (MuxCell *cell, CellWorker *worker, MuxCellCall *call)
{
  worker->roster_pending = wanted_state (cell, worker);
  worker->roster_previous = worker->roster;
  worker->roster |= worker->roster_pending;
  if (worker->roster_pending == CELL_ROSTER_NONE)
    cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_ROSTER,
                          worker->info.id);
  else
    cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ROSTER,
                          worker->info.id)
        ->value
        = entry_value (cell, worker);
}

/* An incarnation is added, or removed, with or after the late calls to those
 * that have ended: a successor that reads the one would not know of the
 * others. */
static void
write_entries (MuxCell *cell, MuxCellCall *call)
{
  CellWorker *worker;
  CellWorker *next;
  uint32_t n = cell_late_calls_write (cell, call, COMMIT_WORKERS_MAX / 2);

  HASH_ITER (hh, cell->workers, worker, next)
  if (n < COMMIT_WORKERS_MAX && wanted_state (cell, worker) != worker->roster
      && cell_late_calls_are_stored (worker))
    {
      write_entry (cell, worker, call);
      n++;
    }
}

/*
 * Each commit expects the fence row that the previous one wrote, and renews it:
 * a commit that is applied late, after a newer one, fails its condition and
 * can't restore an old state. The claim's row does not change from commit to
 * commit; its condition keeps out commits of a predecessor.
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
  MuxCellCall *call = cell_commit_call ("", COMMIT_WORKERS_MAX + FENCE_ENTRIES);
  CellPending pending = { .on_reply = roster_written, .term = cell->term };

  if (call == NULL)
    return;
  add_fence (cell, call);
  write_entries (cell, call);
  cell->roster_busy = cell_call (cell, call, &pending);
  if (cell->roster_busy)
    return;
  resolve_states (cell, MUX_CELL_NOT_DONE);
  cell_late_calls_written (cell, MUX_CELL_NOT_DONE);
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
  cell->roster_fence_unknown = false;
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

  if (cell_late_calls_are_due (cell))
    return true;
  HASH_ITER (hh, cell->workers, worker, next)
  if (wanted_state (cell, worker) != worker->roster)
    return true;
  return false;
}

void
cell_roster_tick (MuxCell *cell)
{
  cell_late_calls_tick (cell);
  if (cell->roster_busy || cell->time.now_ms < cell->roster_next_ms
      || !wants_commit (cell))
    return;
  cell->roster_next_ms = cell->time.now_ms + RETRY_MS;
  if (cell->roster_fence_unknown)
    read_fence (cell);
  else
    commit (cell);
}
