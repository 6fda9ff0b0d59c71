#include "call.h"
#include "config.h"
#include "jobs_private.h"
#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Scans of the open jobs, and adoption of those whose home has died. */

/* Longest interval between scans for open jobs whose home has died; at least
 * half of it. */
#define SCAN_INTERVAL_MAX_MS 60000
/* Interval of reads of a row whose job should be handled here. */
#define RECHECK_MS 1500
/* Delay before the row of a job that another daemon took is read: two daemons
 * that can't reach each other must not keep taking it from one another. */
#define RELEASED_RECHECK_MS 8000
/* Reads without a row after which it is assumed that none will be written. */
#define RECHECKS_MAX 20
/* Delay between the pages of one scan. */
#define SCAN_PAGE_MS 20
/* Delay before the first scan: peers must have been heard from by then. */
#define SCAN_FIRST_MS 3000
/* Open jobs are divided into partitions by the first bits of their ids.  Each
 * partition is scanned by the daemon that ranks first for it, so that all
 * daemons together read the rows about once per scan, not each of them all
 * rows. */
#define PARTITIONS 64
#define PARTITION_SHIFT 58
#define OPEN_PREFIX "job/open/"
/* Rows of a page: few, since a page may reach into partitions of other daemons.
 */
#define SCAN_ROWS 32

static bool
is_home (const MuxCore *core, const JobHeader *header)
{
  return strcmp (header->home, core->name) == 0
         && header->home_incarnation == core->opt.incarnation;
}

/* The home is alive if it is a member in the same incarnation that is not known
 * to be dead.  A member never heard from counts as dead: the first scan begins
 * only when all live members have been heard from. */
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
partition_of (MuxId id)
{
  return (uint32_t) (id.hi >> PARTITION_SHIFT);
}

static bool
scans_partition (MuxCore *core, uint32_t partition)
{
  char subject[MUX_NAME_LEN];

  snprintf (subject, sizeof subject, "jobs-%u", partition);
  return members_ranked_first (core, subject, false);
}

static bool
is_handled (MuxCore *core, MuxId id)
{
  return job_find (core, id) != NULL || job_submitting (core, id);
}

static bool
should_adopt (MuxCore *core, const JobHeader *header)
{
  if (is_handled (core, header->id))
    return false;
  return is_home (core, header)
         || (!job_home_alive (core, header)
             && scans_partition (core, partition_of (header->id)));
}

static void
begin_adopted (MuxCore *core, Job *job)
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

  /* The scan under way may have passed the row already. */
  jobs->scan_again = jobs->scanning || jobs->scan_after[0] != 0;
  if (at_ms < jobs->next_scan_ms)
    jobs->next_scan_ms = at_ms;
}

static void
abandon_adoption (MuxCore *core, Job *job)
{
  MuxId id = job->id;

  job_drop (core, job);
  job_recheck (core, id);
}

static void
body_done (MuxCore *core,
           MuxId id,
           uint64_t generation,
           const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK || reply->row_count == 0
      || reply->rows[0].value == NULL)
    {
      abandon_adoption (core, job);
      return;
    }
  job->body = mux_blob_ref (reply->rows[0].value);
  begin_adopted (core, job);
}

static void
fetch_body (MuxCore *core, Job *job)
{
  MuxTableCall *call;

  if (job->header.object[0] == 0)
    {
      begin_adopted (core, job);
      return;
    }
  call = mux_table_call_new (MUX_TABLE_OBJECT_GET, 1);
  if (call != NULL)
    snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s",
              job->header.object);
  if (call == NULL
      || !call_table (core, call, body_done, job->id, job->generation))
    abandon_adoption (core, job);
}

static void
parts_done (MuxCore *core,
            MuxId id,
            uint64_t generation,
            const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK)
    {
      abandon_adoption (core, job);
      return;
    }
  job_set_part_revisions (job, reply);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      uint32_t part = job_part_of_key (job, reply->rows[i].key);

      if (part < job_part_count (&job->header)
          && !job_part_from_blob (job, part, reply->rows[i].value))
        {
          abandon_adoption (core, job);
          return;
        }
    }
  fetch_body (core, job);
}

static void
take_over_done (MuxCore *core,
                MuxId id,
                uint64_t generation,
                const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  if (reply->status == MUX_TABLE_CONFLICT)
    {
      /* Another daemon took it, or it was only cancelled; its row shows which.
       */
      job_release (core, job);
      return;
    }
  if (reply->status != MUX_TABLE_OK)
    {
      abandon_adoption (core, job);
      return;
    }
  job->rev = reply->rev;
  if (!job_read_parts (core, job, parts_done))
    abandon_adoption (core, job);
}

/* A daemon becomes the home by one conditional write: of several that try, one
 * succeeds, and the writes of a previous home that comes back are refused. */
static void
take_over (MuxCore *core, const MuxRow *row, const JobHeader *found)
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
      || !call_table (core, call, take_over_done, job->id, job->generation))
    abandon_adoption (core, job);
}

/*
 * The write that made this daemon the home may take effect while its reply is
 * lost, or the parts may fail to be read after it.  The row then names a live
 * home, so no other daemon adopts the job, and it would stay open for ever.
 * Only this daemon knows, so it reads the row again until it handles the job or
 * the row names another live home.
 *
 * The same check is due after this daemon released a job that another one took,
 * as that one may have died since: the scans after its death passed over the
 * job while it was still held here.
 */
static void
schedule_recheck (MuxCore *core, MuxId id, int64_t after_ms)
{
  JobRecheck *recheck;

  HASH_FIND (hh, core->jobs->rechecks, &id, sizeof id, recheck);
  if (recheck == NULL)
    {
      recheck = calloc (1, sizeof *recheck);
      if (recheck == NULL)
        return;
      recheck->id = id;
      HASH_ADD (hh, core->jobs->rechecks, id, sizeof recheck->id, recheck);
    }
  recheck->checks_left = RECHECKS_MAX;
  recheck->at_ms = core->now_ms + core_jitter (core, after_ms);
}

void
job_recheck (MuxCore *core, MuxId id)
{
  schedule_recheck (core, id, RECHECK_MS);
}

void
job_release (MuxCore *core, Job *job)
{
  MuxId id = job->id;

  job_drop (core, job);
  schedule_recheck (core, id, RELEASED_RECHECK_MS);
}

static void
recheck_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  JobRecheck *recheck;
  JobHeader header;

  (void) aux;
  HASH_FIND (hh, core->jobs->rechecks, &id, sizeof id, recheck);
  if (recheck == NULL || reply->status != MUX_TABLE_OK || reply->row_count == 0)
    return;
  /* No row: the write may still take effect. */
  if (reply->rows[0].rev == MUX_REV_ABSENT && --recheck->checks_left > 0)
    return;
  HASH_DEL (core->jobs->rechecks, recheck);
  free (recheck);
  /* Not restricted to this daemon's partitions, as it is only one row. */
  if (job_header_from_blob (reply->rows[0].value, &header)
      && !is_handled (core, id)
      && (is_home (core, &header) || !job_home_alive (core, &header)))
    take_over (core, &reply->rows[0], &header);
}

static void
send_recheck (MuxCore *core, JobRecheck *recheck)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 1);

  recheck->at_ms = core->now_ms + core_jitter (core, RECHECK_MS);
  if (call == NULL)
    return;
  job_row_key ("open", recheck->id, call->rows[0].key);
  call_table (core, call, recheck_done, recheck->id, 0);
}

static void
send_due_rechecks (MuxCore *core)
{
  JobRecheck *recheck, *next;

  HASH_ITER (hh, core->jobs->rechecks, recheck, next)
  if (core->now_ms >= recheck->at_ms)
    send_recheck (core, recheck);
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
  JobRecheck *recheck, *next;

  HASH_ITER (hh, core->jobs->rechecks, recheck, next)
  {
    HASH_DEL (core->jobs->rechecks, recheck);
    free (recheck);
  }
}

/* Continues the scan at this daemon's first partition from @partition on;
 * false: there is none. */
static bool
scan_from_partition (MuxCore *core, uint32_t partition)
{
  Jobs *jobs = core->jobs;
  MuxId start = { 0, 0 };
  char hex[MUX_ID_HEX_LEN];

  while (partition < PARTITIONS && !scans_partition (core, partition))
    partition++;
  if (partition == PARTITIONS)
    return false;
  /* Two digits sort before every id that begins with them. */
  start.hi = (uint64_t) partition << PARTITION_SHIFT;
  mux_id_format (start, hex);
  snprintf (jobs->scan_after, sizeof jobs->scan_after, OPEN_PREFIX "%.2s", hex);
  return true;
}

/* Sets where the scan continues after a page; false: it has ended. */
static bool
scan_continue (MuxCore *core, const MuxTableReply *reply)
{
  Jobs *jobs = core->jobs;
  const char *last;
  MuxId id;

  if (!reply->more || reply->row_count == 0)
    return false;
  last = reply->rows[reply->row_count - 1].key;
  if (!mux_id_parse (last + sizeof OPEN_PREFIX - 1, &id))
    return false;
  if (!scans_partition (core, partition_of (id)))
    return scan_from_partition (core, partition_of (id) + 1);
  snprintf (jobs->scan_after, sizeof jobs->scan_after, "%s", last);
  return true;
}

/*
 * Handles one row of a scan: adopts the job, or reads the row of a job that is
 * held here and that another daemon has taken, as after a partition.  While the
 * tasks of such a job wait for room nothing is written, so no refused write
 * shows that the job is gone; and if the other daemon died, the job would still
 * seem to be handled.
 */
static void
check_row (MuxCore *core, const MuxRow *row)
{
  JobHeader header;
  Job *job;

  if (!job_header_from_blob (row->value, &header))
    return;
  job = job_find (core, header.id);
  if (job != NULL && job->loaded && !is_home (core, &header))
    job_reread (core, job);
  else if (should_adopt (core, &header))
    take_over (core, row, &header);
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
    check_row (core, &reply->rows[i]);
  if (scan_continue (core, reply))
    {
      jobs->next_scan_ms = core->now_ms + SCAN_PAGE_MS;
      return;
    }
  jobs->scan_after[0] = 0;
  jobs->next_scan_ms
      = core->now_ms + core_jitter (core, SCAN_INTERVAL_MAX_MS / 2);
  if (jobs->scan_again)
    jobs->next_scan_ms = core->now_ms + core_jitter (core, RETRY_MS);
  jobs->scan_again = false;
}

void
job_scan (MuxCore *core)
{
  Jobs *jobs = core->jobs;
  MuxTableCall *call;

  send_due_rechecks (core);
  if (jobs->next_scan_ms == 0)
    jobs->next_scan_ms = core->now_ms + core_jitter (core, SCAN_FIRST_MS);
  if (jobs->scanning || core->now_ms < jobs->next_scan_ms)
    return;
  /* Without its class an adopted job can't be handled. */
  if (!config_loaded (core))
    {
      jobs->next_scan_ms = core->now_ms + RETRY_MS;
      return;
    }
  jobs->next_scan_ms = core->now_ms + SCAN_FIRST_MS;
  if (jobs->scan_after[0] == 0 && !scan_from_partition (core, 0))
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
