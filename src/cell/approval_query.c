#include "cell_private.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Approval queries to the policy service.  The service takes one query at a
 * time from each daemon, so that the planner spreads them: it sends each to a
 * daemon that has none pending, itself included.
 */

/* A reply counts as lost when it is later than expected by this time, */
#define OVERDUE_MS 400
/* doubled after each lost one in a row, up to this many times, i.e. 3.2 s. */
#define OVERDUE_DOUBLINGS 3
/* A daemon that did not answer gets no query for this long. */
#define QUERIER_BACKOFF_MS 1500
/* A daemon without contact for this long gets no query. */
#define MEMBER_SILENT_MS 700
/* Back-off after a query that was lost or refused. */
#define QUERY_BACKOFF_MS 60
/* Queries that take longer than this may not occupy all daemons, as urgent ones
 * would wait behind them. */
#define LONG_QUERY_MS 150
/* No query of a stage for this long after its proof could not be kept. */
#define NO_MEMORY_BACKOFF_MS 1000
/* Between two searches for expired proofs, which go through all jobs. */
#define PROOF_SWEEP_MS 1000
#define US_PER_MS 1000

static bool
member_can_query (const MuxCell *cell, const CellMember *member)
{
  return member->query_number == 0 && !member->stopping
         && cell->time.processed_ms - member->last_contact_ms < MEMBER_SILENT_MS
         && cell->time.now_ms >= member->no_query_until_ms;
}

/* The planner is a querier as well; it needs no message to itself. */
static CellMember *
own_member (MuxCell *cell)
{
  CellMember *member = cell_member_find (cell, cell->options.name);

  if (member != NULL)
    return member;
  member = cell_member_new (cell, cell->options.name);
  if (member != NULL)
    member->incarnation = cell->options.incarnation;
  return member;
}

/* Counts once for each event time, as waiting stages ask for it in each
 * pass. */
static void
count_queriers (MuxCell *cell)
{
  const CellMember *member;
  const CellMember *next;

  if (cell->queriers_counted_ms == cell->time.now_ms)
    return;
  cell->queriers_counted_ms = cell->time.now_ms;
  cell->queriers_alive = 0;
  cell->queriers_with_long_query = 0;
  HASH_ITER (hh, cell->members, member, next)
  {
    if (cell->time.processed_ms - member->last_contact_ms >= MEMBER_SILENT_MS)
      continue;
    cell->queriers_alive++;
    cell->queriers_with_long_query
        += member->query_number != 0 && member->query_cost_ms > LONG_QUERY_MS;
  }
}

uint32_t
cell_queriers_alive (MuxCell *cell)
{
  count_queriers (cell);
  return cell->queriers_alive;
}

static CellMember *
choose_member (MuxCell *cell, bool is_long)
{
  CellMember *own = own_member (cell);
  CellMember *best = NULL;
  CellMember *member;

  if (own != NULL)
    {
      own->last_contact_ms = cell->time.now_ms;
      own->store_available = true;
    }
  count_queriers (cell);
  if (is_long && cell->queriers_alive > 1
      && cell->queriers_with_long_query + 1 >= cell->queriers_alive)
    return NULL;
  DL_FOREACH2 (cell->free_members, member, free_next)
  {
    if (!member_can_query (cell, member))
      continue;
    best = member;
    if (best != own)
      break;
  }
  return best;
}

static json_t *
query_json (const CellStage *stage,
            CellWorker *const *candidates,
            uint32_t count,
            uint32_t timeout_ms)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < count; i++)
    (void) json_array_append_new (list, json_string (candidates[i]->info.id));
  return json_pack ("{s:s, s:i, s:i, s:i, s:o, s:b}", "job", stage->job->id,
                    "occurrence", (int) stage->occurrence, "step",
                    (int) stage->step, "timeout_ms", (int) timeout_ms,
                    "workers", list, "whole_proofs", 1);
}

static void
own_query_reply (MuxCell *cell,
                 const CellPending *pending,
                 const MuxCellReply *reply)
{
  cell_approval_query_done (cell, pending->context,
                            reply->status == MUX_CELL_OK, reply->approval,
                            reply->approval_count, reply->valid_ms);
}

static bool
send_query (MuxCell *cell,
            const CellMember *member,
            uint64_t number,
            json_t *query)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_APPROVAL_QUERY, member->name);
  bool sent;

  if (strcmp (member->name, cell->options.name) == 0)
    {
      CellPending pending = { .on_reply = own_query_reply,
                              .term = cell->term,
                              .context = number };

      sent = cell_call (cell, cell_approval_query_call (query), &pending);
      json_decref (query);
      return sent;
    }
  msg.call_id = number;
  msg.body = cell_blob_from_json (query);
  sent = msg.body != NULL
         && cell->options.sink->peer_send (cell->options.sink, member->addr,
                                           &msg);
  mux_blob_unref (msg.body);
  return sent;
}

static bool
add_entries (CellStage *stage, CellWorker *const *candidates, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (cell_approval_add (stage, candidates[i]) == NULL)
      return false;
  return true;
}

/* Whether all candidates are known to be approved. */
static bool
is_renewal (const CellStage *stage,
            CellWorker *const *candidates,
            uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const CellApproval *approval = cell_approval_find (stage, candidates[i]);

      if (approval == NULL || !approval->approved)
        return false;
    }
  return true;
}

static void
mark_queried (CellStage *stage,
              CellApprovalQuery *query,
              CellWorker *const *candidates)
{
  for (uint32_t i = 0; i < query->candidate_count; i++)
    {
      query->slot[i] = candidates[i]->slot;
      cell_approval_find (stage, candidates[i])->queried = true;
    }
}

/*
 * Called when a query is lost.  Its workers would stay marked as queried and
 * not approved, and a gang that needs them would wait forever.
 */
static void
unmark_queried (CellStage *stage, const CellApprovalQuery *query)
{
  for (uint32_t i = 0; i < query->candidate_count; i++)
    {
      CellApproval *approval = cell_approval_find_slot (stage, query->slot[i]);

      approval->queried = approval->approved;
    }
}

static void
query_free (CellApprovalQuery *query)
{
  if (query == NULL)
    return;
  free (query->slot);
  free (query);
}

uint32_t
cell_approval_query_ms (const CellStage *stage, uint32_t count)
{
  const MuxApprovalSpec *spec = &stage->job->spec->queue.approval;

  return (spec->base_us + count * spec->per_worker_us) / US_PER_MS + 1;
}

bool
cell_approval_query_is_short (const CellStage *stage, uint32_t count)
{
  return cell_approval_query_ms (stage, count) <= LONG_QUERY_MS;
}

/*
 * The time limit grows with lost replies.  Otherwise a policy service or daemon
 * slower than configured would answer each query just after it was given up,
 * and the stage would query forever.
 */
static uint32_t
overdue_ms_of (const CellStage *stage)
{
  uint32_t doublings = stage->lost_queries < OVERDUE_DOUBLINGS
                           ? stage->lost_queries
                           : OVERDUE_DOUBLINGS;

  return OVERDUE_MS << doublings;
}

bool
cell_proof_outlasts_query (const MuxCell *cell,
                           const CellStage *stage,
                           const CellWorker *worker,
                           uint32_t count)
{
  int64_t answered_ms
      = cell->time.now_ms + cell_approval_query_ms (stage, count) + OVERDUE_MS;

  return cell_approval_proof (cell, stage, worker) != NULL
         && answered_ms <= cell_proof_usable_until_ms (
                cell_approval_find (stage, worker));
}

bool
cell_can_query (MuxCell *cell, const CellStage *stage, uint32_t count)
{
  return !stage->query_pending && cell->time.now_ms >= stage->no_query_until_ms
         && choose_member (cell, cell_approval_query_ms (stage, count)
                                     > LONG_QUERY_MS)
                != NULL;
}

bool
cell_approval_query_send (MuxCell *cell,
                          CellStage *stage,
                          CellWorker *const *candidates,
                          uint32_t wanted)
{
  /* Proofs to be renewed are all in use. */
  uint32_t count = is_renewal (stage, candidates, wanted)
                       ? wanted
                       : cell_traffic_names (cell, wanted,
                                             cell_stage_waiting_tasks (stage));
  uint32_t cost_ms = cell_approval_query_ms (stage, count);
  uint32_t timeout_ms = cost_ms + overdue_ms_of (stage);
  CellMember *member = choose_member (cell, cost_ms > LONG_QUERY_MS);
  CellApprovalQuery *query;

  if (member == NULL || count == 0 || !add_entries (stage, candidates, count))
    return false;
  query = calloc (1, sizeof *query);
  if (query != NULL)
    query->slot = calloc (count, sizeof *query->slot);
  if (query == NULL || query->slot == NULL)
    {
      query_free (query);
      return false;
    }
  query->number = ++cell->last_approval_query;
  query->step = cell_stage_ref (stage);
  query->candidate_count = count;
  query->is_renewal = is_renewal (stage, candidates, count);
  query->sent_ms = cell->time.now_ms;
  query->expected_by_ms = cell->time.now_ms + cost_ms + OVERDUE_MS;
  query->expires_ms = cell->time.now_ms + timeout_ms;
  snprintf (query->querier, sizeof query->querier, "%s", member->name);
  if (!send_query (cell, member, query->number,
                   query_json (stage, candidates, count, timeout_ms)))
    {
      query_free (query);
      return false;
    }
  HASH_ADD (hh, cell->approval_queries, number, sizeof query->number, query);
  mark_queried (stage, query, candidates);
  cell_step_query_sent (cell, stage, query);
  stage->query_pending = true;
  stage->queried_ms = cell->time.now_ms;
  cell_member_set_query (cell, member, query->number);
  member->query_cost_ms = cost_ms;
  cell->queriers_with_long_query += cost_ms > LONG_QUERY_MS;
  member->no_query_until_ms = query->expires_ms;
  return true;
}

/* Jobs that can't start keep proofs that have expired. */
static void
drop_expired_proofs (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  if (cell->time.now_ms < cell->tokens.next_sweep_ms)
    return;
  cell->tokens.next_sweep_ms = cell->time.now_ms + PROOF_SWEEP_MS;
  HASH_ITER (hh, cell->jobs, job, next)
  for (uint32_t i = 0; i < job->stage_count; i++)
    for (uint32_t j = 0; j < job->stage[i]->approval_count; j++)
      {
        CellApproval *approval = &job->stage[i]->approval[j];

        if (cell->time.now_ms > approval->proof_expires_ms)
          (void) cell_token_set (cell, &approval->proof, NULL);
      }
}

/* Return: false: no memory is left for it. */
static bool
keep_proof (MuxCell *cell, CellApproval *approval, MuxBlob *proof)
{
  if (cell_token_set (cell, &approval->proof, proof))
    return true;
  drop_expired_proofs (cell);
  return cell_token_set (cell, &approval->proof, proof);
}

static void
apply_approval (MuxCell *cell,
                CellStage *stage,
                const MuxApproval *granted,
                int64_t expires_ms)
{
  CellWorker *worker = cell_worker_find (cell, granted->worker);
  CellApproval *approval;

  if (worker == NULL)
    return;
  approval = cell_approval_find (stage, worker);
  if (approval == NULL)
    return;
  approval->stored
      = approval->stored || cell_worker_is_recorded (stage, worker);
  if (!approval->approved && !approval->stored)
    {
      cell_job_mark_dirty (cell, stage->job);
      if (stage->job->spec->queue.priority == 0)
        cell->part[stage->job->part].commit_now = true;
    }
  approval->approved = true;
  if (!keep_proof (cell, approval, granted->proof))
    {
      stage->no_query_until_ms = cell->time.now_ms + NO_MEMORY_BACKOFF_MS;
      return;
    }
  approval->proof_expires_ms = expires_ms;
  if (expires_ms > stage->proofs_expire_ms)
    stage->proofs_expire_ms = expires_ms;
}

static void
release_member (MuxCell *cell, const CellApprovalQuery *query, bool answered)
{
  CellMember *member = cell_member_find (cell, query->querier);

  if (member == NULL || member->query_number != query->number)
    return;
  cell_member_set_query (cell, member, 0);
  cell->queriers_counted_ms = 0;
  member->no_query_until_ms
      = answered ? 0 : cell->time.now_ms + QUERIER_BACKOFF_MS;
}

/* Lets the stage query again, with a longer time limit if replies were late. */
static void
end_query (MuxCell *cell,
           CellStage *stage,
           const CellApprovalQuery *query,
           bool answered)
{
  stage->query_pending = false;
  stage->scan_round = 0;
  if (answered)
    {
      if (cell->time.now_ms <= query->expected_by_ms)
        stage->lost_queries = 0;
      return;
    }
  stage->lost_queries++;
  unmark_queried (stage, query);
  stage->no_query_until_ms = cell->time.now_ms + QUERY_BACKOFF_MS;
}

void
cell_approval_query_done (MuxCell *cell,
                          uint64_t number,
                          bool answered,
                          const MuxApproval *approvals,
                          uint32_t count,
                          uint32_t valid_ms)
{
  CellApprovalQuery *query;
  CellStage *stage;

  HASH_FIND (hh, cell->approval_queries, &number, sizeof number, query);
  if (query == NULL)
    return;
  stage = cell_stage_find (cell, &query->step);
  release_member (cell, query, answered);
  if (stage != NULL)
    {
      end_query (cell, stage, query, answered);
      cell_step_query_done (cell, stage, query, count);
      for (uint32_t i = 0; i < count; i++)
        apply_approval (cell, stage, &approvals[i],
                        cell->time.processed_ms + valid_ms);
    }
  cell_log (cell, "approvals", "{s:s, s:i, s:s, s:b, s:b, s:i, s:i, s:I}",
            "job", query->step.job, "step", (int) query->step.step, "asker",
            query->querier, "answered", (int) answered, "renewal",
            (int) query->is_renewal, "asked", (int) query->candidate_count,
            "approved", (int) count, "took_ms",
            (json_int_t) (cell->time.now_ms - query->sent_ms));
  HASH_DEL (cell->approval_queries, query);
  query_free (query);
  cell->replan = true;
}

/*
 * Gives up queries without a reply in time: the daemon may have died or the
 * reply may be lost, and a stage with a pending query is not planned.  The
 * time limit belongs to the query, so that it ends whatever has become of the
 * daemon.
 */
void
cell_approval_queries_tick (MuxCell *cell)
{
  CellApprovalQuery *query;
  CellApprovalQuery *next;

  HASH_ITER (hh, cell->approval_queries, query, next)
  if (cell->time.processed_ms > query->expires_ms)
    cell_approval_query_done (cell, query->number, false, NULL, 0, 0);
}

void
cell_approval_queries_free (MuxCell *cell)
{
  CellApprovalQuery *query;
  CellApprovalQuery *next;

  HASH_ITER (hh, cell->approval_queries, query, next)
  {
    HASH_DEL (cell->approval_queries, query);
    query_free (query);
  }
}
