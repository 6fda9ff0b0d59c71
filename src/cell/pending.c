#include "cell_private.h"

#include <stdlib.h>

/*
 * Calls whose replies are awaited.  The port replies to each call within its
 * timeout, and a proxy's reply follows soon after.  A call that is past both
 * ends here as one without a reply, whoever has it; a reply that comes later
 * finds no entry.
 */

/* Added to the timeout of a call for the way to its port, or to its proxy, and
 * back. */
#define REPLY_MARGIN_MS 300
#define CHECK_INTERVAL_MS 100
/* Upper bound of this daemon's own delay that is taken into account. */
#define OWN_DELAY_MAX_MS 3000

CellPending *
cell_pending_add (MuxCell *cell,
                  const CellPending *pending,
                  const MuxCellCall *call)
{
  CellPending *entry = malloc (sizeof *entry);

  if (entry == NULL)
    return NULL;
  *entry = *pending;
  entry->call_id = cell->next_call++;
  entry->verb = call->verb;
  entry->sent_ms = cell->time.now_ms;
  entry->deadline = (MuxDeadline){ .owner = entry };
  HASH_ADD (hh, cell->pending, call_id, sizeof entry->call_id, entry);
  mux_deadlines_add (&cell->call_deadlines, &entry->deadline,
                     cell->time.now_ms - cell->paused_total_ms
                         + call->timeout_ms + REPLY_MARGIN_MS);
  return entry;
}

CellPending *
cell_pending_find (MuxCell *cell, uint64_t call_id)
{
  CellPending *entry;

  HASH_FIND (hh, cell->pending, &call_id, sizeof call_id, entry);
  return entry;
}

void
cell_pending_take (MuxCell *cell, CellPending *entry)
{
  HASH_DEL (cell->pending, entry);
  mux_deadlines_remove (&cell->call_deadlines, &entry->deadline);
}

void
cell_pending_remove (MuxCell *cell, CellPending *entry)
{
  cell_pending_take (cell, entry);
  free (entry);
}

void
cell_pending_free (MuxCell *cell)
{
  CellPending *entry;
  CellPending *next;

  HASH_ITER (hh, cell->pending, entry, next)
  cell_pending_remove (cell, entry);
}

void
mux_cell_set_port_late (MuxCell *cell, int64_t late_ms)
{
  cell->port_late_ms = late_ms;
}

/* By which this daemon reads replies on its connections late. */
static int64_t
own_delay_ms (const MuxCell *cell)
{
  int64_t late_ms = cell_reply_latency_ms (cell);

  if (late_ms < cell->port_late_ms)
    late_ms = cell->port_late_ms;
  return late_ms < OWN_DELAY_MAX_MS ? late_ms : OWN_DELAY_MAX_MS;
}

/*
 * An overloaded daemon must not take calls for lost whose replies wait in its
 * own queue: each worker would then be called directly, which costs it more,
 * and once the leases expire running tasks start again.  So a call is overdue
 * only once all that arrived up to its time limit has been processed.  The same
 * holds after a pause of the process, in which nothing read its connections.
 */
static int64_t
replies_processed_ms (const MuxCell *cell)
{
  return cell->time.processed_ms - own_delay_ms (cell) - cell->paused_total_ms;
}

static void
end_overdue (MuxCell *cell, CellPending *entry)
{
  MuxCellReply reply = { .verb = entry->verb,
                         .call_id = entry->call_id,
                         .status = MUX_CELL_UNKNOWN };
  CellWorker *worker
      = entry->proxied ? cell_worker_find (cell, entry->worker) : NULL;

  mux_count (cell->options.counters, MUX_COUNT_CALLS_OVERDUE, 1);
  /* An unanswered renewal reroutes the worker itself. */
  if (worker != NULL && entry->verb != MUX_CELL_RENEW)
    cell_worker_reroute (cell, worker);
  cell_reply_received (cell, &reply);
}

/* The port should have ended it. */
static void
log_overdue (MuxCell *cell, const CellPending *entry)
{
  if (entry->proxied || cell->time.now_ms < cell->next_overdue_log_ms)
    return;
  cell->next_overdue_log_ms = cell->time.now_ms + CELL_REPEATED_LOG_MS;
  cell_log (cell, "call_overdue", "{s:s, s:s, s:I}", "call",
            mux_cell_verb_name (entry->verb), "worker", entry->worker, "age_ms",
            (json_int_t) (cell->time.now_ms - entry->sent_ms));
}

/* All overdue calls end in one pass: a proxy that died takes its replies with
 * it, and with one at a time the last of its workers would be unusable for
 * seconds.  The handler of one may end others. */
void
cell_pending_tick (MuxCell *cell, int64_t paused_ms)
{
  const MuxDeadline *first;
  int64_t processed_ms;

  if (paused_ms > CHECK_INTERVAL_MS)
    cell->paused_total_ms += paused_ms - CHECK_INTERVAL_MS;
  if (cell->time.now_ms < cell->next_pending_check_ms)
    return;
  cell->next_pending_check_ms = cell->time.now_ms + CHECK_INTERVAL_MS;
  processed_ms = replies_processed_ms (cell);
  while ((first = cell->call_deadlines.first) != NULL
         && first->at_ms < processed_ms)
    {
      log_overdue (cell, first->owner);
      end_overdue (cell, first->owner);
    }
}
