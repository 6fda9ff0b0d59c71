#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The policy service takes one question at a time from each daemon, so that
 * questions are spread: the planner sends each to a daemon that has none
 * under way, itself among them.
 */

/* A proof is used no later than this before its end: a start takes some ms on
 * its way, more to a worker that is busy. */
#define PROOF_MARGIN_MS 150
/* The record of a new approval is stored within this time. */
#define RECORD_MS 100
/* An answer that is later than it should be by this counts as lost; */
#define OVERDUE_MS 400
/* by twice as much after each lost one in a row, up to so many times: 3.2 s. */
#define OVERDUE_DOUBLINGS 3
/* A daemon that did not answer is asked nothing for so long. */
#define ASKER_REST_MS 1500
/* A daemon not heard of for so long is asked nothing. */
#define MEMBER_SILENT_MS 700
/* After a question that was lost or refused. */
#define RETRY_MS 60
/* Questions longer than this may not take up every daemon: urgent ones would
 * wait behind them. */
#define LONG_MS 150
#define US_PER_MS 1000

/*
 * Guards against jobs that wait for the whole cell after a takeover: the
 * workers that a stage may run on are stored before the first start there, so
 * that a next planner knows where runs can be that it has not heard of, and
 * waits for these alone.  A step without a record has not run.
 */
const char *
cell_usable_proof (const MuxCell *cell, const CellApproval *approval)
{
  if (approval == NULL || !approval->approved || approval->proof == NULL
      || !approval->stored
      || cell->time.now_ms > approval->proof_expires_ms - PROOF_MARGIN_MS)
    return NULL;
  return approval->proof;
}

const char *
cell_approval_proof (const MuxCell *cell,
                     const CellStage *stage,
                     const CellWorker *worker)
{
  return cell_usable_proof (cell, cell_approval_find (stage, worker));
}

/*
 * Guards against a question for what is known: between an answer and the commit
 * that records it no proof of it is taken yet, and the step asked again at
 * once.
 */
bool
cell_approval_is_being_recorded (const MuxCell *cell,
                                 const CellApproval *approval)
{
  return approval != NULL && approval->approved && approval->proof != NULL
         && !approval->stored
         && cell->time.now_ms + RECORD_MS
                <= approval->proof_expires_ms - PROOF_MARGIN_MS;
}

static bool
member_can_ask (const MuxCell *cell, const CellMember *member)
{
  return member->query_number == 0 && !member->stopping
         && cell->time.processed_ms - member->last_contact_ms < MEMBER_SILENT_MS
         && cell->time.now_ms >= member->no_query_until_ms;
}

/* The planner asks, too, as a member that needs no message. */
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

/* Once for each moment: waiting steps ask in each pass. */
static void
count_askers (MuxCell *cell)
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
        += member->query_number != 0 && member->query_cost_ms > LONG_MS;
  }
}

uint32_t
cell_queriers_alive (MuxCell *cell)
{
  count_askers (cell);
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
  count_askers (cell);
  if (is_long && cell->queriers_alive > 1
      && cell->queriers_with_long_query + 1 >= cell->queriers_alive)
    return NULL;
  DL_FOREACH2 (cell->free_members, member, free_next)
  {
    if (!member_can_ask (cell, member))
      continue;
    best = member;
    if (best != own)
      break;
  }
  return best;
}

static json_t *
question_json (const CellStage *stage,
               CellWorker *const *candidates,
               uint32_t count,
               uint32_t timeout_ms)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < count; i++)
    (void) json_array_append_new (list, json_string (candidates[i]->info.id));
  return json_pack ("{s:s, s:i, s:i, s:i, s:o}", "job", stage->job->id,
                    "occurrence", (int) stage->occurrence, "step",
                    (int) stage->step, "timeout_ms", (int) timeout_ms,
                    "workers", list);
}

static void
own_answer (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  cell_approval_query_done (cell, pending->context,
                            reply->status == MUX_CELL_OK, reply->approval,
                            reply->approval_count, reply->valid_ms);
}

static bool
send_question (MuxCell *cell,
               const CellMember *member,
               uint64_t number,
               json_t *question)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_APPROVAL_QUERY, member->name);
  bool sent;

  if (strcmp (member->name, cell->options.name) == 0)
    {
      CellPending pending
          = { .on_reply = own_answer, .term = cell->term, .context = number };

      sent = cell_call (cell, cell_approval_query_call (question), &pending);
      json_decref (question);
      return sent;
    }
  msg.call_id = number;
  msg.body = cell_blob_from_json (question);
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

/* All of them are known to be approved. */
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
mark_asked (CellStage *stage,
            CellApprovalQuery *question,
            CellWorker *const *candidates)
{
  for (uint32_t i = 0; i < question->candidate_count; i++)
    {
      question->slot[i] = candidates[i]->slot;
      cell_approval_find (stage, candidates[i])->queried = true;
    }
}

/*
 * Guards against a step that never runs: a question that was lost with the
 * daemon that asked it would leave its workers marked as asked and not
 * approved, and a gang that needs them would wait for good.
 */
static void
unmark_asked (CellStage *stage, const CellApprovalQuery *question)
{
  for (uint32_t i = 0; i < question->candidate_count; i++)
    {
      CellApproval *approval
          = cell_approval_find_slot (stage, question->slot[i]);

      approval->queried = approval->approved;
    }
}

static void
question_free (CellApprovalQuery *question)
{
  if (question == NULL)
    return;
  free (question->slot);
  free (question);
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
  return cell_approval_query_ms (stage, count) <= LONG_MS;
}

/*
 * Guards against a step that asks for good: a service, or a daemon, that is
 * slower than the queue says would answer each question just after it was given
 * up.
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
         && answered_ms <= cell_approval_find (stage, worker)->proof_expires_ms
                               - PROOF_MARGIN_MS;
}

bool
cell_can_query (MuxCell *cell, const CellStage *stage, uint32_t count)
{
  return !stage->query_pending && cell->time.now_ms >= stage->no_query_until_ms
         && choose_member (cell,
                           cell_approval_query_ms (stage, count) > LONG_MS)
                != NULL;
}

bool
cell_approval_query_send (MuxCell *cell,
                          CellStage *stage,
                          CellWorker *const *candidates,
                          uint32_t count)
{
  uint32_t cost_ms = cell_approval_query_ms (stage, count);
  uint32_t timeout_ms = cost_ms + overdue_ms_of (stage);
  CellMember *member = choose_member (cell, cost_ms > LONG_MS);
  CellApprovalQuery *question;

  if (member == NULL || count == 0 || !add_entries (stage, candidates, count))
    return false;
  question = calloc (1, sizeof *question);
  if (question != NULL)
    question->slot = calloc (count, sizeof *question->slot);
  if (question == NULL || question->slot == NULL)
    {
      question_free (question);
      return false;
    }
  question->number = ++cell->last_approval_query;
  question->step = cell_task_ref (&stage->task[0]);
  question->candidate_count = count;
  question->is_renewal = is_renewal (stage, candidates, count);
  question->sent_ms = cell->time.now_ms;
  question->expected_by_ms = cell->time.now_ms + cost_ms + OVERDUE_MS;
  question->expires_ms = cell->time.now_ms + timeout_ms;
  snprintf (question->querier, sizeof question->querier, "%s", member->name);
  if (!send_question (cell, member, question->number,
                      question_json (stage, candidates, count, timeout_ms)))
    {
      question_free (question);
      return false;
    }
  HASH_ADD (hh, cell->approval_queries, number, sizeof question->number,
            question);
  mark_asked (stage, question, candidates);
  cell_step_query_sent (cell, stage, question);
  stage->query_pending = true;
  stage->queried_ms = cell->time.now_ms;
  cell_member_set_query (cell, member, question->number);
  member->query_cost_ms = cost_ms;
  cell->queriers_with_long_query += cost_ms > LONG_MS;
  member->no_query_until_ms = question->expires_ms;
  return true;
}

static void
take_approval (MuxCell *cell,
               CellStage *stage,
               const MuxApproval *given,
               int64_t until_ms)
{
  CellWorker *worker = cell_worker_find (cell, given->worker);
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
  free (approval->proof);
  approval->proof = strdup (given->proof);
  approval->proof_expires_ms = until_ms;
  if (until_ms > stage->proofs_expire_ms)
    stage->proofs_expire_ms = until_ms;
}

static void
release_member (MuxCell *cell, const CellApprovalQuery *question, bool answered)
{
  CellMember *member = cell_member_find (cell, question->querier);

  if (member == NULL || member->query_number != question->number)
    return;
  cell_member_set_query (cell, member, 0);
  cell->queriers_counted_ms = 0;
  member->no_query_until_ms = answered ? 0 : cell->time.now_ms + ASKER_REST_MS;
}

/* The step may ask again; with more time where answers were late. */
static void
end_asking (MuxCell *cell,
            CellStage *stage,
            const CellApprovalQuery *question,
            bool answered)
{
  stage->query_pending = false;
  stage->scan_round = 0;
  if (answered)
    {
      if (cell->time.now_ms <= question->expected_by_ms)
        stage->lost_queries = 0;
      return;
    }
  stage->lost_queries++;
  unmark_asked (stage, question);
  stage->no_query_until_ms = cell->time.now_ms + RETRY_MS;
}

void
cell_approval_query_done (MuxCell *cell,
                          uint64_t number,
                          bool answered,
                          const MuxApproval *approvals,
                          uint32_t count,
                          uint32_t valid_ms)
{
  CellApprovalQuery *question;
  CellTask *task;

  HASH_FIND (hh, cell->approval_queries, &number, sizeof number, question);
  if (question == NULL)
    return;
  task = cell_task_find (cell, &question->step);
  release_member (cell, question, answered);
  if (task != NULL)
    {
      end_asking (cell, task->stage, question, answered);
      cell_step_query_done (cell, task->stage, question, count);
      for (uint32_t i = 0; i < count; i++)
        take_approval (cell, task->stage, &approvals[i],
                       cell->time.processed_ms + valid_ms);
    }
  cell_log (cell, "approvals", "{s:s, s:i, s:s, s:b, s:b, s:i, s:i, s:I}",
            "job", question->step.job, "step", (int) question->step.step,
            "asker", question->querier, "answered", (int) answered, "renewal",
            (int) question->is_renewal, "asked",
            (int) question->candidate_count, "approved", (int) count, "took_ms",
            (json_int_t) (cell->time.now_ms - question->sent_ms));
  HASH_DEL (cell->approval_queries, question);
  question_free (question);
  cell->replan = true;
}

/*
 * Guards against a step that never runs: its question went to a daemon that
 * died, or the answer was lost on the way, and a step with a question under
 * way is not planned.  The time belongs to the question, so that it ends
 * whatever has become of the daemon since.
 */
void
cell_approvals_tick (MuxCell *cell)
{
  CellApprovalQuery *question;
  CellApprovalQuery *next;

  HASH_ITER (hh, cell->approval_queries, question, next)
  if (cell->time.processed_ms > question->expires_ms)
    cell_approval_query_done (cell, question->number, false, NULL, 0, 0);
}

void
cell_approval_queries_free (MuxCell *cell)
{
  CellApprovalQuery *question;
  CellApprovalQuery *next;

  HASH_ITER (hh, cell->approval_queries, question, next)
  {
    HASH_DEL (cell->approval_queries, question);
    question_free (question);
  }
}
