#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* Handing the claim over when a planner steps down by itself. */

/* Minimum age of a term: the able members have sent a hello by then, and one
 * that does not claim is not asked again at once. */
#define YIELD_TERM_AGE_MS 1000
/* Interval of checks of the members: that of their hellos. */
#define YIELD_CHECK_MS 250
/* A member whose first hello is no older than this may not have stated all its
 * limits yet: it does so once it knows that the planner takes them. */
#define MEMBER_SETTLED_MS 600
/* A member is alive if its last hello is no older than this; two hellos fit. */
#define MEMBER_ALIVE_MS 500
/* A member is healthy if its round-trip time is at most so much above the
 * lower quartile of all, as the planner's own delay is in all of them, and its
 * events don't wait for longer. */
#define MEMBER_SLOWER_MAX_MS 200
#define MEMBER_LOOP_MAX_MS 200
/* The quartile is taken from so many reports at least: a single slow round trip
 * may be due to either end.  Most members may have slow links of their own. */
#define REPORTS_MIN 2
#define QUARTILES 4
/* Its resolution and range. */
#define BUCKET_MS 25
#define BUCKETS 160
/* No handover while the store takes longer than this, or fails: no orders are
 * sent until the release is written. */
#define STORE_SLOW_MS 1200
#define RELEASE_TIMEOUT_FACTOR 2

/* What a successor has to meet; @reason NONE: the planner stops, and any is
 * better than none. */
typedef struct
{
  MuxHandoverReason reason;
  uint32_t min_milli;
  int64_t round_trip_ms; /* lower quartile of the members' */
} Requirements;

/* The planner is among the members as well, without limits. */
static bool
is_alive (const MuxCell *cell, const CellMember *member)
{
  return strcmp (member->name, cell->options.name) != 0
         && member->store_available && !member->stopping
         && cell->time.processed_ms - member->last_contact_ms < MEMBER_ALIVE_MS;
}

static bool
can_take_over (const MuxCell *cell,
               const CellMember *member,
               const Requirements *required)
{
  if (!is_alive (cell, member)
      || cell_member_ability_milli (cell, member) < required->min_milli)
    return false;
  return required->reason == MUX_HANDOVER_NONE
         || (cell->time.now_ms - member->first_contact_ms >= MEMBER_SETTLED_MS
             && member->round_trip_ms
                    <= required->round_trip_ms + MEMBER_SLOWER_MAX_MS
             && member->loop_ms <= MEMBER_LOOP_MAX_MS
             && !mux_handovers_exclude (&cell->claim.handovers, member->name,
                                        required->reason, cell->time.now_ms));
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

/* Return: the most able member that meets @required; NULL: none does. */
static const CellMember *
choose_successor (const MuxCell *cell, const Requirements *required)
{
  const CellMember *best = NULL;
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  if (can_take_over (cell, member, required)
      && (best == NULL || is_better (cell, member, best)))
    best = member;
  return best;
}

/* Writes a claim without a holder that names the successor. No orders are
 * sent from here on, as the next planner concludes from the row. */
static bool
write_release (MuxCell *cell,
               const CellMember *successor,
               MuxHandoverReason reason,
               CellReplyHandler on_reply)
{
  MuxHandovers handovers = cell->claim.handovers;
  MuxHandover handover = { .reason = reason, .at_ms = cell->time.now_ms };
  json_t *row;
  bool sent;

  snprintf (handover.from, sizeof handover.from, "%s", cell->options.name);
  if (reason != MUX_HANDOVER_NONE)
    mux_handovers_add (&handovers, &handover);
  row = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:i, s:o}", "name", "", "addr", "", "heir",
      successor != NULL ? successor->name : "", "incarnation", (json_int_t) 0,
      "gave_up", (json_int_t) cell->term, "term", (int) cell->claim.term_count,
      "handovers", cell_handovers_to_json (cell, &handovers));
  sent = cell_write_claim (
      cell,
      cell_predecessors_to_json (cell, row, cell_predecessors_left_ms (cell)),
      on_reply);
  cell->claim_releasing = cell->claim_releasing || sent;
  return sent;
}

void
cell_yield_begin (MuxCell *cell)
{
  CellYield *yield = &cell->yield;

  if (yield->term != cell->term)
    yield->impairment = (MuxImpairment){ .updated_ms = 0 };
  yield->term = cell->term;
  yield->busy = false;
  yield->after_ms = cell->time.now_ms + YIELD_TERM_AGE_MS;
}

static void
count_handover (MuxCell *cell, MuxHandoverReason reason)
{
  static const MuxCounter counter[]
      = { [MUX_HANDOVER_NONE] = MUX_COUNT_HANDOVERS_STOP,
          [MUX_HANDOVER_ABILITY] = MUX_COUNT_HANDOVERS_ABILITY,
          [MUX_HANDOVER_LATE] = MUX_COUNT_HANDOVERS_LATE,
          [MUX_HANDOVER_LINK] = MUX_COUNT_HANDOVERS_LINK };

  mux_count (cell->options.counters, counter[reason], 1);
}

static void
log_yield (MuxCell *cell, const MuxCellReply *reply)
{
  const CellYield *yield = &cell->yield;

  cell_log (cell, "claim_yielded", "{s:s, s:s, s:s, s:i, s:i, s:I, s:I}",
            "status", mux_cell_status_name (reply->status), "why",
            mux_handover_reason_name (yield->reason), "to", yield->successor,
            "ability", (int) yield->own_milli, "its_ability",
            (int) yield->successor_milli, "loop_ms",
            (json_int_t) yield->impairment.loop_ms, "link_ms",
            (json_int_t) yield->impairment.link_ms);
}

static void
yield_written (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  log_yield (cell, reply);
  if (reply->status == MUX_CELL_OK)
    count_handover (cell, cell->yield.reason);
  /* A late reply must not end a newer term of this process, whose claim would
   * stay in the store without a planner. */
  if (pending->context != cell->term)
    return;
  cell_yield_begin (cell);
  /* The commit may still be applied, unless another claim comes first. So the
   * row decides: if it is unchanged this daemon claims again, and no other
   * does as long as it is heard from. */
  if (reply->status == MUX_CELL_OK || reply->status == MUX_CELL_UNKNOWN)
    cell_step_down (cell, "yielded");
  else if (!cell->stopping)
    cell->claim_releasing = false;
  if (reply->status == MUX_CELL_UNKNOWN && !cell->stopping)
    cell_claim_check (cell);
}

/* Return: the lower quartile of the round-trip times that members report; 0:
 * too few do. */
static int64_t
low_round_trip_ms (const MuxCell *cell)
{
  uint32_t bucket[BUCKETS] = { 0 };
  uint32_t reports = 0;
  uint32_t seen = 0;
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    int64_t i = member->round_trip_ms / BUCKET_MS;

    if (member->round_trip_ms == 0 || !is_alive (cell, member))
      continue;
    bucket[i < BUCKETS ? i : BUCKETS - 1]++;
    reports++;
  }
  if (reports < REPORTS_MIN)
    return 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      seen += bucket[i];
      if (QUARTILES * seen >= reports)
        return (int64_t) i * BUCKET_MS;
    }
  return 0;
}

/* No orders are sent until the reply to a release, so it is not awaited for
 * much longer than the store took lately. */
uint32_t
cell_release_timeout_ms (const MuxCell *cell)
{
  int64_t timeout_ms = RELEASE_TIMEOUT_FACTOR * cell->heartbeat_took_ms;

  if (cell->stopping || timeout_ms > CELL_STORE_TIMEOUT_MS)
    return CELL_STORE_TIMEOUT_MS;
  return timeout_ms > CELL_REPLY_MAX_MS ? (uint32_t) timeout_ms
                                        : CELL_REPLY_MAX_MS;
}

static bool
store_is_quick (const MuxCell *cell)
{
  return cell->store_failing_since_ms == 0
         && cell->heartbeat_took_ms < STORE_SLOW_MS;
}

static bool
yield_for (MuxCell *cell, const Requirements *required)
{
  CellYield *yield = &cell->yield;
  const CellMember *successor;

  if (!mux_handovers_allow (&cell->claim.handovers, required->reason,
                            cell->time.now_ms))
    return false;
  successor = choose_successor (cell, required);
  if (successor == NULL)
    return false;
  yield->reason = required->reason;
  yield->own_milli = cell_own_ability_milli (cell);
  yield->successor_milli = cell_member_ability_milli (cell, successor);
  snprintf (yield->successor, sizeof yield->successor, "%s", successor->name);
  yield->busy
      = write_release (cell, successor, required->reason, yield_written);
  return yield->busy;
}

/*
 * A small instance may have become planner while the able ones were away.
 * Planning may take more than its share of a processor or its link carries, so
 * that starts, ends and renewals would be late, and callers
 * be refused, for as long as it is the planner.  The same holds for an able
 * instance whose processor or link is taken by something else.
 */
void
cell_yield_tick (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;
  uint32_t own_milli = cell_own_ability_milli (cell);
  Requirements required = { .reason = MUX_HANDOVER_NONE };
  MuxImpairmentSigns signs;
  MuxHandoverReason impaired;

  if (cell->yield.busy || now < cell->yield.after_ms
      || cell->role != CELL_PLANNING || cell->need.term != cell->term)
    return;
  cell->yield.after_ms = now + YIELD_CHECK_MS;
  required.round_trip_ms = low_round_trip_ms (cell);
  signs = (MuxImpairmentSigns){ .loop_ms = now - cell->time.processed_ms,
                                .hello_ms = required.round_trip_ms,
                                .reply_ms = cell_reply_latency_ms (cell),
                                .able = own_milli >= MUX_ABILITY_FULL_MILLI };
  impaired = mux_impairment_update (&cell->yield.impairment, now, &signs);
  if (!store_is_quick (cell))
    return;
  required.reason = MUX_HANDOVER_ABILITY;
  required.min_milli
      = (own_milli * MUX_ABILITY_YIELD_MILLI + MUX_ABILITY_FULL_MILLI - 1)
        / MUX_ABILITY_FULL_MILLI;
  if (!signs.able && yield_for (cell, &required))
    return;
  required.reason = impaired;
  required.min_milli = own_milli;
  if (impaired != MUX_HANDOVER_NONE)
    (void) yield_for (cell, &required);
}

static void
release_written (MuxCell *cell,
                 const CellPending *pending,
                 const MuxCellReply *reply)
{
  (void) pending;
  cell_log (cell, "claim_given_up", "{s:s}", "status",
            mux_cell_status_name (reply->status));
  if (reply->status == MUX_CELL_OK)
    count_handover (cell, MUX_HANDOVER_NONE);
  cell->claim_released = true;
  cell_step_down (cell, "stopping");
}

void
cell_release_claim (MuxCell *cell)
{
  Requirements required = { .min_milli = cell_own_ability_milli (cell) };

  if (cell->role == CELL_FOLLOWER)
    {
      cell->claim_released = true;
      return;
    }
  if (!write_release (cell, choose_successor (cell, &required),
                      MUX_HANDOVER_NONE, release_written))
    cell->claim_released = true;
}
