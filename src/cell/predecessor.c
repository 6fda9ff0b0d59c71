#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* A greeting counts for a planner's trust in its claim for less. */
#define UNAWARE_MS 1000

/*
 * Until when planners before this one may order.
 *
 * A successor waits for it at workers that it does not hear.  What is known of
 * a former planner is handed over, so that the longest trust in a claim is
 * waited for only where nothing is: one that gave its claim up ordered nothing
 * from before it wrote so; a later process of it shows that it has ended; one
 * that is back greets with the claim that it has seen; of any other the last
 * sign of life is known, as the claim is taken on condition of that.  Each
 * planner's claim and signs of life tell until when those before it may order.
 */

static int64_t
later_of (int64_t a_ms, int64_t b_ms)
{
  return a_ms > b_ms ? a_ms : b_ms;
}

static int64_t
span_left (const json_t *json, int64_t or_ms)
{
  const json_t *span = json_object_get (json, "former_ms");

  if (!json_is_integer (span) || json_integer_value (span) < 0
      || json_integer_value (span) > CELL_CLAIM_LEASE_MAX_MS)
    return or_ms;
  return json_integer_value (span);
}

/*
 * The span counts from when the row is read.  Guards against a wait that begins
 * anew with each daemon that reads the row: the store's clock, which all can
 * read, tells the moment itself.
 */
static int64_t
told_until_ms (const MuxCell *cell, const json_t *json)
{
  int64_t left_ms = span_left (json, CELL_CLAIM_LEASE_MAX_MS);
  json_int_t over_ms
      = json_integer_value (json_object_get (json, "former_over_ms"));

  if (cell->reply_clock_ms != 0 && over_ms > 0
      && over_ms - cell->reply_clock_ms < left_ms)
    left_ms = over_ms - cell->reply_clock_ms;
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
  claim->predecessors_until_ms = told_until_ms (cell, json);
}

void
cell_heartbeat_read (MuxCell *cell, const MuxCellRow *row)
{
  json_t *json = row->value != NULL ? cell_json_from_blob (row->value) : NULL;

  cell->heartbeat_predecessors_until_ms = told_until_ms (cell, json);
  json_decref (json);
}

/*
 * Of those before the holder; its signs of life tell it later than its claim.
 * A holder that gave no sign of life may not have known of its claim, and have
 * greeted the former planner as a daemon that the store fails.
 */
static int64_t
earlier_until_ms (const MuxCell *cell)
{
  int64_t until_ms = cell->claim.predecessors_until_ms;

  if (cell->claim.released)
    return until_ms;
  if (cell->heartbeat_version <= cell->claim.version)
    return later_of (until_ms, cell->claim_read_ms + UNAWARE_MS);
  return cell->heartbeat_predecessors_until_ms < until_ms
             ? cell->heartbeat_predecessors_until_ms
             : until_ms;
}

/* This process planned, or a former one of this daemon. */
static bool
is_own (const MuxCell *cell, const CellClaim *claim)
{
  return claim->incarnation != 0
         && claim->incarnation <= cell->options.incarnation
         && strcmp (claim->name, cell->options.name) == 0
         && strcmp (claim->addr, cell->options.peer_addr) == 0;
}

/* What is known of the holder of the claim, as the log tells it. */
static const char *
known_of_holder (const MuxCell *cell)
{
  if (cell->claim.released)
    return "gave_up";
  if (is_own (cell, &cell->claim))
    return "ended";
  return cell_claim_lease_was_short (cell) ? "sign_of_life" : "nothing";
}

int64_t
cell_orders_until_ms (const MuxCell *cell)
{
  const CellClaim *claim = &cell->claim;
  int64_t until_ms = claim->released || is_own (cell, claim)
                         ? cell->time.now_ms
                         : cell_claim_lease_until_ms (cell);

  return later_of (until_ms, earlier_until_ms (cell));
}

void
cell_predecessor_begin (MuxCell *cell)
{
  const CellClaim *claim = &cell->claim;
  CellPredecessor *former = &cell->predecessor;
  int64_t left_ms;

  snprintf (former->name, sizeof former->name, "%s", claim->name);
  snprintf (former->addr, sizeof former->addr, "%s", claim->addr);
  former->incarnation = claim->incarnation;
  former->earlier_until_ms = earlier_until_ms (cell);
  former->until_ms = cell_orders_until_ms (cell);
  left_ms = later_of (former->until_ms - cell->time.now_ms, 0);
  cell_log (cell, "former_planner", "{s:s, s:s, s:I}", "name", former->name,
            "known", known_of_holder (cell), "may_order_ms",
            (json_int_t) left_ms);
}

int64_t
cell_predecessors_left_ms (const MuxCell *cell)
{
  return later_of (cell->predecessor.until_ms - cell->time.now_ms, 0);
}

static void
former_ended (MuxCell *cell)
{
  CellPredecessor *former = &cell->predecessor;
  int64_t until_ms = later_of (cell->time.now_ms, former->earlier_until_ms);

  former->incarnation = 0;
  if (until_ms >= former->until_ms)
    return;
  cell_log (cell, "former_ended", "{s:s, s:I}", "name", former->name,
            "sooner_ms", (json_int_t) (former->until_ms - until_ms));
  former->until_ms = until_ms;
  /* The next planner is to know, too. */
  cell->next_heartbeat_ms = cell->time.now_ms;
}

/*
 * A later process shows that the former one has ended; the same one has seen
 * this planner's claim, if it greets with that, and orders nothing since.  An
 * older greeting says nothing: it may be from before its own claim.
 */
void
cell_predecessor_hello (MuxCell *cell, const MuxPeerMsg *hello)
{
  const CellPredecessor *former = &cell->predecessor;

  if (former->incarnation == 0 || hello->from_incarnation < former->incarnation
      || strcmp (hello->from, former->name) != 0
      || strcmp (hello->from_addr, former->addr) != 0)
    return;
  if (hello->from_incarnation > former->incarnation
      || hello->epoch == cell->term)
    former_ended (cell);
}
