#include "cell_private.h"

#include <stdio.h>

/* Renewals: they extend a worker's leases, acknowledge the ends of its runs
 * and ask for its list of runs. */

/* How long the reply to a renewal may wait for the end of a run. */
#define RENEW_WAIT_MS 1000
/* The same while the tail of a serving task there is followed closely. */
#define FOLLOW_WAIT_MS 300
/* Replies a second from workers on which nothing runs: a tenth of a core at
 * 0.2 ms each, including the way through proxies. */
#define IDLE_RENEWALS_PER_S 400
#define MS_PER_S 1000
/* Ends are acknowledged only to a worker whose last reply is no older than
 * this. */
#define ACK_FRESH_MS 500

/*
 * Polling idle workers would use up the planner's processor: 3,000 of them
 * sent 3,000 replies a second, and no callers were served. Workers with runs
 * are polled as before; a start finds out by itself whether its worker is up,
 * and carries its own lease.
 */
static int64_t
idle_pause_ms (const MuxCell *cell)
{
  int64_t round_ms
      = (int64_t) HASH_COUNT (cell->workers) * MS_PER_S / IDLE_RENEWALS_PER_S;

  return (round_ms > RENEW_WAIT_MS ? round_ms - RENEW_WAIT_MS : 0)
         + cell_traffic_idle_pause_ms (cell);
}

/* The worker knows that all ends it has reported are stored. */
static bool
acks_are_delivered (const CellWorker *worker)
{
  return worker->acked == worker->ends_seen
         && worker->acked_sent == worker->acked;
}

static bool
is_idle (const MuxCell *cell, const CellWorker *worker)
{
  return worker->runs_known && worker->reachable && worker->bookings == NULL
         && acks_are_delivered (worker)
         && cell->time.now_ms < worker->idle_until_ms;
}

/* When the worker was down by: a live one would have answered at the end of
 * the call's wait. */
static int64_t
down_before_ms (const MuxCell *cell, const CellPending *pending)
{
  int64_t due_ms = pending->sent_ms + pending->wait_ms;

  return cell->time.now_ms - due_ms >= CELL_WORKER_TIMEOUT_MS
             ? due_ms
             : cell->time.now_ms;
}

/* One line for each time that the worker is lost by it. */
static void
report_unreadable_list (MuxCell *cell,
                        const CellWorker *worker,
                        const MuxCellReply *reply)
{
  if (reply->rejection[0] == 0)
    return;
  mux_count (cell->options.counters, MUX_COUNT_LISTS_UNREADABLE, 1);
  if (worker->reachable || !worker->confirmed)
    cell_log (cell, "list_unreadable", "{s:s, s:s}", "worker", worker->info.id,
              "field", reply->rejection);
}

static void
renewal_failed (MuxCell *cell,
                CellWorker *worker,
                const CellPending *pending,
                MuxCellStatus status)
{
  if (worker->reachable)
    cell_log (cell, "worker_lost", "{s:s, s:s}", "worker", worker->info.id,
              "status", mux_cell_status_name (status));
  cell_worker_reroute (cell, worker);
  worker->reachable = false;
  if (worker->unreachable_since_ms == 0)
    {
      worker->unreachable_since_ms = cell->time.now_ms;
      worker->down_before_ms = down_before_ms (cell, pending);
      cell_outage_record (cell, worker);
    }
  worker->next_renew_ms = cell->time.now_ms + CELL_RENEW_PAUSE_MS;
}

static void
answer_received (MuxCell *cell, CellWorker *worker, const MuxCellReply *reply)
{
  bool first = !worker->confirmed;

  if (!worker->reachable && !first)
    cell_log (cell, "worker_back", "{s:s}", "worker", worker->info.id);
  worker->reachable = true;
  worker->unreachable_since_ms = 0;
  worker->lease_over_since_ms = 0;
  /* The time when the reply arrived, not when it is processed: a planner that
   * is late would ask for leases that are shorter by as much. */
  if (reply->worker_clock_ms >= worker->clock_ms)
    {
      worker->clock_ms = reply->worker_clock_ms;
      worker->clock_at_ms = cell->time.processed_ms;
    }
  if (first)
    cell_incarnations_end_earlier (cell, worker);
  if (first)
    cell_lease_of_predecessor (cell, worker);
  cell_lease_of_stale (cell, worker, first);
  worker->confirmed = true;
  /* While ends wait to be stored a renewal returns at once. */
  worker->next_renew_ms = cell->time.now_ms
                          + (worker->acked == worker->ends_seen
                                 ? cell_traffic_busy_pause_ms (cell)
                                 : CELL_RENEW_PAUSE_MS);
  worker->idle_until_ms = cell->time.now_ms + idle_pause_ms (cell);
  cell_reports_apply (cell, worker, reply);
  if (first)
    {
      cell_log (cell, "worker_heard", "{s:s, s:s, s:i, s:i, s:o}", "worker",
                worker->info.id, "addr", worker->info.addr, "runs",
                (int) reply->report_count, "ends", (int) reply->end_count,
                "lease", cell_lease_json (cell, worker));
      cell_incarnation_runs_listed (cell, worker);
      cell_losses_worker_confirmed (cell, worker);
    }
  cell->replan = cell->replan || first;
}

/* A later incarnation answers a call that was meant for one that has ended. */
static void
other_incarnation_answered (MuxCell *cell,
                            CellWorker *worker,
                            const MuxCellReply *reply)
{
  CellWorker *next
      = cell_incarnation_next (cell, worker, reply->worker_started_ms);

  if (next != NULL && !next->dead)
    answer_received (cell, next, reply);
}

/* A reply without the start time of the incarnation called does not count. */
static MuxCellStatus
renewal_status (const CellWorker *worker, const MuxCellReply *reply)
{
  return reply->status == MUX_CELL_OK
                 && reply->worker_started_ms < worker->started_ms
             ? MUX_CELL_UNKNOWN
             : reply->status;
}

/* A dead worker answers for the first time, as the same incarnation. */
static bool
is_back (const CellWorker *worker,
         const MuxCellReply *reply,
         MuxCellStatus status)
{
  return worker->dead && !worker->replaced && !worker->confirmed
         && status == MUX_CELL_OK
         && (worker->started_ms == 0
             || reply->worker_started_ms == worker->started_ms);
}

static void
renew_replied (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  CellWorker *worker = cell_worker_find (cell, pending->worker);
  MuxCellStatus status;

  if (reply->status == MUX_CELL_OK)
    cell_reply_latency_record (cell, pending);
  if (worker == NULL)
    return;
  /* Also for a dead worker: it may come back, and is then polled again. */
  worker->renewing = false;
  status = renewal_status (worker, reply);
  if (is_back (worker, reply, status))
    cell_worker_reset_dead (cell, worker);
  if (worker->dead)
    {
      worker->next_renew_ms = cell->time.now_ms + CELL_RENEW_PAUSE_MS;
      return;
    }
  if (status == MUX_CELL_OTHER_INCARNATION)
    {
      cell_worker_replaced (cell, worker);
      return;
    }
  if (status == MUX_CELL_FENCED)
    cell_claim_doubt (cell, "worker_fenced");
  if (status == MUX_CELL_UNKNOWN && pending->asks_for_lease)
    worker->unanswered_sent_ms = pending->sent_ms;
  if (status != MUX_CELL_OK)
    {
      report_unreadable_list (cell, worker, reply);
      renewal_failed (cell, worker, pending, status);
      return;
    }
  if (worker->started_ms == 0)
    worker->started_ms = reply->worker_started_ms;
  if (reply->worker_started_ms > worker->started_ms)
    {
      other_incarnation_answered (cell, worker, reply);
      return;
    }
  if (pending->context > worker->acked_sent)
    worker->acked_sent = pending->context;
  answer_received (cell, worker, reply);
}

/*
 * A worker may have restarted under its id, with ends numbered from the
 * beginning, and an acknowledgement does not say which incarnation it is for:
 * ends that this planner has not received would be forgotten. So it is sent
 * only to an incarnation that has answered just now.
 */
static uint64_t
acks_to_send (const MuxCell *cell, const CellWorker *worker)
{
  bool fresh = worker->confirmed && worker->reachable
               && cell->time.now_ms - worker->clock_at_ms <= ACK_FRESH_MS;

  return worker->acked > worker->acked_sent && fresh ? worker->acked : 0;
}

static uint32_t
renew_wait_ms (const CellWorker *worker)
{
  return cell_pace_needs_reports (worker) ? FOLLOW_WAIT_MS : RENEW_WAIT_MS;
}

static void
renew (MuxCell *cell, CellWorker *worker)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_RENEW);
  CellPending pending = { .on_reply = renew_replied,
                          .term = cell->term,
                          .context = acks_to_send (cell, worker) };
  bool waits = worker->confirmed && worker->reachable
               && worker->acked == worker->ends_seen
               && (worker->acked_sent == worker->acked || pending.context != 0);

  if (call == NULL)
    return;
  snprintf (pending.worker, sizeof pending.worker, "%s", worker->info.id);
  snprintf (call->worker, sizeof call->worker, "%s", worker->info.id);
  snprintf (call->addr, sizeof call->addr, "%s", worker->info.addr);
  call->fence = cell->term;
  call->acked = pending.context;
  call->wait_ms = waits ? renew_wait_ms (worker) : 0;
  pending.wait_ms = call->wait_ms;
  call->timeout_ms = CELL_WORKER_TIMEOUT_MS + call->wait_ms;
  /* An unanswered renewal may still arrive: if each asked for a longer lease,
   * the tasks of a lost worker could never be started elsewhere. No lease is
   * asked for either while the roster may hold the time when the last one
   * ends, or before it names the worker: a successor would not know that such
   * a call may reach the worker's next incarnation. */
  call->lease_expires_ms
      = worker->confirmed && worker->reachable
                && worker->roster == CELL_ROSTER_NAMED
            ? cell_worker_extend_lease (cell, worker, CELL_LEASE_RENEWAL)
            : 0;
  pending.asks_for_lease = call->lease_expires_ms != 0;
  worker->renewing = cell_worker_call (cell, worker, call, &pending);
  if (!worker->renewing)
    worker->next_renew_ms = cell->time.now_ms + CELL_RENEW_PAUSE_MS;
}

void
cell_renew_if_due (MuxCell *cell, CellWorker *worker)
{
  if (!worker->renewing && cell->time.now_ms >= worker->next_renew_ms
      && !is_idle (cell, worker))
    renew (cell, worker);
}
