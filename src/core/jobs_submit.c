#include "call.h"
#include "config.h"
#include "jobs_private.h"
#include "member.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Submission: a job is stored before it is acknowledged. */

/* Writes of unknown outcome after which the caller is answered "unknown". */
#define WRITES_MAX 5

static void send_row (MuxCore *core, JobSubmit *submit);

static JobSubmit *
submit_find (MuxCore *core, MuxId id)
{
  JobSubmit *submit;

  HASH_FIND (hh, core->jobs->submits, &id, sizeof id, submit);
  return submit;
}

bool
job_submitting (MuxCore *core, MuxId id)
{
  return submit_find (core, id) != NULL;
}

static void
submit_free (MuxCore *core, JobSubmit *submit)
{
  HASH_DEL (core->jobs->submits, submit);
  mux_blob_unref (submit->body);
  free (submit);
}

void
job_submits_free (MuxCore *core)
{
  JobSubmit *submit, *next;

  HASH_ITER (hh, core->jobs->submits, submit, next)
  {
    core_respond (core, submit->call_id, MUX_OUTCOME_UNKNOWN,
                  MUX_REASON_STOPPING, RETRY_MS * 10, submit->id, NULL);
    submit_free (core, submit);
  }
}

static void
submit_refuse (MuxCore *core, JobSubmit *submit, MuxReason reason)
{
  /* After a write of unknown outcome it may be on record, or be soon. */
  MuxOutcome outcome
      = submit->write_count > 1 ? MUX_OUTCOME_UNKNOWN : MUX_OUTCOME_NOT_RUN;

  core_respond (core, submit->call_id, outcome, reason, RETRY_MS * 10,
                submit->id, NULL);
  if (outcome == MUX_OUTCOME_UNKNOWN)
    job_recheck (core, submit->id);
  submit_free (core, submit);
}

static void
accept (MuxCore *core, JobSubmit *submit, uint64_t rev)
{
  Job *job = job_new (core, &submit->header, rev, submit->body);

  mux_count (core->counters, MUX_COUNT_JOBS_ACCEPTED, 1);
  job_respond_header (core, submit->call_id, 202, &submit->header);
  /* What is recorded is accepted, even when there is no memory to handle it
   * yet. */
  if (job == NULL)
    job_recheck (core, submit->id);
  submit_free (core, submit);
  if (job == NULL)
    return;
  job->loaded = true;
  job_activate_tasks (core, job);
}

/* A row of that id exists: written by an earlier submission of the same key, or
 * by this one with a write of unknown outcome. */
static void
row_exists (MuxCore *core, JobSubmit *submit, const MuxTableReply *reply)
{
  JobHeader header;

  if (reply->row_count == 0
      || !job_header_from_blob (reply->rows[0].value, &header))
    {
      submit_refuse (core, submit, MUX_REASON_INTERNAL);
      return;
    }
  if (header.state == JOB_OPEN && strcmp (header.home, core->name) == 0
      && header.home_incarnation == core->opt.incarnation
      && job_find (core, submit->id) == NULL)
    {
      accept (core, submit, reply->rows[0].rev);
      return;
    }
  job_respond_header (core, submit->call_id, 202, &header);
  /* The row may have been written after the scans that followed its home's
   * death. */
  if (header.state == JOB_OPEN && !job_home_alive (core, &header))
    job_recheck (core, submit->id);
  submit_free (core, submit);
}

static void
row_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  JobSubmit *submit = submit_find (core, id);

  (void) aux;
  if (submit == NULL)
    return;
  switch (reply->status)
    {
    case MUX_TABLE_OK:
      accept (core, submit, reply->rev);
      break;
    case MUX_TABLE_CONFLICT:
      row_exists (core, submit, reply);
      break;
    case MUX_TABLE_UNKNOWN:
      mux_count_retry (core->counters, MUX_REASON_WRITE_UNKNOWN);
      /* The repetition is safe, as the write requires that there is no row. */
      if (submit->write_count < WRITES_MAX)
        send_row (core, submit);
      else
        submit_refuse (core, submit, MUX_REASON_WRITE_UNKNOWN);
      break;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD_REQUEST:
      submit_refuse (core, submit, MUX_REASON_STORE_DOWN);
      break;
    }
}

static void
send_row (MuxCore *core, JobSubmit *submit)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, 2);
  MuxId id = submit->id;

  submit->write_count++;
  if (call != NULL)
    {
      job_row_key ("open", id, call->rows[0].key);
      call->rows[0].rev = MUX_REV_ABSENT;
      call->rows[0].value = job_header_to_blob (&submit->header);
      job_row_key ("done", id, call->rows[1].key);
      call->rows[1].rev = MUX_REV_ABSENT;
      call->rows[1].check_only = true;
    }
  if (call == NULL || !call_table (core, call, row_done, id, 0))
    submit_refuse (core, submit, MUX_REASON_RING_FULL);
}

static void
object_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  JobSubmit *submit = submit_find (core, id);

  (void) aux;
  if (submit == NULL)
    return;
  if (reply->status == MUX_TABLE_OK)
    send_row (core, submit);
  else
    submit_refuse (core, submit, MUX_REASON_STORE_DOWN);
}

/* The body is stored before the row that names it, so that no row names a body
 * that does not exist.  Its key contains its hash, so that another body under
 * the same idempotency key can't replace it. */
static void
send_object (MuxCore *core, JobSubmit *submit)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_OBJECT_PUT, 1);

  if (call != NULL)
    {
      snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s",
                submit->header.object);
      call->rows[0].value = mux_blob_ref (submit->body);
    }
  if (call == NULL || !call_table (core, call, object_done, submit->id, 0))
    submit_refuse (core, submit, MUX_REASON_RING_FULL);
}

static MuxReason
check_request (MuxCore *core,
               const MuxCoreRequest *request,
               const MuxClassSpec *spec)
{
  if (!config_loaded (core))
    return MUX_REASON_STORE_DOWN;
  if (spec == NULL)
    return MUX_REASON_UNKNOWN_CLASS;
  if (spec->kind == MUX_KIND_SERVICE)
    return MUX_REASON_KIND_MISMATCH;
  if (request->task_count == 0 || request->task_count > MUX_JOB_TASKS_MAX)
    return MUX_REASON_BAD_FIELD;
  if (!members_could_hold (core, spec->size))
    return MUX_REASON_NEVER_FITS;
  if (HASH_COUNT (core->jobs->submits) >= core->opt.queue_max)
    return MUX_REASON_QUEUE_FULL;
  return MUX_REASON_NONE;
}

static void
name_object (JobSubmit *submit)
{
  char hex[MUX_ID_HEX_LEN];

  if (submit->body == NULL || submit->body->len == 0)
    return;
  mux_id_format (submit->id, hex);
  snprintf (submit->header.object, sizeof submit->header.object,
            "job/%s-%016" PRIx64, hex,
            (uint64_t) XXH3_64bits (submit->body->bytes, submit->body->len));
}

void
job_submit (MuxCore *core, const MuxCoreRequest *request)
{
  MuxReason reason
      = check_request (core, request, config_class (core, request->name));
  MuxId id = request->key[0] == 0
                 ? core_new_task_id (core)
                 : mux_id_from_key (request->name, request->key);
  JobSubmit *submit = NULL;

  if (reason == MUX_REASON_NONE && submit_find (core, id) != NULL)
    reason = MUX_REASON_KEY_IN_USE;
  if (reason == MUX_REASON_NONE)
    {
      submit = calloc (1, sizeof *submit);
      reason = submit == NULL ? MUX_REASON_INTERNAL : MUX_REASON_NONE;
    }
  if (reason != MUX_REASON_NONE)
    {
      core_respond (core, request->call_id, MUX_OUTCOME_NOT_RUN, reason,
                    RETRY_MS * 10, (MuxId){ 0, 0 }, NULL);
      return;
    }
  submit->id = id;
  submit->call_id = request->call_id;
  submit->body = mux_blob_ref (request->body);
  submit->header = (JobHeader){ .id = id,
                                .task_count = request->task_count,
                                .home_incarnation = core->opt.incarnation,
                                .at_ms = request->wall_ms };
  mux_name_copy (submit->header.class_name, request->name);
  mux_name_copy (submit->header.home, core->name);
  name_object (submit);
  HASH_ADD (hh, core->jobs->submits, id, sizeof submit->id, submit);
  if (submit->header.object[0] != 0)
    send_object (core, submit);
  else
    send_row (core, submit);
}
