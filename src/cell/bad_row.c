#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Rows that can't be parsed. The store is shared: a row may come from another
 * writer, or from another version of this program. Such a row is never used;
 * each reader decides what that means for its table.
 */

/* Rows remembered so that none is reported twice; when full, the memory
 * starts over. At 72 bytes an entry: 72 KB at most. */
#define BAD_ROWS_MAX 1024

/* Lines a second about the rows of a table: another writer may change them as
 * often as it likes. */
#define LINES_PER_S 5
#define MS_PER_S 1000

/**
 * struct CellBadRow - a row that was reported as unreadable
 * @name: hash of its table, part and key
 * @version: the last version reported
 */
struct CellBadRow
{
  uint64_t name;
  uint64_t version;
  UT_hash_handle hh;
};

void
cell_bad_rows_free (MuxCell *cell)
{
  CellBadRow *bad;
  CellBadRow *next;

  HASH_ITER (hh, cell->bad_rows, bad, next)
  {
    HASH_DEL (cell->bad_rows, bad);
    free (bad);
  }
}

static uint64_t
row_hash (const MuxCellRow *row)
{
  return mux_hash_name (row->key, mux_hash_name (row->part, row->table));
}

/* Return: false if this version was reported before. */
static bool
is_new (MuxCell *cell, const MuxCellRow *row)
{
  uint64_t name = row_hash (row);
  CellBadRow *bad;

  HASH_FIND (hh, cell->bad_rows, &name, sizeof name, bad);
  if (bad != NULL && bad->version == row->version)
    return false;
  if (bad != NULL)
    {
      bad->version = row->version;
      return true;
    }
  if (HASH_COUNT (cell->bad_rows) >= BAD_ROWS_MAX)
    cell_bad_rows_free (cell);
  bad = calloc (1, sizeof *bad);
  if (bad == NULL)
    return true;
  bad->name = name;
  bad->version = row->version;
  HASH_ADD (hh, cell->bad_rows, name, sizeof bad->name, bad);
  return true;
}

const char *
cell_table_name (MuxCellTable table)
{
  static const char *const names[MUX_TABLE_COUNT] = {
    [MUX_TABLE_JOBS] = "jobs",     [MUX_TABLE_PROGRESS] = "progress",
    [MUX_TABLE_ENDED] = "ended",   [MUX_TABLE_CLAIM] = "claim",
    [MUX_TABLE_FENCE] = "fence",   [MUX_TABLE_ROSTER] = "roster",
    [MUX_TABLE_CONFIG] = "config", [MUX_TABLE_WORKERS] = "workers",
    [MUX_TABLE_SPEEDS] = "speeds",
  };

  return (uint32_t) table < MUX_TABLE_COUNT ? names[table] : "?";
}

/* Return: whether the table's rows may have another line now. */
static bool
may_log (const MuxCell *cell, CellBadRowLines *lines)
{
  if (cell->time.now_ms - lines->since_ms >= MS_PER_S)
    {
      lines->since_ms = cell->time.now_ms;
      lines->logged = 0;
    }
  if (lines->logged < LINES_PER_S)
    {
      lines->logged++;
      return true;
    }
  lines->left_out++;
  return false;
}

void
cell_report_bad_row (MuxCell *cell,
                     const MuxCellRow *row,
                     CellRowFault fault,
                     const char *what)
{
  static const MuxCounter counters[]
      = { [CELL_ROW_BAD_KEY] = MUX_COUNT_ROWS_BAD_KEY,
          [CELL_ROW_BAD_VALUE] = MUX_COUNT_ROWS_BAD_VALUE,
          [CELL_ROW_BAD_FIELD] = MUX_COUNT_ROWS_BAD_FIELD };

  CellBadRowLines *lines = &cell->bad_row_lines[row->table];

  if (row->removed || !is_new (cell, row))
    return;
  mux_count (cell->options.counters, counters[fault], 1);
  if (!may_log (cell, lines))
    return;
  cell_log (cell, "row_unreadable", "{s:s, s:s, s:s, s:s, s:I, s:i}", "table",
            cell_table_name (row->table), "part", row->part, "key", row->key,
            "what", what, "version", (json_int_t) row->version, "left_out",
            (int) lines->left_out);
  lines->left_out = 0;
}

json_t *
cell_row_json (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = row->removed ? NULL : cell_json_from_blob (row->value);

  if (json_is_object (json))
    return json;
  cell_report_bad_row (cell, row, CELL_ROW_BAD_VALUE, "value");
  json_decref (json);
  return NULL;
}

const MuxCellRow *
cell_reply_find_row (const MuxCellReply *reply, const char *key)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->row[i].key, key) == 0)
      return &reply->row[i];
  return NULL;
}

/* Rows without a key don't tell how far the page goes. */
bool
cell_next_page (char from[MUX_ROW_NAME_LEN], const MuxCellReply *reply)
{
  char next[MUX_ROW_NAME_LEN];

  for (uint32_t i = reply->row_count; reply->more && i > 0; i--)
    {
      cell_key_after (next, reply->row[i - 1].key);
      if (reply->row[i - 1].key[0] == 0 || strcmp (next, from) <= 0)
        continue;
      memcpy (from, next, sizeof next);
      return true;
    }
  from[0] = 0;
  return false;
}
