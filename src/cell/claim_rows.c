#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* The claim's row as it is stored. */

/* Return: the invalid field; NULL: none. */
static const char *
bad_claim_field (const json_t *json)
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

/* For information only. */
static uint32_t
read_term_count (const json_t *json)
{
  json_int_t count = json_integer_value (json_object_get (json, "term"));

  return count > 0 ? (uint32_t) ((count - 1) % CELL_TERMS_MAX + 1) : 0;
}

/*
 * A row of another writer that names no holder, or an old row that was
 * restored, must not pass for a released claim, after which the last holder
 * sends no orders. So a release names the version of the claim that it ends.
 */
static bool
is_released (const MuxCell *cell, const json_t *json)
{
  json_int_t version = json_integer_value (json_object_get (json, "gave_up"));

  return version > 0
         && (cell->claim.version == 0
             || (uint64_t) version == cell->claim.version);
}

/*
 * Two daemons that can't parse each other's claims would replace each other in
 * turn. An unreadable claim therefore counts as held, and its holder is
 * replaced only once its heartbeats stop.
 */
void
cell_claim_read (MuxCell *cell, CellClaim *claim, const MuxCellRow *row)
{
  json_t *json = cell_row_json (cell, row);
  const char *bad_field = json != NULL ? bad_claim_field (json) : NULL;
  const char *name = json_string_value (json_object_get (json, "name"));
  const char *addr = json_string_value (json_object_get (json, "addr"));
  const char *successor = json_string_value (json_object_get (json, "heir"));

  memset (claim, 0, sizeof *claim);
  cell_claim_read_predecessors (cell, claim, json);
  cell_handovers_read (cell, &claim->handovers, json);
  claim->version = row->version;
  claim->known = true;
  claim->unreadable = !row->removed && (json == NULL || bad_field != NULL);
  if (bad_field != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, bad_field);
  if (claim->unreadable)
    {
      json_decref (json);
      return;
    }
  snprintf (claim->name, sizeof claim->name, "%s", name != NULL ? name : "");
  snprintf (claim->addr, sizeof claim->addr, "%s", addr != NULL ? addr : "");
  snprintf (claim->successor, sizeof claim->successor, "%s",
            successor != NULL ? successor : "");
  claim->incarnation
      = (uint64_t) json_integer_value (json_object_get (json, "incarnation"));
  claim->released = claim->incarnation == 0 && is_released (cell, json);
  claim->term_count = read_term_count (json);
  json_decref (json);
}

json_t *
cell_next_claim (const MuxCell *cell)
{
  int64_t left_ms = cell_orders_until_ms (cell) - cell->time.now_ms;

  if (left_ms < 0)
    left_ms = 0;
  return cell_predecessors_to_json (
      cell,
      json_pack ("{s:s, s:s, s:I, s:i, s:o}", "name", cell->options.name,
                 "addr", cell->options.peer_addr, "incarnation",
                 (json_int_t) cell->options.incarnation, "term",
                 (int) (cell->claim.term_count % CELL_TERMS_MAX + 1),
                 "handovers",
                 cell_handovers_to_json (cell, &cell->claim.handovers)),
      left_ms);
}
