#include "cell_private.h"

/* What a step waits for between its turn and its start, and what its questions
 * to the policy service brought. */

void
cell_step_wait_begin (const MuxCell *cell, CellStage *stage)
{
  stage->wait = (CellStepWait){ .lacks = CELL_LACKS_TURN,
                                .since_ms = cell->time.now_ms };
}

void
cell_step_lacks (const MuxCell *cell, CellStage *stage, CellLack lack)
{
  CellStepWait *wait = &stage->wait;
  int64_t now_ms = cell->time.now_ms;

  wait->lacked_ms[wait->lacks] += now_ms - wait->since_ms;
  wait->since_ms = now_ms;
  wait->lacks = lack;
}

void
cell_step_asks (const MuxCell *cell,
                CellStage *stage,
                const CellApprovalQuery *question)
{
  stage->wait.questions++;
  stage->wait.names += question->candidate_count;
  cell_step_lacks (cell, stage,
                   question->is_renewal ? CELL_LACKS_PROOF : CELL_LACKS_ANSWER);
  mux_count (cell->options.counters, MUX_COUNT_APPROVAL_NAMES,
             question->candidate_count);
}

void
cell_step_answered (const MuxCell *cell,
                    CellStage *stage,
                    const CellApprovalQuery *question,
                    uint32_t approved)
{
  int64_t took_ms = cell->time.now_ms - question->sent_ms;

  stage->wait.approved += approved;
  cell_step_lacks (cell, stage, CELL_LACKS_TURN);
  mux_count (cell->options.counters, MUX_COUNT_APPROVALS_GIVEN, approved);
  mux_count (cell->options.counters, MUX_COUNT_APPROVAL_TIME,
             took_ms > 0 ? (uint64_t) took_ms : 0);
}

void
cell_step_used (const MuxCell *cell, CellStage *stage, const CellWorker *worker)
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
  static const char *const name[CELL_LACK_COUNT] = {
    [CELL_LACKS_TURN] = "turn",     [CELL_LACKS_ASKER] = "asker",
    [CELL_LACKS_ANSWER] = "answer", [CELL_LACKS_PROOF] = "proof",
    [CELL_LACKS_RECORD] = "record", [CELL_LACKS_ROOM] = "room",
    [CELL_LACKS_QUOTA] = "quota",
  };
  const CellStepWait *wait = &stage->wait;
  json_t *json = json_object ();

  for (uint32_t i = 0; i < CELL_LACK_COUNT; i++)
    {
      int64_t ms = wait->lacked_ms[i];

      if (i == wait->lacks)
        ms += cell->time.now_ms - wait->since_ms;
      if (ms > 0)
        (void) json_object_set_new (json, name[i],
                                    json_integer ((json_int_t) ms));
    }
  return json;
}
