#include "cell_private.h"

/* Who plans next when a planner leaves by itself. */

/* The plan goes to a member so many times as strong: less would not be worth
 * the second of a takeover. */
#define YIELD_FACTOR 2
/* Not before a term is so old: the strong members have greeted it by then, and
 * one that does not take the plan is not asked again at once. */
#define YIELD_AFTER_MS 1000
/* Between two looks at the members, as far apart as their greetings: one each
 * 4 ms at 299 of them took 2 % of the planner's processor. */
#define YIELD_LOOK_MS 250
/* A member that greeted within this time lives: two of its greetings fit. */
#define HEARD_MS 500

static bool
may_inherit (const MuxCell *cell, const CellMember *member)
{
  return member->store_available && !member->stopping
         && cell->time.processed_ms - member->last_contact_ms < HEARD_MS;
}

/* The strongest member, and of these the youngest: where daemons are restarted
 * one after the other, it is the last to be restarted again.
 * Return: NULL if none has @least_milli. */
static const CellMember *
choose_heir (const MuxCell *cell, uint32_t least_milli)
{
  const CellMember *best = NULL;
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    if (!may_inherit (cell, member) || member->cpu_share_milli < least_milli)
      continue;
    if (best == NULL || member->cpu_share_milli > best->cpu_share_milli
        || (member->cpu_share_milli == best->cpu_share_milli
            && member->incarnation > best->incarnation))
      best = member;
  }
  return best;
}

/* Write that nobody plans, and who should.  From here on nothing is ordered:
 * the next planner takes the row as a sign of that. */
static bool
leave_claim (MuxCell *cell, const CellMember *heir, CellReplyHandler done)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:i}", "name", "", "addr", "", "heir",
      heir != NULL ? heir->name : "", "incarnation", (json_int_t) 0, "gave_up",
      (json_int_t) cell->term, "term", (int) cell->claim.term_count);
  bool sent = cell_write_claim (
      cell,
      cell_predecessors_to_json (cell, row, cell_predecessors_left_ms (cell)),
      done);

  cell->claim_releasing = cell->claim_releasing || sent;
  return sent;
}

void
cell_yield_begin (MuxCell *cell)
{
  cell->yield_busy = false;
  cell->yield_after_ms = cell->time.now_ms + YIELD_AFTER_MS;
}

static void
yielded (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  cell_log (cell, "claim_yielded", "{s:s}", "status",
            mux_cell_status_name (reply->status));
  /* Late, it would end a newer term of the same process, whose claim would go
   * on to stand in the store with nobody who plans. */
  if (pending->context != cell->term)
    return;
  cell_yield_begin (cell);
  /* It may still be carried out, unless another claim comes before it. */
  if (reply->status == MUX_CELL_OK || reply->status == MUX_CELL_UNKNOWN)
    cell_step_down (cell, "yielded");
  else if (!cell->stopping)
    cell->claim_releasing = false;
}

/*
 * Guards against a small instance that keeps the plan which it took while the
 * strong ones were away: planning for 350 workers needs more than its share of
 * a processor, so that starts, ends and renewals are late and callers are
 * refused for as long as it plans.
 */
void
cell_yield_tick (MuxCell *cell)
{
  const CellMember *heir;

  if (cell->yield_busy || cell->time.now_ms < cell->yield_after_ms)
    return;
  heir = choose_heir (cell, YIELD_FACTOR * cell->options.strength_milli);
  cell->yield_after_ms = cell->time.now_ms + YIELD_LOOK_MS;
  if (heir != NULL)
    cell->yield_busy = leave_claim (cell, heir, yielded);
}

static void
claim_left (MuxCell *cell,
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
  if (!leave_claim (cell, choose_heir (cell, cell->options.strength_milli),
                    claim_left))
    cell->claim_released = true;
}
