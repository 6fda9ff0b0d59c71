#include "job_memory.h"

#include "cell/job_room.h"
#include "progress_split.h"

#include <stdlib.h>
#include <string.h>

/* Of the allocator, for each block. */
#define BLOCK_BYTES UINT64_C (16)
/* Blocks of a job: itself, its spec, two copies of the payload with a header
 * each, the lists of steps and stages, its place in the tables of jobs and of
 * senders, and the table of its workspace or queue. */
#define JOB_BLOCKS 14
/* Workers that approval queries about a step usually name. */
#define APPROVALS 30
/* Between two updates of what jobs take that are there. */
#define UPDATE_INTERVAL_MS 1000
/* The rate of releases is a running mean over this time. */
#define RATE_WINDOW_MS 10000
#define MS_PER_S 1000
/* A member that was silent for longer does not count. */
#define MEMBER_RECENT_MS 10000
/* While jobs are left in the store this part of the memory is kept for them. */
#define LEFT_OUT_PART 8
/* Runs of tasks that were started before may be as many without memory for
 * them: some 80 KB. */
#define RUNS_MIN 256
#define RECEIVED_MAX ((json_int_t) 1 << 50)

/**
 * struct CellJobSender - jobs of one sender: a workspace, or all callers of a
 *   queue that need no key; owned by CellJobMemory.senders, removed when none
 *   is left
 * @key: of the table
 * @bytes: that they take
 */
struct CellJobSender
{
  uint64_t key;
  uint64_t bytes;
  UT_hash_handle hh;
};

static uint64_t
sender_of (const MuxJobSpec *spec)
{
  return spec->workspace[0] != 0 ? mux_hash_name (spec->workspace, 1)
                                 : mux_hash_name (spec->queue.name, 0);
}

/* Stages of a job that has repetitions begin while others are unfinished. */
static uint64_t
occurrences_at_once (const MuxJobSpec *spec)
{
  uint32_t most = CELL_UNFINISHED_STAGES_MAX / spec->step_count + 1;

  if (spec->repetitions == 0)
    return 1;
  return spec->repetitions < most ? spec->repetitions : most;
}

/* The table of its tasks, and that of the rows of a split progress. */
static uint64_t
tables_bytes (const MuxStepSpec *step)
{
  uint64_t rows = cell_split_task_rows (step) + CELL_SPLIT_WORKER_ROWS;

  return step->count * sizeof (CellTask *) + rows * sizeof (CellProgressRow)
         + 2 * BLOCK_BYTES;
}

static uint64_t
stage_bytes (const MuxJobSpec *spec, const MuxStepSpec *step)
{
  uint64_t bytes = sizeof (CellStage) + sizeof (CellStage *) + BLOCK_BYTES
                   + tables_bytes (step);

  if (spec->queue.approval.required)
    bytes += APPROVALS * sizeof (CellApproval) + BLOCK_BYTES;
  return bytes;
}

uint64_t
cell_job_bytes (const MuxJobSpec *spec)
{
  size_t payload = spec->payload != NULL ? strlen (spec->payload) : 0;
  uint64_t bytes = sizeof (CellJob) + sizeof (MuxJobSpec) + sizeof (MuxBlob)
                   + 2 * payload + JOB_BLOCKS * BLOCK_BYTES;
  uint64_t occurrences = occurrences_at_once (spec);

  for (uint32_t i = 0; i < spec->step_count; i++)
    bytes += sizeof (MuxStepSpec)
             + (uint64_t) spec->step[i].named_count * MUX_NAME_LEN
             + occurrences * stage_bytes (spec, &spec->step[i]);
  return bytes;
}

static CellJobSender *
find_sender (const MuxCell *cell, const MuxJobSpec *spec)
{
  uint64_t key = sender_of (spec);
  CellJobSender *sender;

  HASH_FIND (hh, cell->job_memory.senders, &key, sizeof key, sender);
  return sender;
}

static CellJobSender *
find_or_add_sender (MuxCell *cell, const MuxJobSpec *spec)
{
  CellJobSender *sender = find_sender (cell, spec);

  if (sender != NULL)
    return sender;
  sender = calloc (1, sizeof *sender);
  if (sender == NULL)
    return NULL;
  sender->key = sender_of (spec);
  HASH_ADD (hh, cell->job_memory.senders, key, sizeof sender->key, sender);
  return sender;
}

uint64_t
cell_job_memory_charge (MuxCell *cell, const MuxJobSpec *spec)
{
  uint64_t bytes = cell_job_bytes (spec);
  CellJobSender *sender = find_or_add_sender (cell, spec);

  cell->job_memory.used_bytes += bytes;
  if (sender != NULL)
    sender->bytes += bytes;
  return bytes;
}

void
cell_job_memory_release (MuxCell *cell, const MuxJobSpec *spec, uint64_t bytes)
{
  CellJobSender *sender = find_sender (cell, spec);

  cell->job_memory.used_bytes -= bytes;
  if (sender == NULL)
    return;
  sender->bytes -= bytes < sender->bytes ? bytes : sender->bytes;
  if (sender->bytes > 0)
    return;
  HASH_DEL (cell->job_memory.senders, sender);
  free (sender);
}

/* Stages beyond those of the occurrences that may be unfinished: done ones
 * that begun before them is still not. */
static uint64_t
extra_stages (const CellJob *job)
{
  uint64_t counted = occurrences_at_once (job->spec) * job->spec->step_count;

  return job->stage_count > counted ? job->stage_count - counted : 0;
}

/* What is known of workers, beyond those counted in advance. */
static uint64_t
extra_workers_bytes (const CellStage *stage)
{
  uint64_t bytes = stage->approval_capacity * sizeof (CellApproval)
                   + (uint64_t) stage->recorded_count * MUX_NAME_LEN;
  uint64_t counted = APPROVALS * sizeof (CellApproval);

  return bytes > counted ? bytes - counted : 0;
}

void
cell_job_memory_update (MuxCell *cell, CellJob *job)
{
  uint64_t bytes = cell_job_bytes (job->spec)
                   + extra_stages (job) * (sizeof (CellStage) + BLOCK_BYTES);
  CellJobSender *sender = find_sender (cell, job->spec);

  for (uint32_t i = 0; i < job->stage_count; i++)
    bytes += extra_workers_bytes (job->stage[i]);
  if (bytes == job->bytes)
    return;
  cell->job_memory.used_bytes += bytes - job->bytes;
  if (sender != NULL)
    sender->bytes += bytes - job->bytes;
  job->bytes = bytes;
}

bool
cell_job_may_grow (const MuxCell *cell, const CellJob *job)
{
  uint64_t next = job->stage_count + job->spec->step_count;

  if (next <= occurrences_at_once (job->spec) * job->spec->step_count
      || cell->job_memory.used_bytes < cell_job_memory_own_limit (cell))
    return true;
  mux_count (cell->options.counters, MUX_COUNT_OCCURRENCES_HELD, 1);
  return false;
}

uint64_t
cell_job_memory_own_limit (const MuxCell *cell)
{
  return mux_job_room_limit (cell->options.memory_mib);
}

/* An instance whose memory is not known can plan as much as any other. */
static uint64_t
least_limit (const MuxCell *cell)
{
  uint64_t least = cell_job_memory_own_limit (cell);
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  if (member->limits.memory_mib != 0
      && cell->time.processed_ms - member->last_contact_ms < MEMBER_RECENT_MS
      && mux_job_room_limit (member->limits.memory_mib) < least)
    least = mux_job_room_limit (member->limits.memory_mib);
  return least;
}

static uint64_t
limit_bytes (const MuxCell *cell)
{
  uint64_t own = cell_job_memory_own_limit (cell);
  uint64_t limit = cell->job_memory.limit_bytes;

  return limit != 0 && limit < own ? limit : own;
}

uint64_t
cell_job_max_bytes (const MuxCell *cell)
{
  return mux_job_room_job_max (limit_bytes (cell));
}

/* With @tasks objects and @runs runs beside those that there are. */
static bool
runs_fit (const MuxCell *cell, uint32_t tasks, uint32_t runs)
{
  uint64_t task_bytes = sizeof (CellTask) + BLOCK_BYTES;
  uint64_t run_bytes = sizeof (CellBooking) + BLOCK_BYTES;

  return (cell->task_objects + tasks) * task_bytes
             + (cell->booking_count + runs) * run_bytes + cell->failure_bytes
         <= mux_job_room_runs_limit (limit_bytes (cell));
}

bool
cell_runs_exceed_memory (const MuxCell *cell)
{
  return !runs_fit (cell, 0, 0);
}

/* Tasks that have failed may hold all the memory until they are done, so that
 * some runs of these always start. */
bool
cell_runs_have_memory (const MuxCell *cell, uint32_t runs, uint32_t new_tasks)
{
  if (cell->starts_unanswered >= CELL_STARTS_UNANSWERED_MAX)
    return false;
  return runs_fit (cell, new_tasks, runs)
         || (new_tasks == 0
             && (cell->booking_count == 0
                 || cell->booking_count + runs <= RUNS_MIN));
}

/* A follower's own jobs are those that it is about to store, and the planner
 * does not know of all of them.  A daemon that takes over reads the jobs that
 * the planner had. */
static MuxJobRoom
room_for (const MuxCell *cell, const MuxJobSpec *spec)
{
  const CellJobMemory *memory = &cell->job_memory;
  const CellJobSender *sender = find_sender (cell, spec);
  MuxJobRoom room = { .limit_bytes = limit_bytes (cell),
                      .used_bytes = memory->used_bytes,
                      .sender_bytes = sender != NULL ? sender->bytes : 0 };

  if (cell->role == CELL_FOLLOWER)
    room.used_bytes += memory->planner_used_bytes;
  else if (cell->role == CELL_LOADING
           && memory->planner_used_bytes > room.used_bytes)
    room.used_bytes = memory->planner_used_bytes;
  if (memory->left_out)
    room.limit_bytes -= room.limit_bytes / LEFT_OUT_PART;
  return room;
}

uint32_t
cell_job_memory_retry_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  MuxJobRoom room = room_for (cell, spec);
  uint64_t missing = mux_job_room_missing (&room, cell_job_bytes (spec));

  return missing != 0
             ? mux_job_room_retry_ms (missing, cell->job_memory.release_rate,
                                      mux_hash_name (spec->id, 0))
             : 0;
}

static void
update_rate (CellJobMemory *memory, int64_t passed_ms)
{
  int64_t rate = (int64_t) (memory->released_bytes * MS_PER_S) / passed_ms;
  int64_t weight_ms = passed_ms < RATE_WINDOW_MS ? passed_ms : RATE_WINDOW_MS;
  int64_t mean = (int64_t) memory->release_rate;

  memory->release_rate
      = (uint64_t) (mean + (rate - mean) * weight_ms / RATE_WINDOW_MS);
  memory->released_bytes = 0;
}

/* Lists of workers grow by queries, of which each changes a few jobs. */
static void
update_jobs (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  if (cell->time.now_ms < cell->job_memory.next_update_ms)
    return;
  cell->job_memory.next_update_ms = cell->time.now_ms + UPDATE_INTERVAL_MS;
  HASH_ITER (hh, cell->jobs, job, next)
  cell_job_memory_update (cell, job);
}

void
cell_job_memory_tick (MuxCell *cell)
{
  CellJobMemory *memory = &cell->job_memory;
  int64_t passed_ms = cell->time.now_ms - memory->counted_ms;

  update_jobs (cell);
  if (passed_ms > 0 && memory->counted_ms != 0)
    update_rate (memory, passed_ms);
  memory->counted_ms = cell->time.now_ms;
  memory->limit_bytes = least_limit (cell);
  mux_gauge_set (cell->options.counters, MUX_GAUGE_JOB_MEMORY,
                 memory->used_bytes);
  mux_gauge_set (cell->options.counters, MUX_GAUGE_JOB_MEMORY_LIMIT,
                 memory->limit_bytes);
}

json_t *
cell_job_memory_json (const MuxCell *cell)
{
  const CellJobMemory *memory = &cell->job_memory;

  return json_pack (
      "{s:I, s:I, s:I, s:b}", "limit", (json_int_t) limit_bytes (cell), "used",
      (json_int_t) memory->used_bytes, "rate",
      (json_int_t) memory->release_rate, "left_out", (int) memory->left_out);
}

/* Return: 0 if it is missing or out of range. */
static uint64_t
read_number (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value > 0 && value <= RECEIVED_MAX ? (uint64_t) value : 0;
}

void
cell_job_memory_receive (MuxCell *cell, const json_t *json)
{
  CellJobMemory *memory = &cell->job_memory;

  if (cell->role != CELL_FOLLOWER)
    return;
  memory->limit_bytes = read_number (json, "limit");
  memory->planner_used_bytes = read_number (json, "used");
  memory->release_rate = read_number (json, "rate");
  memory->left_out = json_is_true (json_object_get (json, "left_out"));
  mux_gauge_set (cell->options.counters, MUX_GAUGE_JOB_MEMORY_LIMIT,
                 memory->limit_bytes);
}
