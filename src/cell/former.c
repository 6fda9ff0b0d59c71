#include "cell_private.h"

#include <stdio.h>
#include <string.h>

#define PERCENT 100
/* Steady clocks of two daemons differ by less than this. */
#define CLOCK_SLOW_PERCENT 2
/* A claim is held for no longer, in ms. */
#define HELD_MAX_MS INT64_C (100000000000)

/*
 * Until when planners before this one may order.
 *
 * Each trusts its claim for a while after the last proof of it, and so for as
 * long after the next one's claim, as one that is cut off or frozen can't know
 * of that.  Guards against tasks that wait for a planner which is gone: a later
 * process that answers under its name, where it listened, shows that it has
 * ended, and orders nothing more.  That says nothing of those before it: their
 * time counts from its own claim.
 */

static void
former_ended (MuxCell *cell)
{
  CellFormer *former = &cell->former;
  int64_t until_ms = cell->time.now_ms;

  if (until_ms < former->earlier_until_ms)
    until_ms = former->earlier_until_ms;
  former->incarnation = 0;
  if (until_ms >= former->until_ms)
    return;
  cell_log (cell, "former_ended", "{s:s, s:I}", "name", former->name,
            "sooner_ms", (json_int_t) (former->until_ms - until_ms));
  former->until_ms = until_ms;
}

/*
 * A process that has just begun does not know since when the claim stands; the
 * planner's sign of life, which is written on condition of it, says for how
 * long at least.
 */
void
cell_claim_is_held (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = row->value != NULL ? cell_blob_json (row->value) : NULL;
  json_int_t held_ms = json_integer_value (json_object_get (json, "held_ms"));

  json_decref (json);
  if (held_ms < 0 || held_ms > HELD_MAX_MS)
    held_ms = 0;
  cell->claim_held_ms
      = cell->time.now_ms - held_ms * (PERCENT - CLOCK_SLOW_PERCENT) / PERCENT;
}

/* When the claim was taken, at the latest. */
static int64_t
taken_ms (const MuxCell *cell, const CellClaim *claim, int64_t seen_ms)
{
  if (!claim->known)
    return cell->time.now_ms;
  return cell->beat_version > claim->version && cell->claim_held_ms < seen_ms
             ? cell->claim_held_ms
             : seen_ms;
}

void
cell_former_begin (MuxCell *cell, const CellClaim *claim, int64_t seen_ms)
{
  CellFormer *former = &cell->former;
  bool ended = claim->incarnation != 0
               && strcmp (claim->name, cell->options.name) == 0
               && strcmp (claim->addr, cell->options.peer_addr) == 0
               && claim->incarnation < cell->options.incarnation;

  snprintf (former->name, sizeof former->name, "%s", claim->name);
  snprintf (former->addr, sizeof former->addr, "%s", claim->addr);
  former->incarnation = claim->incarnation;
  former->earlier_until_ms = taken_ms (cell, claim, seen_ms) + CELL_TRUST_MS;
  former->until_ms = cell->time.now_ms + CELL_TRUST_MS;
  if (ended)
    former_ended (cell);
}

void
cell_former_heard (MuxCell *cell, const MuxPeerMsg *hello)
{
  const CellFormer *former = &cell->former;

  if (former->incarnation == 0 || hello->from_incarnation <= former->incarnation
      || strcmp (hello->from, former->name) != 0
      || strcmp (hello->from_addr, former->addr) != 0)
    return;
  former_ended (cell);
}
