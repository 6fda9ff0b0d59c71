#include "cell_private.h"

#include <stdio.h>

/* Callers' questions: which queue is meant, and who asks. */

static void
submit (MuxCell *cell,
        MuxRequest *question,
        const CellCaller *caller,
        const MuxQueueSpec *queue,
        const char *id)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };

  question->job->queue = *queue;
  snprintf (question->job->id, sizeof question->job->id, "%s", id);
  (void) mux_name_copy (question->job->workspace, caller->workspace);
  if (!mux_job_check (question->job, &findings))
    cell_respond (cell, question->call_id, MUX_RESPONSE_BAD_REQUEST);
  else if (cell_quota_never_fits (cell, question->job))
    {
      mux_count_refused (cell->options.counters, MUX_REASON_QUOTA);
      cell_respond (cell, question->call_id, MUX_RESPONSE_OVER_QUOTA);
    }
  else
    cell_submit (cell, question);
}

/*
 * Guards against a final answer on old knowledge: a queue that was added while
 * this daemon heard nothing is not known here, and a caller who is told that
 * there is none does not come back.
 */
static MuxResponseOutcome
no_queue (const MuxCell *cell)
{
  return cell_follow_is_fresh (cell, &cell->follow[FOLLOW_CONFIG])
             ? MUX_RESPONSE_NO_QUEUE
             : MUX_RESPONSE_REFUSED;
}

static void
answer_caller (MuxCell *cell,
               MuxRequest *question,
               const CellCaller *caller,
               const MuxQueueSpec *queue,
               const char *id)
{
  if (question->verb == MUX_REQUEST_SUBMIT && question->job != NULL)
    submit (cell, question, caller, queue, id);
  else if (id[0] != 0 && !mux_job_id_valid (id))
    cell_respond (cell, question->call_id, MUX_RESPONSE_NO_JOB);
  else if (id[0] == 0 && question->verb != MUX_REQUEST_QUERY)
    cell_respond (cell, question->call_id, MUX_RESPONSE_BAD_REQUEST);
  else
    cell_job_query_begin (cell, question, caller, queue, id);
}

void
mux_cell_request (MuxCell *cell, MuxCellTime time, MuxRequest *question)
{
  const MuxQueueSpec *queue = NULL;
  const char *id = NULL;
  MuxResponseOutcome outcome = MUX_RESPONSE_REFUSED;
  CellCaller caller;

  cell_set_time (cell, time);
  if (cell->config != NULL)
    {
      queue
          = mux_queue_find (cell->config, question->host, question->path, &id);
      outcome = queue != NULL ? cell_authorize (cell, question, queue, &caller)
                              : no_queue (cell);
    }
  if (outcome == MUX_RESPONSE_ACCEPTED)
    answer_caller (cell, question, &caller, queue, id);
  else
    cell_respond (cell, question->call_id, outcome);
  mux_request_free (question);
}
