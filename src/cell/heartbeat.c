#include "cell_private.h"

/* What proves a planner's term: by what right it orders, and when it must not.
 */

/* The planner writes a sign of life into the store this often; two of them fit
 * into dead_ms.  Each is a call that is paid for. */
#define BEAT_MS 500
/* After a failed reading of the own claim, for which all starts wait: each is
 * paid for, a refused one too. */
#define VERIFY_RETRY_MS 100

void
cell_heartbeat_begin (MuxCell *cell)
{
  cell->claim_verify_busy = false;
  cell->heartbeat_busy = false;
  cell->jobs_unverified = false;
  cell->jobs_rereading = false;
  cell->claim_recheck_busy = false;
  cell->claim_renewed_ms = 0;
  cell->claim_releasing = false;
  cell->next_heartbeat_ms = cell->time.now_ms + BEAT_MS;
}

bool
cell_is_active_planner (const MuxCell *cell)
{
  return cell->role == CELL_PLANNING && cell->claim_verified_ms != 0
         && !cell->claim_releasing && cell_claim_is_valid (cell);
}

/* What was asked before a doubt arose says nothing about it: an answer that
 * lay in a frozen instance's queue would end the doubt of its own pause. */
void
cell_claim_verified (MuxCell *cell, int64_t at_ms)
{
  if (at_ms > cell->claim_verified_ms && at_ms >= cell->claim_doubted_ms)
    cell->claim_verified_ms = at_ms;
}

/*
 * A successor takes the claim on condition of the last sign of life that it has
 * read, and so knows the last of these proofs; it knows of no other.
 */
void
cell_claim_renewed (MuxCell *cell, int64_t at_ms)
{
  cell_claim_verified (cell, at_ms);
  if (at_ms > cell->claim_renewed_ms && at_ms >= cell->claim_doubted_ms)
    cell->claim_renewed_ms = at_ms;
}

void
cell_claim_doubt (MuxCell *cell, const char *why)
{
  if (cell->claim_verified_ms != 0)
    cell_log (cell, "claim_doubted", "{s:s}", "why", why);
  cell->claim_verified_ms = 0;
  cell->claim_doubted_ms = cell->time.now_ms;
}

static void
claim_checked (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  cell->claim_verify_busy = false;
  if (reply->status != MUX_CELL_OK || reply->row_count == 0)
    {
      cell->next_verify_ms = cell->time.now_ms + VERIFY_RETRY_MS;
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      const MuxCellRow *row = &reply->row[i];

      cell_claim_row (cell, row);
      if (cell->role != CELL_FOLLOWER && row->version == cell->term)
        cell_claim_verified (cell, pending->sent_ms);
    }
}

static void
confirmed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  cell->claim_recheck_busy = false;
  claim_checked (cell, pending, reply);
  if (reply->status != MUX_CELL_OK || cell->term != pending->term
      || pending->context != cell->jobs_reread_count || cell->jobs_rereading)
    return;
  cell->jobs_unverified = false;
  cell->replan = true;
}

/*
 * Guards against a planner that lost the history of the jobs and was replaced
 * in it.  It reads the jobs anew, part by part, and finds those that its
 * successor has stored and started; the claim, which a feed would have told of
 * before them, stands in none of the parts.  Nothing is placed until the claim
 * has been read once more after the last part: then it stood when they were
 * read, and all that changes later comes by the feed again.
 */
static void
confirm (MuxCell *cell)
{
  CellPending pending = { .on_reply = confirmed,
                          .term = cell->term,
                          .context = cell->jobs_reread_count };

  cell->claim_recheck_busy
      = cell_call (cell, cell_scan_call (MUX_TABLE_CLAIM, ""), &pending);
}

void
cell_jobs_full_read (MuxCell *cell, bool ended)
{
  cell->jobs_unverified = true;
  cell->jobs_rereading = !ended;
  if (!ended)
    cell->jobs_reread_count++;
}

static void
beaten (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  cell->heartbeat_busy = false;
  if (reply->status == MUX_CELL_OK)
    cell_claim_renewed (cell, pending->sent_ms);
  else if (reply->status == MUX_CELL_CONFLICT)
    cell_claim_doubt (cell, "beat_conflict");
}

/*
 * Guards against planners that replace each other in turn: a daemon that is
 * cut off from the others, but not from the store, hears no planner and would
 * claim, upon which the others hear none.  All follow the table of the claim;
 * a sign of life there counts like a greeting, so that only a planner that is
 * silent on both ways is replaced.  Its condition confirms the claim besides.
 */
static void
beat (MuxCell *cell)
{
  MuxCellCall *call = cell_commit_call ("", 2);
  CellPending pending = { .on_reply = beaten, .term = cell->term };

  cell->next_heartbeat_ms = cell->time.now_ms + BEAT_MS;
  if (call == NULL)
    return;
  cell_call_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->term);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_CLAIM,
                        CELL_HEARTBEAT_KEY)
      ->value
      = cell_admission_blob (cell);
  cell->heartbeat_busy = cell_call (cell, call, &pending);
}

static void
verify (MuxCell *cell)
{
  CellPending pending = { .on_reply = claim_checked, .term = cell->term };

  cell->claim_verify_busy
      = cell_call (cell, cell_scan_call (MUX_TABLE_CLAIM, ""), &pending);
}

/*
 * Guards against a planner that was frozen, or whose instance was suspended,
 * while another took over: it wakes with all its state and would go on to
 * order.  The steady clock used here counts suspended time, so the pause shows
 * between two ticks; nothing is ordered until the claim has been read again.
 */
void
cell_heartbeat_tick (MuxCell *cell, int64_t paused_ms)
{
  int64_t now = cell->time.now_ms;

  if (paused_ms > CELL_PAUSE_MS)
    cell_claim_doubt (cell, "paused");
  if (cell->claim_verified_ms == 0)
    {
      if (!cell->claim_verify_busy && now >= cell->next_verify_ms)
        verify (cell);
    }
  else if (!cell->heartbeat_busy
           && (now >= cell->next_heartbeat_ms || cell->claim_renewed_ms == 0))
    beat (cell);
  if (cell->jobs_unverified && !cell->jobs_rereading
      && !cell->claim_recheck_busy && now >= cell->next_verify_ms)
    confirm (cell);
  if (cell->claim_verified_ms != 0)
    cell_yield_tick (cell);
}
