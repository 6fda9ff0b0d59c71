#include "call.h"
#include "config.h"
#include "jobs_private.h"
#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Between looks through the open jobs for ones without a living home. */
#define SCAN_EVERY_MS 60000
/* Between looks at a row that should be carried here. */
#define RETAKE_MS 1500
/* Before a look at the row of a job that another daemon took: two that can't
 * hear each other must not take it from one another all the time. */
#define LET_GO_MS 8000
/* Looks that find no row before it is believed that none will come. */
#define RETAKE_TRIES 20
/* Between pages of one look. */
#define SCAN_PAGE_MS 20
/* Before the first look: peers must have been heard by then. */
#define SCAN_FIRST_MS 3000
/* Open jobs are divided by the first bits of their ids; each part is looked
 * through by the daemon that is first choice for it, so that all daemons
 * together read the rows about once a look, not each of them all rows. */
#define PARTS 64
#define PART_SHIFT 58
#define OPEN_PREFIX "job/open/"
/* Rows of a page: few, since a page may reach into parts of others. */
#define SCAN_ROWS 32

static bool
is_home (const MuxCore *core, const JobHeader *header)
{
  return strcmp (header->home, core->name) == 0
         && header->home_incarnation == core->opt.incarnation;
}

/* The home of a row is alive if it is a member that is not known to be dead
 * in that same life.  A member never heard of counts as dead: the first look
 * comes only when all that live have been heard. */
bool
job_home_alive (MuxCore *core, const JobHeader *header)
{
  const Member *member;

  if (is_home (core, header))
    return true;
  member = member_find (core, header->home);
  return member != NULL && member->state != MEMBER_DEAD && !member->stopping
         && member->incarnation == header->home_incarnation;
}

static uint32_t
part_of (MuxId id)
{
  return (uint32_t) (id.hi >> PART_SHIFT);
}

static bool
part_is_ours (MuxCore *core, uint32_t part)
{
  char subject[MUX_NAME_LEN];

  snprintf (subject, sizeof subject, "jobs-%u", part);
  return members_ranked_first (core, subject, false);
}

static bool
is_held (MuxCore *core, MuxId id)
{
  return job_find (core, id) != NULL || job_submitting (core, id);
}

static bool
ours_to_adopt (MuxCore *core, const JobHeader *header)
{
  if (is_held (core, header->id))
    return false;
  return is_home (core, header)
         || (!job_home_alive (core, header)
             && part_is_ours (core, part_of (header->id)));
}

static void
adopted (MuxCore *core, Job *job)
{
  job->loaded = true;
  mux_count (core->counters, MUX_COUNT_JOBS_ADOPTED, 1);
  core_log (core, 5, "job_adopted", "class=%s tasks=%u", job->header.class_name,
            job->header.task_count);
  for (uint32_t i = 0; i < job->header.task_count; i++)
    if (job->slots[i].state >= SLOT_DONE)
      job->final_count++;
  job->header.done = job->header.failed = 0;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      job->header.done += job->slots[i].state == SLOT_DONE;
      job->header.failed += job->slots[i].state > SLOT_DONE;
    }
  if (job->final_count == job->header.task_count)
    {
      job->ended = job->dirty_any = job->urgent = true;
      return;
    }
  job_activate_tasks (core, job);
  if (job->header.cancel_requested)
    job_cancel (core, job);
}

void
job_scan_soon (MuxCore *core, int64_t after_ms)
{
  Jobs *jobs = core->jobs;
  int64_t at_ms = core->now_ms + core_jitter (core, after_ms);

  /* The look that is under way may have passed the row already. */
  jobs->scan_again = jobs->scanning || jobs->scan_after[0] != 0;
  if (at_ms < jobs->next_scan_ms)
    jobs->next_scan_ms = at_ms;
}

static void
abandon (MuxCore *core, Job *job)
{
  MuxId id = job->id;

  job_drop (core, job);
  job_recheck (core, id);
}

static void
body_done (MuxCore *core, MuxId id, uint64_t turn, const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, turn);

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
  if (call == NULL
      || !call_table (core, call, body_done, job->id, job->generation))
    abandon (core, job);
}

static void
parts_done (MuxCore *core, MuxId id, uint64_t turn, const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, turn);

  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK)
    {
      abandon (core, job);
      return;
    }
  job_set_part_revisions (job, reply);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      uint32_t part = job_part_of_key (job, reply->rows[i].key);

      if (part < job_part_count (&job->header)
          && !job_part_from_blob (job, part, reply->rows[i].value))
        {
          abandon (core, job);
          return;
        }
    }
  fetch_body (core, job);
}

static void
take_done (MuxCore *core, MuxId id, uint64_t turn, const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, turn);

  if (job == NULL)
    return;
  if (reply->status == MUX_TABLE_CONFLICT)
    {
      /* Another one took it, or it was only cancelled: its row will tell. */
      job_release (core, job);
      return;
    }
  if (reply->status != MUX_TABLE_OK)
    {
      abandon (core, job);
      return;
    }
  job->rev = reply->rev;
  if (!job_read_parts (core, job, parts_done))
    abandon (core, job);
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
  if (call == NULL
      || !call_table (core, call, take_done, job->id, job->generation))
    abandon (core, job);
}

/*
 * Failure: the write that made this daemon the home took effect and its answer
 * was lost, or the job's parts could not be read after it.  The row then names
 * a home that lives, so nobody else adopts the job, and here nobody carries
 * it: it would stay open for ever.  Only this daemon knows, so it looks at
 * that row again until it carries the job or the row names another that lives.
 *
 * The same look is due when this daemon lets go of a job that another took and
 * that one has died since: the looks after its death passed over the job, as
 * it was still held here.
 */
static void
retake_after (MuxCore *core, MuxId id, int64_t after_ms)
{
  JobRecheck *retake;

  HASH_FIND (hh, core->jobs->rechecks, &id, sizeof id, retake);
  if (retake == NULL)
    {
      retake = calloc (1, sizeof *retake);
      if (retake == NULL)
        return;
      retake->id = id;
      HASH_ADD (hh, core->jobs->rechecks, id, sizeof retake->id, retake);
    }
  retake->checks_left = RETAKE_TRIES;
  retake->at_ms = core->now_ms + core_jitter (core, after_ms);
}

void
job_recheck (MuxCore *core, MuxId id)
{
  retake_after (core, id, RETAKE_MS);
}

void
job_release (MuxCore *core, Job *job)
{
  MuxId id = job->id;

  job_drop (core, job);
  retake_after (core, id, LET_GO_MS);
}

static void
retake_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  JobRecheck *retake;
  JobHeader header;

  (void) aux;
  HASH_FIND (hh, core->jobs->rechecks, &id, sizeof id, retake);
  if (retake == NULL || reply->status != MUX_TABLE_OK || reply->row_count == 0)
    return;
  /* Not there: the write may yet land, late. */
  if (reply->rows[0].rev == MUX_REV_ABSENT && --retake->checks_left > 0)
    return;
  HASH_DEL (core->jobs->rechecks, retake);
  free (retake);
  /* One row that may be nobody's is not worth asking whose part it is in. */
  if (job_header_from_blob (reply->rows[0].value, &header)
      && !is_held (core, id)
      && (is_home (core, &header) || !job_home_alive (core, &header)))
    take (core, &reply->rows[0], &header);
}

static void
look_again (MuxCore *core, JobRecheck *retake)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 1);

  retake->at_ms = core->now_ms + core_jitter (core, RETAKE_MS);
  if (call == NULL)
    return;
  job_row_key ("open", retake->id, call->rows[0].key);
  call_table (core, call, retake_done, retake->id, 0);
}

static void
look_at_retakes (MuxCore *core)
{
  JobRecheck *retake, *next;

  HASH_ITER (hh, core->jobs->rechecks, retake, next)
  if (core->now_ms >= retake->at_ms)
    look_again (core, retake);
}

int64_t
job_rechecks_wake_ms (const MuxCore *core)
{
  int64_t at = INT64_MAX;

  for (const JobRecheck *r = core->jobs->rechecks; r != NULL; r = r->hh.next)
    if (r->at_ms < at)
      at = r->at_ms;
  return at;
}

void
job_rechecks_free (MuxCore *core)
{
  JobRecheck *retake, *next;

  HASH_ITER (hh, core->jobs->rechecks, retake, next)
  {
    HASH_DEL (core->jobs->rechecks, retake);
    free (retake);
  }
}

/* Go on at the first part of ours from @part on; false: there is none. */
static bool
scan_from_part (MuxCore *core, uint32_t part)
{
  Jobs *jobs = core->jobs;
  MuxId start = { 0, 0 };
  char hex[MUX_ID_HEX_LEN];

  while (part < PARTS && !part_is_ours (core, part))
    part++;
  if (part == PARTS)
    return false;
  /* Two digits sort before every id that begins with them. */
  start.hi = (uint64_t) part << PART_SHIFT;
  mux_id_format (start, hex);
  snprintf (jobs->scan_after, sizeof jobs->scan_after, OPEN_PREFIX "%.2s", hex);
  return true;
}

/* Where the look goes on after a page; false: it has ended. */
static bool
scan_on (MuxCore *core, const MuxTableReply *reply)
{
  Jobs *jobs = core->jobs;
  const char *last;
  MuxId id;

  if (!reply->more || reply->row_count == 0)
    return false;
  last = reply->rows[reply->row_count - 1].key;
  if (!mux_id_parse (last + sizeof OPEN_PREFIX - 1, &id))
    return false;
  if (!part_is_ours (core, part_of (id)))
    return scan_from_part (core, part_of (id) + 1);
  snprintf (jobs->scan_after, sizeof jobs->scan_after, "%s", last);
  return true;
}

/*
 * Failure: another daemon took a job that is still held here, as by one that
 * was cut off, and its tasks wait for room: nothing is written, so nothing
 * tells that it is gone.  Should the other die, the job seems to be carried.
 */
static void
look_at_row (MuxCore *core, const MuxRow *row)
{
  JobHeader header;
  Job *job;

  if (!job_header_from_blob (row->value, &header))
    return;
  job = job_find (core, header.id);
  if (job != NULL && job->loaded && !is_home (core, &header))
    job_reread (core, job);
  else if (ours_to_adopt (core, &header))
    take (core, row, &header);
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
  if (reply->status != MUX_TABLE_OK)
    {
      jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_FIRST_MS);
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    look_at_row (core, &reply->rows[i]);
  if (scan_on (core, reply))
    {
      jobs->next_scan_ms = core->now_ms + SCAN_PAGE_MS;
      return;
    }
  jobs->scan_after[0] = 0;
  jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_EVERY_MS / 2);
  if (jobs->scan_again)
    jobs->next_scan_ms = core->now_ms + core_jitter (core, RETRY_MS);
  jobs->scan_again = false;
}

void
job_scan (MuxCore *core)
{
  Jobs *jobs = core->jobs;
  MuxTableCall *call;

  look_at_retakes (core);
  if (jobs->next_scan_ms == 0)
    jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_FIRST_MS);
  if (jobs->scanning || core->now_ms < jobs->next_scan_ms)
    return;
  /* Without the classes an adopted job could not be carried. */
  if (!config_loaded (core))
    {
      jobs->next_scan_ms = core->now_ms + RETRY_MS;
      return;
    }
  jobs->next_scan_ms = core->now_ms + SCAN_FIRST_MS;
  if (jobs->scan_after[0] == 0 && !scan_from_part (core, 0))
    return;
  call = mux_table_call_new (MUX_TABLE_SCAN, 2);
  if (call == NULL)
    return;
  snprintf (call->rows[0].key, sizeof call->rows[0].key, OPEN_PREFIX);
  snprintf (call->rows[1].key, sizeof call->rows[1].key, "%s",
            jobs->scan_after);
  call->limit = SCAN_ROWS;
  jobs->scanning = call_table (core, call, scan_done, (MuxId){ 0, 0 }, 0);
}
