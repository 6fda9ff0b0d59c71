#include "late_calls.h"

#include "port/incarnation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Entries that expired during an outage of the store are back about two
 * seconds after its end; one that is missing for longer is gone. */
#define UNLISTED_MS 2500
/* Each worker is processed this often, in a large cell too. */
#define SCAN_INTERVAL_MS 20
/* Entries by which the table of slots grows. */
#define SLOTS_INCREMENT 64

CellWorker *
cell_worker_find (MuxCell *cell, const char *id)
{
  CellWorker *worker;

  HASH_FIND_STR (cell->workers, id, worker);
  return worker;
}

static bool
make_slot (MuxCell *cell)
{
  CellWorker **list;

  if (cell->worker_slots % SLOTS_INCREMENT != 0)
    return true;
  list = realloc (cell->worker_by_slot, (cell->worker_slots + SLOTS_INCREMENT)
                                            * sizeof (CellWorker *));
  if (list == NULL)
    return false;
  cell->worker_by_slot = list;
  return true;
}

CellWorker *
cell_worker_add (MuxCell *cell, const char *id)
{
  CellWorker *worker = cell_worker_find (cell, id);

  if (worker != NULL)
    return worker;
  if (!make_slot (cell))
    return NULL;
  worker = calloc (1, sizeof *worker);
  if (worker == NULL)
    return NULL;
  snprintf (worker->info.id, sizeof worker->info.id, "%s", id);
  worker->started_ms = mux_incarnation_started_ms (id);
  if (!cell_incarnation_add (cell, worker))
    {
      free (worker);
      return NULL;
    }
  worker->slot = cell->worker_slots++;
  cell->worker_by_slot[worker->slot] = worker;
  worker->roster = CELL_ROSTER_NONE;
  mux_pacing_init (&worker->pacing);
  worker->orders.gate = &cell->order_gate;
  HASH_ADD_KEYPTR (hh, cell->workers, worker->info.id, strlen (worker->info.id),
                   worker);
  return worker;
}

static void
worker_free (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (worker->bookings, booking, next)
  cell_unbook (cell, booking);
  cell_reservations_clear_worker (cell, worker);
  cell_incarnation_remove (cell, worker);
  mux_order_limit_close (&worker->orders);
  HASH_DEL (cell->workers, worker);
  cell->worker_by_slot[worker->slot] = NULL;
  free (worker);
}

void
cell_workers_free (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  worker_free (cell, worker);
  cell_incarnations_free_all (cell);
}

bool
cell_worker_runs_unknown (const CellWorker *worker)
{
  return cell_in_roster (worker) && !worker->runs_known && !worker->dead;
}

static bool
find_unknown (const MuxCell *cell)
{
  const CellWorker *worker;
  const CellWorker *next;
  uint32_t scanned = 0;
  bool found = false;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    scanned++;
    found = cell_worker_runs_unknown (worker);
    if (found)
      break;
  }
  mux_count (cell->options.counters, MUX_COUNT_PLAN_LOOKS, scanned);
  return found;
}

/*
 * Looked up once per event time: thousands of waiting steps ask in each pass,
 * and with one unreachable worker of 350, scanning all of them each time took
 * 81 percent of a core where 7 are left. Within one event time a worker's runs
 * can only become known.
 */
bool
cell_all_runs_known (MuxCell *cell)
{
  if (cell->all_runs_known_at_ms != cell->time.now_ms)
    {
      cell->all_runs_known_at_ms = cell->time.now_ms;
      cell->all_runs_known = !find_unknown (cell);
    }
  return cell->all_runs_known;
}

/* The worker has ended, or its lease has: no run is left there. */
void
cell_worker_mark_dead (MuxCell *cell, CellWorker *worker, const char *why)
{
  if (worker->dead)
    return;
  worker->dead = true;
  cell->replan = true;
  cell_log (cell, "worker_dead", "{s:s, s:s, s:s, s:I, s:o}", "worker",
            worker->info.id, "why", why, "addr", worker->info.addr, "silent_ms",
            (json_int_t) (worker->unreachable_since_ms != 0
                              ? cell->time.now_ms - worker->unreachable_since_ms
                              : 0),
            "lease", cell_lease_json (cell, worker));
  if (worker->replaced && !worker->info.draining)
    cell_log_crash (cell, worker);
  cell_late_calls_end (cell, worker);
  cell_late_starts_of_predecessor (cell, worker);
  cell_lose_runs (cell, worker);
  cell_losses_worker_dead (cell, worker);
  worker->ends_change_seq = cell->change_seq;
}

void
cell_worker_replaced (MuxCell *cell, CellWorker *worker)
{
  worker->replaced = true;
  if (worker->unreachable_since_ms == 0)
    {
      worker->down_before_ms = cell->time.now_ms;
      cell_outage_record (cell, worker);
    }
  cell_worker_mark_dead (cell, worker, "other_life");
}

/* The id is kept: it is the key of the hash table. */
void
cell_worker_set_info (CellWorker *worker, const MuxWorkerInfo *entry)
{
  char id[MUX_NAME_LEN];

  memcpy (id, worker->info.id, sizeof id);
  worker->info = *entry;
  worker->service = mux_hash_name (entry->service, 0);
  worker->data_centre = mux_hash_name (entry->data_centre, 0);
  memcpy (worker->info.id, id, sizeof id);
}

/* Nothing new starts there; its runs go on until they end or their lease
 * expires. */
void
cell_worker_unlist (MuxCell *cell, CellWorker *worker)
{
  if (!worker->listed)
    return;
  worker->listed = false;
  worker->unlisted_ms = cell->time.now_ms;
  cell_log (cell, "worker_unlisted", "{s:s}", "worker", worker->info.id);
}

/*
 * An entry of another writer could give an incarnation the address of another,
 * which answers there; the planner would take the first for dead while its
 * tasks run, and start them again. An incarnation keeps the address at which
 * it has answered, to this planner or to the one that wrote the roster.
 */
static bool
changes_address (const CellWorker *worker, const MuxWorkerInfo *entry)
{
  return worker != NULL && (worker->confirmed || cell_in_roster (worker))
         && worker->info.addr[0] != 0
         && strcmp (worker->info.addr, entry->addr) != 0;
}

/* Return: the invalid field; NULL: none. */
static const char *
bad_entry_field (const CellWorker *worker, const MuxCellRow *row)
{
  if (row->worker == NULL)
    return row->bad_field != NULL ? row->bad_field : "value";
  return changes_address (worker, row->worker) ? "address" : NULL;
}

static void
log_no_queue (MuxCell *cell, CellWorker *worker)
{
  if (worker->no_queue_logged || cell->config == NULL
      || cell_service_is_known (cell, worker->service))
    return;
  worker->no_queue_logged = true;
  mux_count (cell->options.counters, MUX_COUNT_WORKERS_OF_NO_QUEUE, 1);
  cell_log (cell, "worker_of_no_queue", "{s:s, s:s}", "worker", worker->info.id,
            "service", worker->info.service);
}

/* If an entry can't be parsed, the incarnation it belongs to is not known. */
static void
drop_entry (MuxCell *cell, const MuxCellRow *row, const char *bad_field)
{
  if (bad_field != NULL)
    cell_report_bad_row (cell, row,
                         row->worker == NULL && row->bad_field == NULL
                             ? CELL_ROW_BAD_VALUE
                             : CELL_ROW_BAD_FIELD,
                         bad_field);
  cell_incarnations_unlist (cell, row->key, NULL);
}

static void
apply_row (MuxCell *cell, const MuxCellRow *row, const char *incarnation)
{
  CellWorker *worker = cell_worker_add (cell, incarnation);

  if (worker == NULL)
    return;
  if (!worker->listed)
    {
      cell_log (cell, "worker_listed", "{s:s, s:s}", "worker", incarnation,
                "addr", row->worker->addr);
      cell_incarnations_unlist (cell, row->key, worker);
    }
  if (row->worker->draining && !worker->info.draining)
    cell_log (cell, "worker_draining", "{s:s}", "worker", incarnation);
  worker->listed = true;
  cell_worker_set_info (worker, row->worker);
  cell_worker_set_leave_time (cell, worker);
  log_no_queue (cell, worker);
  cell->replan = true;
}

void
cell_worker_row (MuxCell *cell, const MuxCellRow *row)
{
  const MuxWorkerInfo *entry = row->removed ? NULL : row->worker;
  char incarnation[MUX_NAME_LEN];
  const char *bad_field = NULL;

  /* The list is in one part; an id goes into a header of each call. */
  if (row->part[0] != 0 || !mux_name_valid (row->key)
      || !mux_incarnation_name (incarnation, row->key,
                                entry != NULL ? entry->started_ms : 0))
    {
      cell_report_bad_row (cell, row, CELL_ROW_BAD_KEY, "key");
      return;
    }
  /* Entries of earlier incarnations are ignored, whoever writes them. */
  if (entry != NULL
      && cell_incarnation_is_outdated (cell, row->key, entry->started_ms))
    {
      cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "born");
      return;
    }
  if (!row->removed)
    bad_field = bad_entry_field (cell_worker_find (cell, incarnation), row);
  if (row->removed || bad_field != NULL)
    drop_entry (cell, row, bad_field);
  else
    apply_row (cell, row, incarnation);
}

/* A full read names all workers that exist: the others are missing. */
void
cell_workers_full_read (MuxCell *cell, bool ended)
{
  CellWorker *worker;
  CellWorker *next;

  if (ended)
    return;
  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->listed)
    {
      worker->listed = false;
      worker->unlisted_ms = cell->time.now_ms;
    }
}

static bool
is_gone_from_list (const MuxCell *cell, const CellWorker *worker)
{
  return !worker->listed && cell_store_available (cell)
         && cell->time.now_ms - worker->unlisted_ms > UNLISTED_MS;
}

bool
cell_worker_usable (const MuxCell *cell, const CellWorker *worker)
{
  return worker->confirmed && worker->reachable
         && worker->roster == CELL_ROSTER_NAMED && worker->listed
         && !worker->dead && !worker->info.draining
         && cell->time.now_ms >= worker->avoid_until_ms
         && mux_order_limit_allows_start (&worker->orders, cell->time.now_ms);
}

static void
update_acks (MuxCell *cell, CellWorker *worker)
{
  if (worker->acked == worker->ends_seen
      || cell_stored_seq (cell) < worker->ends_change_seq)
    return;
  worker->acked = worker->ends_seen;
  worker->next_renew_ms = cell->time.now_ms;
}

/* Its lease expired while it was unreachable; the same incarnation may come
 * back, having ended all its runs. */
void
cell_worker_reset_dead (MuxCell *cell, CellWorker *worker)
{
  worker->dead = false;
  worker->confirmed = false;
  worker->runs_known = false;
  worker->list_full_since_ms = 0;
  worker->reachable = false;
  worker->lease_expires_ms = 0;
  worker->lease_source = CELL_LEASE_NONE;
  worker->stored_expiry_ms = 0;
  worker->lease_over_since_ms = 0;
  worker->next_renew_ms = cell->time.now_ms + CELL_RENEW_PAUSE_MS;
}

/* Late starts at a dead worker have arrived by now, or never will. */
static void
lose_late_starts (MuxCell *cell, CellWorker *worker)
{
  if (worker->bookings == NULL)
    return;
  cell_lose_runs (cell, worker);
  worker->ends_change_seq = cell->change_seq;
}

/* The worker may run something of ours, or a queue uses its pool. */
static bool
is_needed (const MuxCell *cell, const CellWorker *worker)
{
  return cell_in_roster (worker) || worker->bookings != NULL
         || cell_service_is_known (cell, worker->service);
}

/*
 * A worker that this planner has never heard stays in the roster, as dead, for
 * as long as starts of a predecessor may arrive there.  It is called all the
 * same: ends that it lists once it is back must be known before their tasks
 * run elsewhere.
 */
static bool
may_answer_yet (const CellWorker *worker)
{
  return worker->dead && !worker->replaced && !worker->confirmed
         && worker->listed;
}

static void
worker_tick (MuxCell *cell, CellWorker *worker)
{
  if (cell_in_roster (worker) && !worker->dead
      && (!worker->reachable || !worker->confirmed)
      && (worker->lease_expires_ms != 0 || !worker->confirmed)
      && cell_lease_is_over (cell, worker))
    cell_worker_mark_dead (cell, worker, "lease_over");
  if (worker->dead)
    lose_late_starts (cell, worker);
  if (worker->dead && !worker->replaced && !cell_in_roster (worker))
    cell_worker_reset_dead (cell, worker);
  if (worker->info.addr[0] == 0 || !is_needed (cell, worker))
    return;
  if (may_answer_yet (worker))
    cell_renew_if_due (cell, worker);
  if (worker->dead)
    return;
  update_acks (cell, worker);
  /* Gone from the list: its runs are left to their lease, so that they end
   * even if the list was right. */
  if (is_gone_from_list (cell, worker) && !worker->reachable)
    return;
  cell_renew_if_due (cell, worker);
  if (!worker->confirmed)
    return;
  cell_evacuate (cell, worker);
  cell_stops_tick (cell, worker);
  cell_pace_tick (cell, worker);
}

static bool
can_be_freed (const MuxCell *cell, const CellWorker *worker)
{
  bool unused = !cell_in_roster (worker) && worker->bookings == NULL
                && worker->hold_count == 0;

  return unused && !worker->listed
         && (worker->dead || is_gone_from_list (cell, worker))
         && !worker->renewing;
}

/* Slots to process now: all of them in a cell that one scan covers; in a
 * larger one a share by the time that has passed. */
static uint32_t
slots_due (const MuxCell *cell)
{
  int64_t passed_ms = cell->time.now_ms - cell->worker_scanned_ms;
  uint32_t slots = cell->worker_slots;

  if (!cell_worker_scan_is_partial (cell) || passed_ms >= SCAN_INTERVAL_MS)
    return slots;
  return (uint32_t) (slots * passed_ms / SCAN_INTERVAL_MS);
}

void
cell_workers_tick (MuxCell *cell)
{
  uint32_t due = slots_due (cell);

  if (!cell_is_active_planner (cell) || due == 0)
    return;
  cell->worker_scanned_ms = cell->time.now_ms;
  for (uint32_t i = 0; i < due; i++)
    {
      CellWorker *worker;

      if (cell->worker_scan_slot >= cell->worker_slots)
        cell->worker_scan_slot = 0;
      worker = cell->worker_by_slot[cell->worker_scan_slot++];
      if (worker == NULL)
        continue;
      worker_tick (cell, worker);
      if (can_be_freed (cell, worker))
        worker_free (cell, worker);
    }
}
