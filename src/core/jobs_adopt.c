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
/* Open jobs are divided by the first bits of their ids; each part is looked
 * through by the daemon that is first choice for it, so that all daemons
 * together read the rows about once a look, not each of them all rows. */
#define PARTS 64
#define PART_SHIFT 58
#define OPEN_PREFIX "job/open/"
/* Rows of a page: few, since a page may reach into parts of others. */
#define SCAN_ROWS 32

/* The home of a row is alive if it is this process, or a member that is not
 * known to be dead in that same life.  A member never heard of counts as
 * dead: the first look comes only when all that live have been heard. */
static bool
home_lives (MuxCore *core, const JobHeader *header)
{
  const Member *member;

  if (strcmp (header->home, core->name) == 0)
    return header->home_incarnation == core->opt.incarnation;
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
  return members_first (core, subject, false);
}

static bool
ours_to_adopt (MuxCore *core, const JobHeader *header)
{
  return !home_lives (core, header) && job_find (core, header->id) == NULL
         && part_is_ours (core, part_of (header->id));
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
  if (reply->status != MUX_TABLE_OK)
    {
      /* Another one took it, or it can't be told: nothing has been done for
       * it here yet. */
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
    {
      JobHeader header;

      if (job_header_from_blob (reply->rows[i].value, &header)
          && ours_to_adopt (core, &header))
        take (core, &reply->rows[i], &header);
    }
  if (scan_on (core, reply))
    {
      jobs->next_scan_ms = core->now_ms + SCAN_PAGE_MS;
      return;
    }
  jobs->scan_after[0] = 0;
  jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_EVERY_MS / 2);
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
