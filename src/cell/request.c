#include "cell_private.h"

#include <stdio.h>

/* Requests of callers: finds the queue, authorizes the caller, and passes the
 * request on. */

static void
submit_job (MuxCell *cell,
            MuxRequest *request,
            const CellCaller *caller,
            const MuxQueueSpec *queue,
            const char *id)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };

  if (queue->bad_field != NULL)
    {
      mux_count_refused (cell->options.counters, MUX_REASON_QUEUE_UNUSABLE);
      cell_respond (cell, request->call_id, MUX_RESPONSE_REFUSED);
      return;
    }
  mux_job_set_queue (request->job, queue);
  snprintf (request->job->id, sizeof request->job->id, "%s", id);
  (void) mux_name_copy (request->job->workspace, caller->workspace);
  if (!mux_job_check (request->job, &findings))
    cell_respond (cell, request->call_id, MUX_RESPONSE_BAD_REQUEST);
  else if (cell_quota_never_fits (cell, request->job))
    {
      mux_count_refused (cell->options.counters, MUX_REASON_QUOTA);
      cell_respond (cell, request->call_id, MUX_RESPONSE_OVER_QUOTA);
    }
  else
    cell_submit (cell, request);
}

/* A caller does not retry after the response that there is no such queue. So
 * that is the response only while the configuration is fresh: the queue may
 * have been added while this daemon could not read the feed. */
static MuxResponseOutcome
no_queue_outcome (const MuxCell *cell)
{
  return cell_feed_is_fresh (cell, &cell->feed[CELL_FEED_CONFIG])
             ? MUX_RESPONSE_NO_QUEUE
             : MUX_RESPONSE_REFUSED;
}

static void
dispatch (MuxCell *cell,
          MuxRequest *request,
          const CellCaller *caller,
          const MuxQueueSpec *queue,
          const char *id)
{
  if (request->verb == MUX_REQUEST_SUBMIT && request->job != NULL)
    submit_job (cell, request, caller, queue, id);
  else if (id[0] != 0 && !mux_job_id_valid (id))
    cell_respond (cell, request->call_id, MUX_RESPONSE_NO_JOB);
  else if (id[0] == 0 && request->verb != MUX_REQUEST_QUERY)
    cell_respond (cell, request->call_id, MUX_RESPONSE_BAD_REQUEST);
  else
    cell_job_query_begin (cell, request, caller, queue, id);
}

void
mux_cell_request (MuxCell *cell, MuxCellTime time, MuxRequest *request)
{
  const MuxQueueSpec *queue = NULL;
  const char *id = NULL;
  MuxResponseOutcome outcome = MUX_RESPONSE_REFUSED;
  CellCaller caller;

  cell_set_time (cell, time);
  if (cell->config != NULL)
    {
      queue = mux_queue_find (cell->config, request->host, request->path, &id);
      outcome = queue != NULL ? cell_authorize (cell, request, queue, &caller)
                              : no_queue_outcome (cell);
    }
  if (outcome == MUX_RESPONSE_ACCEPTED)
    dispatch (cell, request, &caller, queue, id);
  else
    cell_respond (cell, request->call_id, outcome);
  mux_request_free (request);
}
