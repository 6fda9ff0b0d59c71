#include "call.h"
#include "jobs_private.h"
#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Queries about jobs, their cancellation, and callers that wait for their end.
 */

/* Interval of reads of the row of a job that has another home. */
#define POLL_MS 500

static json_t *
header_json (const JobHeader *header)
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (header->id, hex);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "id", hex, "class",
      header->class_name, "state", job_state_name (header->state), "home",
      header->home, "cancel", header->cancel_requested, "task_count",
      (json_int_t) header->task_count, "done", (json_int_t) header->done,
      "failed", (json_int_t) header->failed);
}

/* What an unplaced task waits for; "" for others. */
static const char *
blocked_on (MuxCore *core, const Job *job, uint32_t index)
{
  const Task *task = task_find (core, mux_id_derive (job->id, index));

  if (task == NULL || job->slots[index].state != SLOT_NEW)
    return "";
  if (task->last_reason != MUX_REASON_NONE)
    return mux_reason_name (task->last_reason);
  return task_state_name (task->state);
}

static json_t *
job_json (MuxCore *core, const Job *job)
{
  json_t *json = header_json (&job->header);
  json_t *tasks = json_array ();

  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      const Slot *slot = &job->slots[i];

      json_array_append_new (
          tasks,
          json_pack ("{s:I, s:s, s:s, s:I, s:s}", "index", (json_int_t) i,
                     "state", slot_state_name (slot->state), "worker",
                     slot->worker, "attempt", (json_int_t) slot->attempt,
                     "waits_for", blocked_on (core, job, i)));
    }
  json_object_set_new (json, "tasks", tasks);
  return json;
}

void
job_respond (MuxCore *core, uint64_t call_id, uint32_t status, const Job *job)
{
  core_respond_json (core, call_id, status, job_json (core, job));
}

void
job_respond_header (MuxCore *core,
                    uint64_t call_id,
                    uint32_t status,
                    const JobHeader *header)
{
  core_respond_json (core, call_id, status, header_json (header));
}

static void
respond_reason (MuxCore *core, uint64_t call_id, MuxReason reason, MuxId id)
{
  core_respond (core, call_id, MUX_OUTCOME_INFO, reason, RETRY_MS * 10, id,
                NULL);
}

/* Reads both rows that a job can have, the open one and the ended one. */
static bool
get_rows (MuxCore *core, MuxId id, TableCallback done, uint64_t aux)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 2);

  if (call == NULL)
    return false;
  job_row_key ("open", id, call->rows[0].key);
  job_row_key ("done", id, call->rows[1].key);
  return call_table (core, call, done, id, aux);
}

/* Return: MUX_REASON_NONE: @header is filled from row number @row. */
static MuxReason
read_header (const MuxTableReply *reply, JobHeader *header, uint32_t *row)
{
  if (reply->status != MUX_TABLE_OK || reply->row_count < 2)
    return MUX_REASON_STORE_DOWN;
  for (*row = 0; *row < 2; ++*row)
    if (job_header_from_blob (reply->rows[*row].value, header))
      return MUX_REASON_NONE;
  return MUX_REASON_UNKNOWN_JOB;
}

static void
show_done (MuxCore *core,
           MuxId id,
           uint64_t call_id,
           const MuxTableReply *reply)
{
  JobHeader header;
  uint32_t row;
  MuxReason reason = read_header (reply, &header, &row);

  if (reason != MUX_REASON_NONE)
    respond_reason (core, call_id, reason, id);
  else
    job_respond_header (core, call_id, 200, &header);
}

void
job_show (MuxCore *core, const MuxCoreRequest *request)
{
  const Job *job = job_find (core, request->id);

  if (job != NULL)
    job_respond (core, request->call_id, 200, job);
  else if (!get_rows (core, request->id, show_done, request->call_id))
    respond_reason (core, request->call_id, MUX_REASON_RING_FULL, request->id);
}

static void
list_done (MuxCore *core,
           MuxId id,
           uint64_t call_id,
           const MuxTableReply *reply)
{
  json_t *jobs;

  if (reply->status != MUX_TABLE_OK)
    {
      respond_reason (core, call_id, MUX_REASON_STORE_DOWN, id);
      return;
    }
  jobs = json_array ();
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      JobHeader header;

      if (job_header_from_blob (reply->rows[i].value, &header))
        json_array_append_new (jobs, header_json (&header));
    }
  core_respond_json (
      core, call_id, 200,
      json_pack ("{s:o, s:b}", "jobs", jobs, "more", reply->more));
}

void
job_list (MuxCore *core, const MuxCoreRequest *request)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_SCAN, 2);

  if (call != NULL)
    {
      snprintf (call->rows[0].key, sizeof call->rows[0].key, "job/open/");
      if (!mux_id_is_none (request->id))
        job_row_key ("open", request->id, call->rows[1].key);
      call->limit = MUX_ROWS_MAX;
    }
  if (call == NULL
      || !call_table (core, call, list_done, request->id, request->call_id))
    respond_reason (core, request->call_id, MUX_REASON_RING_FULL, request->id);
}

/* Sent to all members, as the home may have changed since the row was read. */
static void
hint_home (MuxCore *core, MuxId id)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_JOB_HINT, .task = id };

  members_send_all (core, &msg);
}

static void cancel_read_done (MuxCore *core,
                              MuxId id,
                              uint64_t call_id,
                              const MuxTableReply *reply);

/* Cancelling rewrites the row with its flag set.  That also changes its
 * revision, so that the home's next write is refused and it reads the row. */
static void
cancel_put_done (MuxCore *core,
                 MuxId id,
                 uint64_t call_id,
                 const MuxTableReply *reply)
{
  Job *job = job_find (core, id);

  switch (reply->status)
    {
    case MUX_TABLE_OK:
      if (job != NULL)
        {
          job->rev = reply->rev;
          job->header.cancel_requested = true;
          job_respond (core, call_id, 200, job);
          job_cancel (core, job);
          return;
        }
      hint_home (core, id);
      if (!get_rows (core, id, show_done, call_id))
        respond_reason (core, call_id, MUX_REASON_RING_FULL, id);
      return;
    case MUX_TABLE_CONFLICT:
      /* Its home wrote in between, possibly the job's end. */
      mux_count_retry (core->counters, MUX_REASON_FENCED_ROW);
      if (!get_rows (core, id, cancel_read_done, call_id))
        respond_reason (core, call_id, MUX_REASON_RING_FULL, id);
      return;
    case MUX_TABLE_UNKNOWN:
      core_respond (core, call_id, MUX_OUTCOME_UNKNOWN,
                    MUX_REASON_WRITE_UNKNOWN, RETRY_MS * 10, id, NULL);
      return;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD_REQUEST:
      respond_reason (core, call_id, MUX_REASON_STORE_DOWN, id);
      return;
    }
}

static void
cancel_read_done (MuxCore *core,
                  MuxId id,
                  uint64_t call_id,
                  const MuxTableReply *reply)
{
  JobHeader header;
  uint32_t row;
  MuxReason reason = read_header (reply, &header, &row);
  MuxTableCall *put;

  if (reason != MUX_REASON_NONE)
    {
      respond_reason (core, call_id, reason, id);
      return;
    }
  if (row == 1)
    {
      job_respond_header (core, call_id, 200, &header);
      return;
    }
  header.cancel_requested = true;
  put = mux_table_call_new (MUX_TABLE_TXN, 1);
  if (put != NULL)
    {
      job_row_key ("open", id, put->rows[0].key);
      put->rows[0].rev = reply->rows[0].rev;
      put->rows[0].value = job_header_to_blob (&header);
    }
  if (put != NULL && put->rows[0].value == NULL)
    {
      mux_table_call_free (put);
      put = NULL;
    }
  if (put == NULL || !call_table (core, put, cancel_put_done, id, call_id))
    respond_reason (core, call_id, MUX_REASON_RING_FULL, id);
}

void
job_request_cancel (MuxCore *core, const MuxCoreRequest *request)
{
  if (!get_rows (core, request->id, cancel_read_done, request->call_id))
    respond_reason (core, request->call_id, MUX_REASON_RING_FULL, request->id);
}

void
job_wait (MuxCore *core, const MuxCoreRequest *request)
{
  JobWait *wait = calloc (1, sizeof *wait);

  if (wait == NULL)
    {
      respond_reason (core, request->call_id, MUX_REASON_INTERNAL, request->id);
      return;
    }
  wait->call_id = request->call_id;
  wait->id = request->id;
  wait->expires_ms = core->now_ms + request->timeout_ms;
  wait->next_poll_ms = core->now_ms;
  wait->next = core->jobs->waits;
  core->jobs->waits = wait;
}

static JobWait **
find_wait (MuxCore *core, uint64_t call_id)
{
  JobWait **at = &core->jobs->waits;

  while (*at != NULL && (*at)->call_id != call_id)
    at = &(*at)->next;
  return at;
}

static void
wait_remove (JobWait **at)
{
  JobWait *wait = *at;

  *at = wait->next;
  free (wait);
}

static void
poll_done (MuxCore *core,
           MuxId id,
           uint64_t call_id,
           const MuxTableReply *reply)
{
  JobWait **at = find_wait (core, call_id);
  JobHeader header;
  uint32_t row;
  MuxReason reason = read_header (reply, &header, &row);

  if (*at == NULL)
    return;
  (*at)->polling = false;
  (*at)->next_poll_ms = core->now_ms + core_jitter (core, POLL_MS);
  if (reason == MUX_REASON_UNKNOWN_JOB)
    {
      respond_reason (core, call_id, reason, id);
      wait_remove (at);
    }
  else if (reason == MUX_REASON_NONE && row == 1)
    {
      job_respond_header (core, call_id, 200, &header);
      wait_remove (at);
    }
}

static bool
expire (MuxCore *core, JobWait **at)
{
  if (core->now_ms < (*at)->expires_ms)
    return false;
  respond_reason (core, (*at)->call_id, MUX_REASON_DEADLINE, (*at)->id);
  wait_remove (at);
  return true;
}

void
job_waits_tick (MuxCore *core)
{
  JobWait **at = &core->jobs->waits;

  while (*at != NULL)
    {
      JobWait *wait = *at;

      if (expire (core, at))
        continue;
      if (!wait->polling && core->now_ms >= wait->next_poll_ms)
        {
          wait->next_poll_ms = core->now_ms + POLL_MS;
          if (job_find (core, wait->id) == NULL)
            wait->polling = get_rows (core, wait->id, poll_done, wait->call_id);
        }
      at = &wait->next;
    }
}

int64_t
job_waits_wake_ms (const MuxCore *core)
{
  int64_t at = INT64_MAX;

  for (const JobWait *w = core->jobs->waits; w != NULL; w = w->next)
    {
      if (!w->polling && w->next_poll_ms < at)
        at = w->next_poll_ms;
      if (w->expires_ms < at)
        at = w->expires_ms;
    }
  return at;
}

void
job_waits_notify (MuxCore *core, const JobHeader *header)
{
  JobWait **at = &core->jobs->waits;

  while (*at != NULL)
    {
      if (!mux_id_equal ((*at)->id, header->id))
        {
          at = &(*at)->next;
          continue;
        }
      job_respond_header (core, (*at)->call_id, 200, header);
      wait_remove (at);
    }
}

void
jobs_caller_disconnected (MuxCore *core, uint64_t call_id)
{
  JobWait **at = find_wait (core, call_id);

  if (*at != NULL)
    wait_remove (at);
}

void
job_waits_free (MuxCore *core)
{
  while (core->jobs->waits != NULL)
    {
      respond_reason (core, core->jobs->waits->call_id, MUX_REASON_STOPPING,
                      core->jobs->waits->id);
      wait_remove (&core->jobs->waits);
    }
}
