#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* The row that says who plans, as it is stored. */

/* Return: the field that keeps it from saying who plans; NULL: none. */
static const char *
wrong_in_claim (const json_t *json)
{
  const json_t *incarnation = json_object_get (json, "incarnation");
  const char *name = json_string_value (json_object_get (json, "name"));
  const char *addr = json_string_value (json_object_get (json, "addr"));

  if (!json_is_integer (incarnation) || json_integer_value (incarnation) < 0)
    return "incarnation";
  if (json_integer_value (incarnation) == 0)
    return NULL;
  if (name == NULL || !mux_name_valid (name))
    return "name";
  return addr != NULL && addr[0] != 0 ? NULL : "addr";
}

/* How often the claim was taken is told for information alone. */
static uint32_t
read_count (const json_t *json)
{
  json_int_t count = json_integer_value (json_object_get (json, "term"));

  return count > 0 ? (uint32_t) ((count - 1) % CELL_TERMS_MAX + 1) : 0;
}

/*
 * Guards against a planner that is taken for one that has left, by a row of
 * another writer that names nobody, or an old one that was put back: the holder
 * tells which claim it gave up.
 */
static bool
is_given_up (const MuxCell *cell, const json_t *json)
{
  json_int_t of = json_integer_value (json_object_get (json, "gave_up"));

  return of > 0
         && (cell->claim.version == 0 || (uint64_t) of == cell->claim.version);
}

/*
 * Guards against two daemons of which each can't read the other's claim, and
 * which replace each other in turn: one that can't be read says that somebody
 * plans, who is replaced only once its sign of life stays away.
 */
void
cell_claim_read (MuxCell *cell, CellClaim *claim, const MuxCellRow *row)
{
  json_t *json = cell_row_json (cell, row);
  const char *wrong = json != NULL ? wrong_in_claim (json) : NULL;
  const char *name = json_string_value (json_object_get (json, "name"));
  const char *addr = json_string_value (json_object_get (json, "addr"));
  const char *heir = json_string_value (json_object_get (json, "heir"));

  memset (claim, 0, sizeof *claim);
  cell_claim_read_predecessors (cell, claim, json);
  claim->version = row->version;
  claim->known = true;
  claim->unreadable = !row->removed && (json == NULL || wrong != NULL);
  if (wrong != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_FIELD, wrong);
  if (claim->unreadable)
    {
      json_decref (json);
      return;
    }
  snprintf (claim->name, sizeof claim->name, "%s", name != NULL ? name : "");
  snprintf (claim->addr, sizeof claim->addr, "%s", addr != NULL ? addr : "");
  snprintf (claim->successor, sizeof claim->successor, "%s",
            heir != NULL ? heir : "");
  claim->incarnation
      = (uint64_t) json_integer_value (json_object_get (json, "incarnation"));
  claim->released = claim->incarnation == 0 && is_given_up (cell, json);
  claim->term_count = read_count (json);
  json_decref (json);
}

/* The next claim, with this daemon as the planner. */
json_t *
cell_next_claim (const MuxCell *cell)
{
  int64_t left_ms = cell_orders_until_ms (cell) - cell->time.now_ms;

  if (left_ms < 0)
    left_ms = 0;
  return cell_predecessors_to_json (
      cell,
      json_pack ("{s:s, s:s, s:I, s:i}", "name", cell->options.name, "addr",
                 cell->options.peer_addr, "incarnation",
                 (json_int_t) cell->options.incarnation, "term",
                 (int) (cell->claim.term_count % CELL_TERMS_MAX + 1)),
      left_ms);
}
