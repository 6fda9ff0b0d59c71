#include "late_calls.h"

#include "port/incarnation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Behind the id in the key of a row; no name of an incarnation ends so. */
#define KEY_SUFFIX "~late"
/* No call is carried out so much later: a time further ahead is invalid. */
#define UNTIL_MAX_MS 600000
/* Interval of looking for entries that can be forgotten. */
#define TICK_INTERVAL_MS 1000
/* Rows that hold nothing any more are removed with other changes of the
 * roster, or alone after this time. */
#define REMOVE_AFTER_MS 60000

/* A lease that the last of the calls asked for may matter until then. */
static int64_t
matters_until_ms (const CellLateCalls *calls)
{
  return calls->until_ms + cell_longest_lease_ms ();
}

static void
remove_entry (CellIncarnations *incarnations, uint32_t i)
{
  incarnations->late[i] = incarnations->late[--incarnations->late_count];
}

/* With too many, the entry of the earliest incarnation also stands for the
 * next one, and concerns more incarnations than it has to. */
static void
merge_earliest (CellIncarnations *incarnations)
{
  CellLateCalls *late = incarnations->late;
  uint32_t first = 0;
  uint32_t second = 1;

  for (uint32_t i = 1; i < incarnations->late_count; i++)
    if (late[i].started_ms < late[first].started_ms)
      {
        second = first;
        first = i;
      }
    else if (second == first || late[i].started_ms < late[second].started_ms)
      second = i;
  if (late[second].until_ms > late[first].until_ms)
    late[first].until_ms = late[second].until_ms;
  late[first].own = late[first].own || late[second].own;
  remove_entry (incarnations, second);
}

static CellLateCalls *
find (CellIncarnations *incarnations, uint64_t started_ms, bool own)
{
  for (uint32_t i = 0; i < incarnations->late_count; i++)
    if (incarnations->late[i].started_ms == started_ms
        && incarnations->late[i].own == own)
      return &incarnations->late[i];
  return NULL;
}

/* Return: whether this is news. */
static bool
add (CellIncarnations *incarnations, CellLateCalls calls)
{
  CellLateCalls *known = find (incarnations, calls.started_ms, calls.own);

  if (known != NULL && known->until_ms >= calls.until_ms)
    return false;
  if (known != NULL)
    {
      known->until_ms = calls.until_ms;
      return true;
    }
  if (incarnations->late_count == CELL_LATE_CALLS_MAX)
    merge_earliest (incarnations);
  incarnations->late[incarnations->late_count++] = calls;
  return true;
}

/* Return: when the last call was sent that asks the worker for a lease and has
 * no answer; 0: none is known. */
static int64_t
last_unanswered_ms (const MuxCell *cell, const CellWorker *worker)
{
  int64_t last_ms = worker->unanswered_sent_ms;
  const CellPending *pending;
  const CellPending *next;

  HASH_ITER (hh, cell->pending, pending, next)
  if (pending->asks_for_lease && pending->sent_ms > last_ms
      && strcmp (pending->worker, worker->info.id) == 0)
    last_ms = pending->sent_ms;
  return last_ms;
}

static void
record (MuxCell *cell, const CellWorker *ended, int64_t until_ms, bool own)
{
  CellLateCalls calls
      = { .started_ms = ended->started_ms, .until_ms = until_ms, .own = own };

  if (matters_until_ms (&calls) < cell->time.now_ms
      || !add (ended->incarnations, calls))
    return;
  ended->incarnations->late_changes++;
  cell->late_calls_changed = true;
}

void
cell_late_calls_end (MuxCell *cell, const CellWorker *ended)
{
  int64_t sent_ms;

  /* Its id is not used again. */
  if (ended->started_ms == 0)
    return;
  sent_ms = last_unanswered_ms (cell, ended);
  if (sent_ms != 0)
    record (cell, ended, sent_ms + CELL_LATE_ORDERS_MS, true);
  /* A call that was answered may have been carried out by the next one. */
  else if (ended->confirmed)
    record (cell, ended, cell->time.now_ms, true);
  if (ended->of_predecessor)
    record (cell, ended, cell->predecessor.until_ms + CELL_LATE_ORDERS_MS,
            false);
}

int64_t
cell_late_calls_until_ms (const CellWorker *worker, bool own)
{
  const CellIncarnations *incarnations = worker->incarnations;
  int64_t until_ms = 0;

  for (uint32_t i = 0; i < incarnations->late_count; i++)
    {
      const CellLateCalls *calls = &incarnations->late[i];

      if (calls->started_ms < worker->started_ms && (calls->own || !own)
          && calls->until_ms > until_ms)
        until_ms = calls->until_ms;
    }
  return until_ms;
}

static bool
parse_key (const char *key, char id[MUX_NAME_LEN])
{
  size_t len = strlen (key);
  size_t suffix = strlen (KEY_SUFFIX);

  if (len <= suffix || len - suffix >= MUX_NAME_LEN
      || strcmp (key + len - suffix, KEY_SUFFIX) != 0)
    return false;
  memcpy (id, key, len - suffix);
  id[len - suffix] = 0;
  return mux_name_valid (id);
}

static bool
is_entry (const json_t *entry, int64_t store_clock_ms)
{
  const json_t *started = json_array_get (entry, 0);
  const json_t *until = json_array_get (entry, 1);

  return json_is_integer (started) && json_integer_value (started) > 0
         && json_is_integer (until) && json_integer_value (until) >= 0
         && json_integer_value (until) - store_clock_ms <= UNTIL_MAX_MS;
}

static bool
is_list (const json_t *list, int64_t store_clock_ms)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    if (!is_entry (entry, store_clock_ms))
      return false;
  }
  return json_is_array (list);
}

static void
load_list (MuxCell *cell,
           CellIncarnations *incarnations,
           const json_t *list,
           int64_t store_clock_ms)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    json_int_t started_ms = json_integer_value (json_array_get (entry, 0));
    json_int_t until_ms = json_integer_value (json_array_get (entry, 1));

    (void) add (incarnations,
                (CellLateCalls){ .started_ms = (uint64_t) started_ms,
                                 .until_ms = cell->time.now_ms
                                             + (until_ms - store_clock_ms) });
  }
}

/* Nothing says what a row that can't be read held: any call that a predecessor
 * can have sent. */
static void
load_unreadable (MuxCell *cell, CellIncarnations *incarnations)
{
  (void) add (incarnations,
              (CellLateCalls){ .until_ms = cell->predecessor.until_ms
                                           + CELL_LATE_ORDERS_MS });
}

bool
cell_late_calls_load (MuxCell *cell,
                      const MuxCellRow *row,
                      int64_t store_clock_ms)
{
  CellIncarnations *incarnations;
  char id[MUX_NAME_LEN];
  const json_t *list;
  json_t *json;

  if (!parse_key (row->key, id))
    return false;
  incarnations = cell_incarnations_get (cell, id);
  if (incarnations == NULL)
    return true;
  incarnations->late_in_store = true;
  json = cell_row_json (cell, row);
  list = json_object_get (json, "late");
  if (is_list (list, store_clock_ms))
    load_list (cell, incarnations, list, store_clock_ms);
  else
    load_unreadable (cell, incarnations);
  if (json != NULL && !is_list (list, store_clock_ms))
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "late");
  json_decref (json);
  return true;
}

static bool
has_changed (const CellIncarnations *incarnations)
{
  return incarnations->late_changes != incarnations->late_stored;
}

static bool
is_obsolete (const CellIncarnations *incarnations)
{
  return incarnations->late_in_store && incarnations->late_count == 0;
}

bool
cell_late_calls_are_due (const MuxCell *cell)
{
  return cell->late_calls_changed
         || (cell->late_rows_obsolete_ms != 0
             && cell->time.now_ms
                    >= cell->late_rows_obsolete_ms + REMOVE_AFTER_MS);
}

static json_t *
list_json (const MuxCell *cell, const CellIncarnations *incarnations)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < incarnations->late_count; i++)
    {
      const CellLateCalls *calls = &incarnations->late[i];

      (void) json_array_append_new (
          list, json_pack ("[I, I]", (json_int_t) calls->started_ms,
                           (json_int_t) cell_store_time_ms (
                               cell, calls->until_ms - cell->time.now_ms)));
    }
  return list;
}

static void
write_row (const MuxCell *cell,
           MuxCellCall *call,
           CellIncarnations *incarnations)
{
  char key[MUX_ROW_NAME_LEN];
  bool remove = incarnations->late_count == 0;

  snprintf (key, sizeof key, "%s" KEY_SUFFIX, incarnations->id);
  incarnations->late_sent = incarnations->late_changes;
  incarnations->late_in_commit = true;
  /* It may be there whatever becomes of the commit. */
  incarnations->late_in_store = true;
  if (remove)
    cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_ROSTER, key);
  else
    cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ROSTER, key)->value
        = cell_blob_from_json (
            json_pack ("{s:o}", "late", list_json (cell, incarnations)));
}

uint32_t
cell_late_calls_write (MuxCell *cell, MuxCellCall *call, uint32_t max)
{
  CellIncarnations *incarnations;
  CellIncarnations *next;
  uint32_t n = 0;

  if (!cell->late_calls_changed && cell->late_rows_obsolete_ms == 0)
    return 0;
  HASH_ITER (hh, cell->incarnations, incarnations, next)
  if (n < max && (has_changed (incarnations) || is_obsolete (incarnations)))
    {
      write_row (cell, call, incarnations);
      n++;
    }
  return n;
}

bool
cell_late_calls_are_stored (const CellWorker *worker)
{
  return !has_changed (worker->incarnations)
         || worker->incarnations->late_in_commit;
}

static void
row_written (CellIncarnations *incarnations)
{
  incarnations->late_stored = incarnations->late_sent;
  if (incarnations->late_count == 0)
    incarnations->late_in_store = false;
}

void
cell_late_calls_written (MuxCell *cell, MuxCellStatus status)
{
  CellIncarnations *incarnations;
  CellIncarnations *next;

  cell->late_calls_changed = false;
  cell->late_rows_obsolete_ms = 0;
  HASH_ITER (hh, cell->incarnations, incarnations, next)
  {
    if (incarnations->late_in_commit && status == MUX_CELL_OK)
      row_written (incarnations);
    incarnations->late_in_commit = false;
    cell->late_calls_changed
        = cell->late_calls_changed || has_changed (incarnations);
    if (is_obsolete (incarnations) && cell->late_rows_obsolete_ms == 0)
      cell->late_rows_obsolete_ms = cell->time.now_ms;
  }
}

static void
forget_old (MuxCell *cell, CellIncarnations *incarnations)
{
  for (uint32_t i = incarnations->late_count; i > 0; i--)
    if (matters_until_ms (&incarnations->late[i - 1]) < cell->time.now_ms)
      remove_entry (incarnations, i - 1);
  if (is_obsolete (incarnations) && cell->late_rows_obsolete_ms == 0)
    cell->late_rows_obsolete_ms = cell->time.now_ms;
}

void
cell_late_calls_tick (MuxCell *cell)
{
  CellIncarnations *incarnations;
  CellIncarnations *next;

  if (cell->time.now_ms < cell->next_late_calls_ms)
    return;
  cell->next_late_calls_ms = cell->time.now_ms + TICK_INTERVAL_MS;
  HASH_ITER (hh, cell->incarnations, incarnations, next)
  {
    forget_old (cell, incarnations);
    if (incarnations->incarnation == NULL
        && !cell_late_calls_are_needed (incarnations))
      cell_incarnations_free (cell, incarnations);
  }
}

bool
cell_late_calls_are_needed (const CellIncarnations *incarnations)
{
  return incarnations->late_count > 0 || incarnations->late_in_store
         || incarnations->late_in_commit;
}
