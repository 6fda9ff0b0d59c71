#include "call.h"
#include "jobs_private.h"
#include "member.h"

#include <stdio.h>
#include <string.h>

/* Between looks through the open jobs for ones without a living home. */
#define SCAN_EVERY_MS 60000
/* Between pages of one look. */
#define SCAN_PAGE_MS 20
/* Before the first look: peers must have been heard by then. */
#define SCAN_FIRST_MS 3000

static bool
is_home (const MuxCore *core, const JobHeader *header)
{
  return strcmp (header->home, core->name) == 0
         && header->home_incarnation == core->opt.incarnation;
}

/* The home of a row is alive if it is a member that is not known to be dead
 * in that same life.  A member never heard of counts as dead: the first look
 * comes only when all that live have been heard. */
static bool
home_lives (MuxCore *core, const JobHeader *header)
{
  const Member *member;

  member = member_find (core, header->home);
  return member != NULL && member->state != MEMBER_DEAD && !member->stopping
         && member->incarnation == header->home_incarnation;
}

/*
 * Failure: the write that made this daemon the home took effect and its answer
 * was lost, or the job's parts could not be read after it.  The row then names
 * a home that lives, so nobody else adopts the job, and here nobody carries
 * it: it would stay open for ever.  A row that names this life of this daemon
 * is therefore taken again when neither job nor submission is known.
 */
static bool
ours_to_adopt (MuxCore *core, const JobHeader *header)
{
  char hex[MUX_ID_HEX_LEN];

  if (job_find (core, header->id) != NULL || job_submitting (core, header->id))
    return false;
  if (is_home (core, header))
    return true;
  mux_id_format (header->id, hex);
  return !home_lives (core, header) && members_first (core, hex, false);
}

static void
adopted (MuxCore *core, Job *job)
{
  mux_count (core->counters, MUX_COUNT_JOBS_ADOPTED, 1);
  core_log (core, 5, "job_adopted", "class=%s tasks=%u", job->header.class_name,
            job->header.task_count);
  for (uint32_t i = 0; i < job->header.task_count; i++)
    if (job->slots[i].state >= SLOT_DONE)
      job->final++;
  job->header.done = job->header.failed = 0;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      job->header.done += job->slots[i].state == SLOT_DONE;
      job->header.failed += job->slots[i].state > SLOT_DONE;
    }
  if (job->final == job->header.task_count)
    {
      job->ended = job->dirty_any = job->urgent = true;
      return;
    }
  job_carry (core, job);
  if (job->header.cancel)
    job_cancel (core, job);
}

static void
abandon (MuxCore *core, Job *job)
{
  /* Its row names this daemon as home, yet it can't be carried now: the next
   * look finds it again. */
  job_drop (core, job);
  if (core->jobs->next_scan_ms > core->now_ms + SCAN_FIRST_MS)
    core->jobs->next_scan_ms = core->now_ms + SCAN_FIRST_MS;
}

static void
body_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  Job *job = job_find (core, id);

  (void) aux;
  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK || reply->row_count == 0
      || reply->rows[0].value == NULL)
    {
      abandon (core, job);
      return;
    }
  job->body = mux_blob_ref (reply->rows[0].value);
  adopted (core, job);
}

static void
fetch_body (MuxCore *core, Job *job)
{
  MuxTableCall *call;

  if (job->header.object[0] == 0)
    {
      adopted (core, job);
      return;
    }
  call = mux_table_call_new (MUX_TABLE_OBJECT_GET, 1);
  if (call != NULL)
    snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s",
              job->header.object);
  if (call == NULL || !call_table (core, call, body_done, job->id, 0))
    abandon (core, job);
}

static void
parts_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  Job *job = job_find (core, id);
  char key[MUX_ROW_KEY_LEN];

  (void) aux;
  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK)
    {
      abandon (core, job);
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    for (uint32_t part = 0; part < job_parts (&job->header); part++)
      {
        job_part_key (job->id, part, key);
        if (strcmp (key, reply->rows[i].key) == 0
            && !job_part_from_blob (job, part, reply->rows[i].value))
          {
            abandon (core, job);
            return;
          }
      }
  fetch_body (core, job);
}

static void
fetch_parts (MuxCore *core, Job *job)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_SCAN, 2);

  if (call != NULL)
    {
      char hex[MUX_ID_HEX_LEN];

      mux_id_format (job->id, hex);
      snprintf (call->rows[0].key, sizeof call->rows[0].key, "job/part/%s/",
                hex);
      call->limit = MUX_ROWS_MAX;
    }
  if (call == NULL || !call_table (core, call, parts_done, job->id, 0))
    abandon (core, job);
}

static void
take_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  Job *job = job_find (core, id);

  (void) aux;
  if (job == NULL)
    return;
  if (reply->status == MUX_TABLE_UNKNOWN)
    {
      abandon (core, job);
      return;
    }
  if (reply->status != MUX_TABLE_OK)
    {
      /* Another one took it: nothing has been done for it here yet. */
      job_drop (core, job);
      return;
    }
  job->rev = reply->rev;
  fetch_parts (core, job);
}

/* Becoming the home is one conditional write: of several that try, one wins,
 * and a former home that wakes finds its own writes refused. */
static void
take (MuxCore *core, const MuxRow *row, const JobHeader *found)
{
  JobHeader header = *found;
  MuxTableCall *call;
  Job *job;

  mux_name_copy (header.home, core->name);
  header.home_incarnation = core->opt.incarnation;
  job = job_new (core, &header, row->rev, NULL);
  if (job == NULL)
    return;
  call = mux_table_call_new (MUX_TABLE_TXN, 1);
  if (call != NULL)
    {
      snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s", row->key);
      call->rows[0].rev = row->rev;
      call->rows[0].value = job_header_to_blob (&header);
    }
  if (call != NULL && call->rows[0].value == NULL)
    {
      mux_table_call_free (call);
      call = NULL;
    }
  if (call == NULL || !call_table (core, call, take_done, job->id, 0))
    job_drop (core, job);
}

static void
scan_done (MuxCore *core,
           MuxId subject,
           uint64_t aux,
           const MuxTableReply *reply)
{
  Jobs *jobs = core->jobs;

  (void) subject;
  (void) aux;
  jobs->scanning = false;
  jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_EVERY_MS / 2);
  if (reply->status != MUX_TABLE_OK)
    {
      jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_FIRST_MS);
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      JobHeader header;

      if (job_header_from_blob (reply->rows[i].value, &header)
          && ours_to_adopt (core, &header))
        take (core, &reply->rows[i], &header);
    }
  jobs->scan_after[0] = 0;
  if (reply->more && reply->row_count > 0)
    {
      snprintf (jobs->scan_after, sizeof jobs->scan_after, "%s",
                reply->rows[reply->row_count - 1].key);
      jobs->next_scan_ms = core->now_ms + SCAN_PAGE_MS;
    }
}

void
job_scan (MuxCore *core)
{
  Jobs *jobs = core->jobs;
  MuxTableCall *call;

  if (jobs->next_scan_ms == 0)
    jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_FIRST_MS);
  if (jobs->scanning || core->now_ms < jobs->next_scan_ms)
    return;
  jobs->next_scan_ms = core->now_ms + SCAN_FIRST_MS;
  call = mux_table_call_new (MUX_TABLE_SCAN, 2);
  if (call == NULL)
    return;
  snprintf (call->rows[0].key, sizeof call->rows[0].key, "job/open/");
  snprintf (call->rows[1].key, sizeof call->rows[1].key, "%s",
            jobs->scan_after);
  call->limit = MUX_ROWS_MAX;
  jobs->scanning = call_table (core, call, scan_done, (MuxId){ 0, 0 }, 0);
}
