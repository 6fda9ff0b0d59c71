#include "cell_private.h"

/* Handing the claim over when a planner steps down by itself. */

/* How many times this daemon's CPU share a member needs to take over; for
 * less the second that a takeover takes is not worth it. */
#define YIELD_FACTOR 2
/* Minimum age of a term: the strong members have sent a hello by then, and
 * one that does not claim is not asked again at once. */
#define YIELD_TERM_AGE_MS 1000
/* Interval of checks of the members, that of their hellos: a check each 4 ms
 * with 299 members took 2 % of the planner's processor. */
#define YIELD_CHECK_MS 250
/* A member is alive if its last hello is no older than this; two hellos fit. */
#define MEMBER_ALIVE_MS 500

static bool
can_take_over (const MuxCell *cell, const CellMember *member)
{
  return member->store_available && !member->stopping
         && cell->time.processed_ms - member->last_contact_ms < MEMBER_ALIVE_MS;
}

/* The member with the largest CPU share and, among equals, the youngest
 * process: in a rolling restart it is the last one to be restarted again.
 *
 * Return: NULL if none has @min_share_milli. */
static const CellMember *
choose_successor (const MuxCell *cell, uint32_t min_share_milli)
{
  const CellMember *best = NULL;
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    if (!can_take_over (cell, member)
        || member->cpu_share_milli < min_share_milli)
      continue;
    if (best == NULL || member->cpu_share_milli > best->cpu_share_milli
        || (member->cpu_share_milli == best->cpu_share_milli
            && member->incarnation > best->incarnation))
      best = member;
  }
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
 * A small instance may have become planner while the strong ones were away.
 * Planning for 350 workers takes more than its share of a processor, so that
 * starts, ends and renewals would be late, and callers be refused, for as long
 * as it is the planner.
 */
void
cell_yield_tick (MuxCell *cell)
{
  const CellMember *successor;

  if (cell->yield_busy || cell->time.now_ms < cell->yield_after_ms)
    return;
  successor
      = choose_successor (cell, YIELD_FACTOR * cell->options.cpu_share_milli);
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
                      choose_successor (cell, cell->options.cpu_share_milli),
                      release_written))
    cell->claim_released = true;
}
