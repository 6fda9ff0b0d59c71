#include "cell_private.h"

/* What a step is blocked on until it starts, and what came of its approval
 * queries. */

void
cell_step_wait_begin (const MuxCell *cell, CellStage *stage)
{
  stage->wait = (CellStepWait){ .blocked_on = CELL_BLOCKED_ON_TURN,
                                .since_ms = cell->time.now_ms };
}

void
cell_step_set_blocked_on (const MuxCell *cell,
                          CellStage *stage,
                          CellBlockedOn reason)
{
  CellStepWait *wait = &stage->wait;
  int64_t now_ms = cell->time.now_ms;

  wait->blocked_ms[wait->blocked_on] += now_ms - wait->since_ms;
  wait->since_ms = now_ms;
  wait->blocked_on = reason;
}

void
cell_step_query_sent (const MuxCell *cell,
                      CellStage *stage,
                      const CellApprovalQuery *query)
{
  stage->wait.queries++;
  stage->wait.candidates += query->candidate_count;
  cell_step_set_blocked_on (cell, stage,
                            query->is_renewal ? CELL_BLOCKED_ON_PROOF
                                              : CELL_BLOCKED_ON_ANSWER);
  mux_count (cell->options.counters, MUX_COUNT_APPROVAL_NAMES,
             query->candidate_count);
}

void
cell_step_query_done (const MuxCell *cell,
                      CellStage *stage,
                      const CellApprovalQuery *query,
                      uint32_t approved)
{
  int64_t took_ms = cell->time.now_ms - query->sent_ms;

  stage->wait.approved += approved;
  cell_step_set_blocked_on (cell, stage, CELL_BLOCKED_ON_TURN);
  mux_count (cell->options.counters, MUX_COUNT_APPROVALS_GIVEN, approved);
  mux_count (cell->options.counters, MUX_COUNT_APPROVAL_TIME,
             took_ms > 0 ? (uint64_t) took_ms : 0);
}

void
cell_step_proof_used (const MuxCell *cell,
                      CellStage *stage,
                      const CellWorker *worker)
{
  CellApproval *approval = cell_approval_find (stage, worker);

  if (approval == NULL || approval->used)
    return;
  approval->used = true;
  stage->wait.used++;
  mux_count (cell->options.counters, MUX_COUNT_APPROVALS_USED, 1);
}

json_t *
cell_step_wait_json (const MuxCell *cell, const CellStage *stage)
{
  static const char *const name[CELL_BLOCKED_ON_COUNT] = {
    [CELL_BLOCKED_ON_TURN] = "turn",     [CELL_BLOCKED_ON_QUERIER] = "asker",
    [CELL_BLOCKED_ON_ANSWER] = "answer", [CELL_BLOCKED_ON_PROOF] = "proof",
    [CELL_BLOCKED_ON_RECORD] = "record", [CELL_BLOCKED_ON_ROOM] = "room",
    [CELL_BLOCKED_ON_QUOTA] = "quota",
  };
  const CellStepWait *wait = &stage->wait;
  json_t *json = json_object ();

  for (uint32_t i = 0; i < CELL_BLOCKED_ON_COUNT; i++)
    {
      int64_t ms = wait->blocked_ms[i];

      if (i == wait->blocked_on)
        ms += cell->time.now_ms - wait->since_ms;
      if (ms > 0)
        (void) json_object_set_new (json, name[i],
                                    json_integer ((json_int_t) ms));
    }
  return json;
}
