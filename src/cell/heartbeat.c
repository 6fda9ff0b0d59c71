#include "cell_private.h"

/* The planner's heartbeats in the store, and the checks of its claim that
 * decide whether it may send orders to workers. */

/* Heartbeat interval; two fit into dead_ms. The store charges for each. */
#define HEARTBEAT_INTERVAL_MS 500
/* Retry interval of reading the own claim, for which all starts wait; the
 * store charges for each call, a refused one too. */
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
  cell->next_heartbeat_ms = cell->time.now_ms + HEARTBEAT_INTERVAL_MS;
}

bool
cell_is_active_planner (const MuxCell *cell)
{
  return cell->role == CELL_PLANNING && cell->claim_verified_ms != 0
         && !cell->claim_releasing && cell_claim_is_valid (cell);
}

/* A call sent before the doubt arose does not settle it: a reply that lay
 * in the queue of a frozen instance would end the doubt that the freeze
 * raised. */
void
cell_claim_verified (MuxCell *cell, int64_t at_ms)
{
  if (at_ms > cell->claim_verified_ms && at_ms >= cell->claim_doubted_ms)
    cell->claim_verified_ms = at_ms;
}

/*
 * A successor claims on condition of the last heartbeat that it has read, and
 * so knows of the last of these renewals; it knows of no other.
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
claim_rechecked (MuxCell *cell,
                 const CellPending *pending,
                 const MuxCellReply *reply)
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
 * A planner that lost the history of the jobs table, and was replaced
 * meanwhile, reads the jobs again part by part and finds those that its
 * successor has stored and started; the claim, which a feed would have
 * delivered before them, is in none of the parts. So nothing is placed until
 * the claim has been read once more after the last part: it was then valid
 * when the parts were read, and all later changes come by the feed again.
 */
static void
recheck_claim (MuxCell *cell)
{
  CellPending pending = { .on_reply = claim_rechecked,
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
heartbeat_written (MuxCell *cell,
                   const CellPending *pending,
                   const MuxCellReply *reply)
{
  cell->heartbeat_busy = false;
  /* Without the wait in the own event loop. */
  cell->heartbeat_took_ms = cell->time.processed_ms - pending->sent_ms;
  if (reply->status == MUX_CELL_OK)
    cell_claim_renewed (cell, pending->sent_ms);
  else if (reply->status == MUX_CELL_CONFLICT)
    cell_claim_doubt (cell, "beat_conflict");
}

/*
 * A daemon that is cut off from the others, but not from the store, hears no
 * planner and would claim, upon which the others hear none and would claim in
 * turn. All daemons follow the claim's table, where a heartbeat counts as much
 * as a reply to a hello, so that only a planner that is silent on both ways is
 * replaced. The heartbeat's condition confirms the claim too.
 */
static void
write_heartbeat (MuxCell *cell)
{
  MuxCellCall *call = cell_commit_call ("", 2);
  CellPending pending = { .on_reply = heartbeat_written, .term = cell->term };

  cell->next_heartbeat_ms = cell->time.now_ms + HEARTBEAT_INTERVAL_MS;
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
verify_claim (MuxCell *cell)
{
  CellPending pending = { .on_reply = claim_checked, .term = cell->term };

  cell->claim_verify_busy
      = cell_call (cell, cell_scan_call (MUX_TABLE_CLAIM, ""), &pending);
}

/*
 * A planner that was frozen, or whose instance was suspended, while another
 * took over wakes with all its state and would go on to send orders. The
 * steady clock used here counts suspended time, so the pause shows between two
 * ticks; no order is sent until the claim has been read again.
 */
void
cell_heartbeat_tick (MuxCell *cell, int64_t paused_ms)
{
  int64_t now = cell->time.now_ms;

  if (paused_ms > CELL_PAUSE_MAX_MS)
    cell_claim_doubt (cell, "paused");
  if (cell->claim_verified_ms == 0)
    {
      if (!cell->claim_verify_busy && now >= cell->next_verify_ms)
        verify_claim (cell);
    }
  else if (!cell->heartbeat_busy
           && (now >= cell->next_heartbeat_ms || cell->claim_renewed_ms == 0))
    write_heartbeat (cell);
  if (cell->jobs_unverified && !cell->jobs_rereading
      && !cell->claim_recheck_busy && now >= cell->next_verify_ms)
    recheck_claim (cell);
  if (cell->claim_verified_ms != 0)
    cell_yield_tick (cell);
}
