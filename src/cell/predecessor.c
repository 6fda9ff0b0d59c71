#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* Upper bound of how long a hello counts when a planner extends its claim. */
#define HELLO_COUNTS_MS 1000

/*
 * Until when planners before this one may send orders to workers.
 *
 * A successor waits until then for workers that do not answer it. It assumes
 * the longest lease of a claim only where nothing better is known: a holder
 * that released its claim sent no orders from before that write on; a later
 * process of the same daemon shows that the holder has ended; a holder that is
 * back sends a hello with the version of the claim it has seen; of any other
 * the last heartbeat is known, as the claim was taken on condition of that.
 * Each planner's claim and heartbeats say until when the planners before it
 * may send orders.
 */

static int64_t
max_ms (int64_t a_ms, int64_t b_ms)
{
  return a_ms > b_ms ? a_ms : b_ms;
}

static int64_t
read_remaining_ms (const json_t *json, int64_t default_ms)
{
  const json_t *remaining = json_object_get (json, "former_ms");

  if (!json_is_integer (remaining) || json_integer_value (remaining) < 0
      || json_integer_value (remaining) > CELL_CLAIM_LEASE_MAX_MS)
    return default_ms;
  return json_integer_value (remaining);
}

/*
 * The remaining time counts from when the row is read, so it would start again
 * with each daemon that reads the row. An absolute time by the store's clock,
 * which all daemons can read, bounds it.
 */
static int64_t
read_until_ms (const MuxCell *cell, const json_t *json)
{
  int64_t left_ms = read_remaining_ms (json, CELL_CLAIM_LEASE_MAX_MS);
  json_int_t until_ms
      = json_integer_value (json_object_get (json, "former_over_ms"));

  if (cell->reply_clock_ms != 0 && until_ms > 0
      && until_ms - cell->reply_clock_ms < left_ms)
    left_ms = until_ms - cell->reply_clock_ms;
  return cell->time.now_ms + (left_ms > 0 ? left_ms : 0);
}

json_t *
cell_predecessors_to_json (const MuxCell *cell, json_t *json, int64_t left_ms)
{
  (void) json_object_set_new (json, "former_ms",
                              json_integer ((json_int_t) left_ms));
  (void) json_object_set_new (
      json, "former_over_ms",
      json_integer ((json_int_t) cell_store_time_ms (cell, left_ms)));
  return json;
}

void
cell_claim_read_predecessors (const MuxCell *cell,
                              CellClaim *claim,
                              const json_t *json)
{
  claim->predecessors_until_ms = read_until_ms (cell, json);
}

void
cell_heartbeat_read (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = row->value != NULL ? cell_json_from_blob (row->value) : NULL;

  cell->heartbeat_predecessors_until_ms = read_until_ms (cell, json);
  cell_need_receive (cell, json);
  json_decref (json);
}

/*
 * Planners before the holder; its heartbeats are more recent than its claim. A
 * holder without a heartbeat may not have known of its claim, and may have
 * sent the earlier planner hellos that reported the store as failing.
 */
static int64_t
earlier_until_ms (const MuxCell *cell)
{
  int64_t until_ms = cell->claim.predecessors_until_ms;

  if (cell->claim.released)
    return until_ms;
  if (cell->heartbeat_version <= cell->claim.version)
    return max_ms (until_ms, cell->claim_read_ms + HELLO_COUNTS_MS);
  return cell->heartbeat_predecessors_until_ms < until_ms
             ? cell->heartbeat_predecessors_until_ms
             : until_ms;
}

/* Whether the claim's holder is this process or an earlier one of this
 * daemon. */
static bool
is_own_process (const MuxCell *cell, const CellClaim *claim)
{
  return claim->incarnation != 0
         && claim->incarnation <= cell->options.incarnation
         && strcmp (claim->name, cell->options.name) == 0
         && strcmp (claim->addr, cell->options.peer_addr) == 0;
}

/* The evidence on the claim's holder, for the log. */
static const char *
holder_evidence (const MuxCell *cell)
{
  if (cell->claim.released)
    return "gave_up";
  if (is_own_process (cell, &cell->claim))
    return "ended";
  return cell_claim_lease_was_short (cell) ? "sign_of_life" : "nothing";
}

int64_t
cell_orders_until_ms (const MuxCell *cell)
{
  const CellClaim *claim = &cell->claim;
  int64_t until_ms = claim->released || is_own_process (cell, claim)
                         ? cell->time.now_ms
                         : cell_claim_lease_until_ms (cell);

  return max_ms (until_ms, earlier_until_ms (cell));
}

void
cell_predecessor_begin (MuxCell *cell)
{
  const CellClaim *claim = &cell->claim;
  CellPredecessor *predecessor = &cell->predecessor;
  int64_t left_ms;

  snprintf (predecessor->name, sizeof predecessor->name, "%s", claim->name);
  snprintf (predecessor->addr, sizeof predecessor->addr, "%s", claim->addr);
  predecessor->incarnation = claim->incarnation;
  predecessor->earlier_until_ms = earlier_until_ms (cell);
  predecessor->until_ms = cell_orders_until_ms (cell);
  left_ms = max_ms (predecessor->until_ms - cell->time.now_ms, 0);
  cell_log (cell, "former_planner", "{s:s, s:s, s:I}", "name",
            predecessor->name, "known", holder_evidence (cell), "may_order_ms",
            (json_int_t) left_ms);
}

int64_t
cell_predecessors_left_ms (const MuxCell *cell)
{
  return max_ms (cell->predecessor.until_ms - cell->time.now_ms, 0);
}

static void
predecessor_ended (MuxCell *cell)
{
  CellPredecessor *predecessor = &cell->predecessor;
  int64_t until_ms = max_ms (cell->time.now_ms, predecessor->earlier_until_ms);

  predecessor->incarnation = 0;
  if (until_ms >= predecessor->until_ms)
    return;
  cell_log (cell, "former_ended", "{s:s, s:I}", "name", predecessor->name,
            "sooner_ms", (json_int_t) (predecessor->until_ms - until_ms));
  predecessor->until_ms = until_ms;
  /* So that the next planner learns of it too. */
  cell->next_heartbeat_ms = cell->time.now_ms;
}

/*
 * A later process shows that the predecessor has ended. The same process has
 * seen this planner's claim, and sends no orders since, if its hello carries
 * that claim's version. A hello with an older version says nothing: it may be
 * from before its own claim.
 */
void
cell_predecessor_hello (MuxCell *cell, const MuxPeerMsg *hello)
{
  const CellPredecessor *predecessor = &cell->predecessor;

  if (predecessor->incarnation == 0
      || hello->from_incarnation < predecessor->incarnation
      || strcmp (hello->from, predecessor->name) != 0
      || strcmp (hello->from_addr, predecessor->addr) != 0)
    return;
  if (hello->from_incarnation > predecessor->incarnation
      || hello->epoch == cell->term)
    predecessor_ended (cell);
}
