#include "cell_private.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Speeds of workers as they are stored for the next planner: rows of one table,
 * each with the workers of a share of all names, {"w": "<entries>"}.  An entry
 * is hexadecimal: 48 bits of the hash of the incarnation's name, the logarithm
 * of its speed, the standard deviation, the number of runs.  Rows hold nothing
 * but this estimate: one that is missing, torn or old costs only knowledge.
 */

#define ROW_KEY "s%u"
#define ENTRY_FORMAT "%012" PRIx64 "%04x%02x%02x"
#define ENTRY_LEN 20
#define HASH_LEN 12
#define LOG_LEN 4
#define BYTE_LEN 2
#define HEX 16
#define HASH_MASK ((UINT64_C (1) << 48) - 1)
/* The logarithm is stored in thousandths, above this. */
#define LOG_OFFSET 0x8000
#define LOG_SCALE 1000.0
/* Standard deviations, of 0.5 at most. */
#define DEVIATION_SCALE 500.0
#define BYTE_MAX 255
/* Entries of one row, so that it stays below 64 KB. */
#define ENTRIES_MAX 3000
/* Rows are written at most this often, and first so long after planning began,
 * when the workers have been listed. */
#define WRITE_INTERVAL_MS 5000
#define FIRST_WRITE_MS 10000
/* What is worth a write: a speed not stored yet that is based on some runs, or
 * a change of its logarithm, or half of its variance. */
#define STORED_RUNS_MIN 4
#define NOTICEABLE_LOG 0.1
/* The table is read up to this many times. */
#define READ_RETRY_MS 1000
#define READS_MAX 5
/* Added to the variance of a stored speed, for what happened since. */
#define STORED_VARIANCE 0.005

static uint64_t
hash_of (const CellWorker *worker)
{
  return mux_hash_name (worker->info.id, 0) & HASH_MASK;
}

static uint32_t
row_of (const CellWorker *worker)
{
  return (uint32_t) (hash_of (worker) % CELL_SPEED_ROWS);
}

void
cell_speed_rows_begin (MuxCell *cell)
{
  free (cell->speeds.rows.stored);
  cell->speeds.rows = (CellSpeedRows){ .stored = NULL };
}

static int
compare (const void *x, const void *y)
{
  const CellStoredSpeed *a = x;
  const CellStoredSpeed *b = y;

  return (a->hash > b->hash) - (a->hash < b->hash);
}

/* Return: false: the digits are not hexadecimal. */
static bool
read_hex (const char **text, uint32_t len, uint64_t *value)
{
  char digits[HASH_LEN + 1] = "";
  char *end;

  memcpy (digits, *text, len);
  *text += len;
  if (strspn (digits, "0123456789abcdef") != len)
    return false;
  *value = strtoull (digits, &end, HEX);
  return true;
}

static bool
read_entry (const char *text, CellStoredSpeed *stored)
{
  uint64_t log;
  uint64_t deviation;
  uint64_t runs;

  if (!read_hex (&text, HASH_LEN, &stored->hash)
      || !read_hex (&text, LOG_LEN, &log)
      || !read_hex (&text, BYTE_LEN, &deviation)
      || !read_hex (&text, BYTE_LEN, &runs))
    return false;
  stored->speed = (MuxWorkerSpeed){
    .mean = ((double) log - LOG_OFFSET) / LOG_SCALE,
    .variance = pow ((double) deviation / DEVIATION_SCALE, 2),
    .runs = (uint32_t) runs,
  };
  return mux_worker_speed_is_valid (&stored->speed);
}

/* Adds all entries or, if one is malformed, none. */
static bool
read_entries (CellSpeedRows *rows, const char *text)
{
  size_t len = strlen (text);
  uint32_t count = (uint32_t) (len / ENTRY_LEN);
  CellStoredSpeed *list;

  if (len % ENTRY_LEN != 0 || count > ENTRIES_MAX)
    return false;
  list = realloc (rows->stored,
                  (rows->stored_count + count + 1) * sizeof *rows->stored);
  if (list == NULL)
    return true;
  rows->stored = list;
  for (uint32_t i = 0; i < count; i++)
    if (!read_entry (text + (size_t) i * ENTRY_LEN,
                     &list[rows->stored_count + i]))
      return false;
  rows->stored_count += count;
  return true;
}

static void
read_row (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = cell_row_json (cell, row);
  const char *text = json_string_value (json_object_get (json, "w"));

  if (json != NULL
      && (text == NULL || !read_entries (&cell->speeds.rows, text)))
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "w");
  json_decref (json);
}

static void
rows_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellSpeedRows *rows = &cell->speeds.rows;

  (void) pending;
  rows->busy = false;
  rows->next_ms = cell->time.now_ms + READ_RETRY_MS;
  /* A lookup may follow even if a later page can't be read. */
  if (rows->stored_count > 0)
    qsort (rows->stored, rows->stored_count, sizeof *rows->stored, compare);
  if (reply->status != MUX_CELL_OK)
    {
      cell_log (cell, "speeds_not_read", "{s:s, s:i}", "status",
                mux_cell_status_name (reply->status), "attempt",
                (int) ++rows->reads_failed);
      rows->loaded = rows->reads_failed == READS_MAX;
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    read_row (cell, &reply->row[i]);
  rows->next_ms = 0;
  rows->loaded = !cell_next_page (rows->from, reply);
  if (!rows->loaded)
    return;
  if (rows->stored_count > 0)
    qsort (rows->stored, rows->stored_count, sizeof *rows->stored, compare);
  cell_log (cell, "speeds_read", "{s:i}", "workers", (int) rows->stored_count);
}

static void
read_rows (MuxCell *cell)
{
  CellSpeedRows *rows = &cell->speeds.rows;
  CellPending pending = { .on_reply = rows_read, .term = cell->term };
  MuxCellCall *call = cell_scan_call (MUX_TABLE_SPEEDS, "");

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", rows->from);
  rows->busy = cell_call (cell, call, &pending);
}

void
cell_speed_restore (MuxCell *cell, CellWorker *worker)
{
  const CellSpeedRows *rows = &cell->speeds.rows;
  CellStoredSpeed key = { .hash = hash_of (worker) };
  const CellStoredSpeed *found;

  if (worker->speed_restored || !rows->loaded)
    return;
  worker->speed_restored = true;
  found = rows->stored_count > 0
              ? bsearch (&key, rows->stored, rows->stored_count,
                         sizeof *rows->stored, compare)
              : NULL;
  if (found == NULL || found->speed.runs <= worker->speed.runs)
    return;
  worker->speed = found->speed;
  worker->speed.variance
      = fmin (found->speed.variance + STORED_VARIANCE, MUX_SPEED_VARIANCE_MAX);
  worker->speed_stored = true;
  worker->stored_speed = found->speed;
}

/* Speeds of pools whose workers are alike are not stored. */
static bool
is_to_be_stored (MuxCell *cell, const CellWorker *worker)
{
  return worker->speed.runs > 0 && !worker->dead
         && cell_speeds_differ (cell, worker);
}

static bool
is_noticeable (MuxCell *cell, const CellWorker *worker)
{
  if (!is_to_be_stored (cell, worker))
    return worker->speed_stored && !worker->dead;
  if (!worker->speed_stored)
    return worker->speed.runs >= STORED_RUNS_MIN;
  return fabs (worker->speed.mean - worker->stored_speed.mean) >= NOTICEABLE_LOG
         || worker->speed.variance * 2 < worker->stored_speed.variance;
}

static void
write_entry (char *text, const CellWorker *worker)
{
  double deviation = sqrt (worker->speed.variance) * DEVIATION_SCALE;
  uint32_t runs = worker->speed.runs;

  snprintf (text, ENTRY_LEN + 1, ENTRY_FORMAT, hash_of (worker),
            (unsigned) (lround (worker->speed.mean * LOG_SCALE) + LOG_OFFSET),
            (unsigned) fmax (1, fmin (BYTE_MAX, ceil (deviation))),
            (unsigned) (runs < BYTE_MAX ? runs : BYTE_MAX));
}

/* Return: the row's entries, owned by the caller; NULL if out of memory. */
static char *
entries_of (MuxCell *cell, uint32_t row)
{
  char *text = calloc (ENTRIES_MAX, ENTRY_LEN + 1);
  CellWorker *worker;
  CellWorker *next;
  uint32_t count = 0;

  if (text == NULL)
    return NULL;
  HASH_ITER (hh, cell->workers, worker, next)
  {
    if (row_of (worker) != row || count == ENTRIES_MAX)
      continue;
    worker->speed_stored = is_to_be_stored (cell, worker);
    worker->stored_speed = worker->speed;
    if (worker->speed_stored)
      write_entry (text + (size_t) count++ * ENTRY_LEN, worker);
  }
  return text;
}

static void
add_row (MuxCell *cell, MuxCellCall *call, uint32_t row)
{
  char *text = entries_of (cell, row);
  char key[MUX_NAME_LEN];

  if (text == NULL)
    return;
  snprintf (key, sizeof key, ROW_KEY, (unsigned) row);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_SPEEDS, key)->value
      = cell_blob_from_json (json_pack ("{s:s}", "w", text));
  free (text);
}

/* An old commit that is carried out late brings old speeds back, until the
 * next one. */
static void
rows_written (MuxCell *cell,
              const CellPending *pending,
              const MuxCellReply *reply)
{
  CellSpeedRows *rows = &cell->speeds.rows;

  rows->busy = false;
  if (reply->status == MUX_CELL_OK)
    {
      rows->dirty &= ~(uint32_t) pending->context;
      return;
    }
  cell_log (cell, "speeds_not_stored", "{s:s}", "status",
            mux_cell_status_name (reply->status));
}

/* Stored by the holder of the claim alone. */
static void
write_rows (MuxCell *cell)
{
  CellSpeedRows *rows = &cell->speeds.rows;
  MuxCellCall *call = cell_commit_call ("", CELL_SPEED_ROWS + 1);
  CellPending pending = { .on_reply = rows_written,
                          .term = cell->term,
                          .context = rows->dirty };

  if (call == NULL)
    return;
  cell_call_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->term);
  for (uint32_t i = 0; i < CELL_SPEED_ROWS; i++)
    if ((rows->dirty >> i & 1) != 0)
      add_row (cell, call, i);
  rows->busy = cell_call (cell, call, &pending);
}

static void
find_dirty (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (is_noticeable (cell, worker))
    cell->speeds.rows.dirty |= UINT32_C (1) << row_of (worker);
}

void
cell_speed_rows_tick (MuxCell *cell)
{
  CellSpeedRows *rows = &cell->speeds.rows;

  if (rows->busy || cell->time.now_ms < rows->next_ms)
    return;
  if (!rows->loaded)
    {
      read_rows (cell);
      return;
    }
  if (cell->time.now_ms - cell->planning_began_ms < FIRST_WRITE_MS
      || !cell_is_active_planner (cell))
    return;
  find_dirty (cell);
  if (rows->dirty == 0)
    return;
  rows->next_ms = cell->time.now_ms + WRITE_INTERVAL_MS;
  write_rows (cell);
}
