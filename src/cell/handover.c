#include "cell_private.h"

/* Handing the claim over when a planner steps down by itself. */

/* Minimum age of a term: the strong members have sent a hello by then, and
 * one that does not claim is not asked again at once. */
#define YIELD_TERM_AGE_MS 1000
/* Interval of checks of the members, that of their hellos: a check each 4 ms
 * with 299 members took 2 % of the planner's processor. */
#define YIELD_CHECK_MS 250
/* A member whose first hello is no older than this may not have stated all its
 * limits yet: it does so once it knows that the planner takes them. */
#define MEMBER_SETTLED_MS 600
/* A member is alive if its last hello is no older than this; two hellos fit. */
#define MEMBER_ALIVE_MS 500

static bool
can_take_over (const MuxCell *cell, const CellMember *member)
{
  return member->store_available && !member->stopping
         && cell->time.now_ms - member->first_contact_ms >= MEMBER_SETTLED_MS
         && cell->time.processed_ms - member->last_contact_ms < MEMBER_ALIVE_MS;
}

/* Among members of equal ability and CPU share, the youngest process: in a
 * rolling restart it is the last one to be restarted again. */
static bool
is_better (const MuxCell *cell, const CellMember *a, const CellMember *b)
{
  uint32_t ability_a = cell_member_ability_milli (cell, a);
  uint32_t ability_b = cell_member_ability_milli (cell, b);

  if (ability_a != ability_b)
    return ability_a > ability_b;
  if (a->limits.cpu_milli != b->limits.cpu_milli)
    return a->limits.cpu_milli > b->limits.cpu_milli;
  return a->incarnation > b->incarnation;
}

/* Return: the most able member; NULL if none has @min_milli. */
static const CellMember *
choose_successor (const MuxCell *cell, uint32_t min_milli)
{
  const CellMember *best = NULL;
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  if (can_take_over (cell, member)
      && cell_member_ability_milli (cell, member) >= min_milli
      && (best == NULL || is_better (cell, member, best)))
    best = member;
  return best;
}

/* Writes a claim without a holder that names the successor. No orders are
 * sent from here on, as the next planner concludes from the row. */
static bool
write_release (MuxCell *cell,
               const CellMember *successor,
               CellReplyHandler on_reply)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:i}", "name", "", "addr", "", "heir",
      successor != NULL ? successor->name : "", "incarnation", (json_int_t) 0,
      "gave_up", (json_int_t) cell->term, "term", (int) cell->claim.term_count);
  bool sent = cell_write_claim (
      cell,
      cell_predecessors_to_json (cell, row, cell_predecessors_left_ms (cell)),
      on_reply);

  cell->claim_releasing = cell->claim_releasing || sent;
  return sent;
}

void
cell_yield_begin (MuxCell *cell)
{
  cell->yield_busy = false;
  cell->yield_after_ms = cell->time.now_ms + YIELD_TERM_AGE_MS;
}

static void
yield_written (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  cell_log (cell, "claim_yielded", "{s:s}", "status",
            mux_cell_status_name (reply->status));
  /* A late reply must not end a newer term of this process, whose claim would
   * stay in the store without a planner. */
  if (pending->context != cell->term)
    return;
  cell_yield_begin (cell);
  /* The commit may still be applied, unless another claim comes first. */
  if (reply->status == MUX_CELL_OK || reply->status == MUX_CELL_UNKNOWN)
    cell_step_down (cell, "yielded");
  else if (!cell->stopping)
    cell->claim_releasing = false;
}

/*
 * A small instance may have become planner while the able ones were away.
 * Planning for 350 workers takes more than its share of a processor or its
 * link carries, so that starts, ends and renewals would be late, and callers
 * be refused, for as long as it is the planner.
 */
void
cell_yield_tick (MuxCell *cell)
{
  uint32_t ability_milli = cell_own_ability_milli (cell);
  const CellMember *successor;

  if (cell->yield_busy || cell->time.now_ms < cell->yield_after_ms
      || cell->role != CELL_PLANNING || cell->need.term != cell->term)
    return;
  if (ability_milli >= MUX_ABILITY_FULL_MILLI)
    return;
  successor = choose_successor (cell, ability_milli * MUX_ABILITY_YIELD_MILLI
                                          / MUX_ABILITY_FULL_MILLI);
  cell->yield_after_ms = cell->time.now_ms + YIELD_CHECK_MS;
  if (successor != NULL)
    cell->yield_busy = write_release (cell, successor, yield_written);
}

static void
release_written (MuxCell *cell,
                 const CellPending *pending,
                 const MuxCellReply *reply)
{
  (void) pending;
  cell_log (cell, "claim_given_up", "{s:s}", "status",
            mux_cell_status_name (reply->status));
  cell->claim_released = true;
  cell_step_down (cell, "stopping");
}

void
cell_release_claim (MuxCell *cell)
{
  if (cell->role == CELL_FOLLOWER)
    {
      cell->claim_released = true;
      return;
    }
  if (!write_release (cell,
                      choose_successor (cell, cell_own_ability_milli (cell)),
                      release_written))
    cell->claim_released = true;
}
