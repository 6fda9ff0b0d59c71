#include "call.h"
#include "config.h"
#include "jobs_private.h"

#include <stdlib.h>
#include <string.h>

/* An ended task is written with the next placement, at the latest then. */
#define LAZY_WRITE_MS 2000
/* Pause after the store did not take a write. */
#define STORE_PAUSE_MS 1000

static bool
slot_final (const Slot *slot)
{
  return slot->state >= SLOT_DONE;
}

static void
mark (MuxCore *core, Job *job, uint32_t index, bool urgent)
{
  job->dirty[index / PART_TASKS] = 1;
  if (urgent)
    {
      job->urgent = true;
      job->write_ms = core->now_ms;
    }
  else if (!job->dirty_any)
    job->write_ms = core->now_ms + LAZY_WRITE_MS;
  job->dirty_any = true;
}

static void
look_ended (MuxCore *core, Job *job)
{
  if (job->final < job->header.task_count)
    return;
  job->ended = true;
  job->dirty_any = true;
  job->urgent = true;
  job->write_ms = core->now_ms;
}

static void
slot_end (MuxCore *core, Job *job, uint32_t index, SlotState state)
{
  Slot *slot = &job->slots[index];

  if (slot_final (slot))
    return;
  slot->state = state;
  job->final++;
  if (state == SLOT_DONE)
    job->header.done++;
  else
    job->header.failed++;
  mark (core, job, index, false);
  look_ended (core, job);
}

static void
give_task (MuxCore *core, Job *job, uint32_t index, const MuxClassSpec *spec)
{
  Slot *slot = &job->slots[index];
  bool gang = spec->kind == MUX_KIND_GANG && job_none_placed (job);
  TaskOptions options = { .key = mux_id_of_part (job->id, index),
                          .spec = spec,
                          .body = job->body,
                          .give_up_ms = INT64_MAX,
                          .job = job->id,
                          .job_index = index,
                          .in_gang = gang,
                          .attempt = slot->attempt == 0 ? 1 : slot->attempt };
  Intent at = { .attempt = options.attempt,
                .incarnation = slot->incarnation,
                .not_after_ms = slot->not_after_ms };

  slot->active = true;
  job->active++;
  if (slot->state == SLOT_NEW)
    {
      job->asking++;
      task_new (core, &options);
      return;
    }
  memcpy (at.worker, slot->worker, sizeof at.worker);
  memcpy (at.addr, slot->addr, sizeof at.addr);
  task_resume (core, &options, &at);
}

void
job_carry (MuxCore *core, Job *job)
{
  const MuxClassSpec *spec = config_class (core, job->header.class_name);
  uint32_t room;

  if (spec == NULL || job->ended || job->dropped || core->stopping)
    return;
  /* Tasks that run need no window. */
  room = job->asking < WINDOW_TASKS ? WINDOW_TASKS - job->asking : 0;
  if (spec->kind == MUX_KIND_GANG)
    room = job->header.task_count;
  /* Room that is still booked from before is granted at once, and that calls
   * this again, so the number moves on before the task is given. */
  while (job->next_new < job->header.task_count && room > 0)
    {
      uint32_t index = job->next_new++;
      const Slot *slot = &job->slots[index];

      /* Of a cancelled job only what may run is looked after: it has to be
       * found before it can be stopped. */
      if (slot_final (slot) || slot->active
          || (job->header.cancel && slot->state != SLOT_PLACED))
        continue;
      if (slot->state == SLOT_NEW)
        room--;
      give_task (core, job, index, spec);
    }
  if (spec->kind == MUX_KIND_GANG && job->asking > 0)
    job_gang_begin (core, job);
}

void
job_cancel (MuxCore *core, Job *job)
{
  TaskEvent event = { .kind = TASK_EV_CANCEL, .reason = MUX_REASON_CANCELLED };

  job->header.cancel = true;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      Task *task = task_find (core, mux_id_of_part (job->id, i));

      if (task != NULL)
        task_event (core, task, &event);
      else if (job->slots[i].state == SLOT_NEW)
        slot_end (core, job, i, SLOT_CANCELLED);
    }
  look_ended (core, job);
}

void
job_drop (MuxCore *core, Job *job)
{
  core_log (core, 5, "job_dropped", "class=%s home=%s", job->header.class_name,
            job->header.home);
  mux_count_retry (core->counters, MUX_REASON_FENCED_ROW);
  job->dropped = true;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      Task *task = task_find (core, mux_id_of_part (job->id, i));

      if (task != NULL && task->has_job)
        task_drop (core, task);
    }
  job_free (core, job);
}

void
jobs_record (MuxCore *core, Task *task)
{
  Job *job = job_find (core, task->job);
  Slot *slot;

  if (job == NULL)
    {
      task_drop (core, task);
      return;
    }
  slot = &job->slots[task->job_index];
  if (slot->state == SLOT_NEW)
    job->asking--;
  slot->state = SLOT_PLACED;
  slot->attempt = task->attempt;
  slot->incarnation = task->at.incarnation;
  slot->not_after_ms = task->at.not_after_ms;
  memcpy (slot->worker, task->at.worker, sizeof slot->worker);
  memcpy (slot->addr, task->at.addr, sizeof slot->addr);
  if (job->pending_count < job->header.task_count)
    job->pending[job->pending_count++] = task->key;
  mark (core, job, task->job_index, true);
  job_carry (core, job);
}

static SlotState
slot_of (const Task *task, MuxOutcome outcome, MuxReason reason)
{
  if (outcome == MUX_OUTCOME_DONE)
    return SLOT_DONE;
  if (outcome == MUX_OUTCOME_UNKNOWN)
    return SLOT_UNKNOWN;
  if (task->cancelled || reason == MUX_REASON_CANCELLED)
    return SLOT_CANCELLED;
  return SLOT_FAILED;
}

void
jobs_task_ended (MuxCore *core,
                 const Task *task,
                 MuxOutcome outcome,
                 MuxReason reason,
                 MuxTaskState state,
                 const MuxBlob *result)
{
  Job *job = job_find (core, task->job);

  (void) state;
  (void) result;
  if (job == NULL)
    return;
  if (job->slots[task->job_index].state == SLOT_NEW)
    job->asking--;
  job->slots[task->job_index].active = false;
  job->active--;
  slot_end (core, job, task->job_index, slot_of (task, outcome, reason));
}

/* Tasks whose placement was in the write: tell each what became of it. */
static void
tell_written (MuxCore *core, Job *job, TaskEventKind kind)
{
  uint32_t count = job->written_count;
  MuxId id = job->id;
  MuxId *keys = malloc ((count + 1) * sizeof *keys);
  TaskEvent event = { .kind = kind };

  job->written_count = 0;
  if (keys == NULL)
    return;
  memcpy (keys, job->written, count * sizeof *keys);
  for (uint32_t i = 0; i < count && job_find (core, id) == job; i++)
    {
      Task *task = task_find (core, keys[i]);

      if (task != NULL && task->state == TASK_RECORDING)
        task_event (core, task, &event);
    }
  free (keys);
}

/* The write did not happen, or that can't be told: the same is due again, and
 * the tasks go on waiting for it. */
static void
write_again (MuxCore *core, Job *job, int64_t pause_ms)
{
  for (uint32_t i = 0;
       i < job->written_count && job->pending_count < job->header.task_count;
       i++)
    job->pending[job->pending_count++] = job->written[i];
  job->written_count = 0;
  memset (job->dirty, 1, job_parts (&job->header));
  job->dirty_any = true;
  job->write_ms = core->now_ms + core_jitter (core, pause_ms);
}

static void
write_done (MuxCore *core, MuxId id, uint64_t last, const MuxTableReply *reply)
{
  Job *job = job_find (core, id);

  if (job == NULL)
    return;
  job->writing = false;
  switch (reply->status)
    {
    case MUX_TABLE_OK:
      if (last)
        {
          job_ended (core, job);
          return;
        }
      job->urgent = job->pending_count > 0;
      tell_written (core, job, TASK_EV_ROW_WRITTEN);
      break;
    case MUX_TABLE_CONFLICT:
      write_again (core, job, 0);
      job_reread (core, job);
      break;
    case MUX_TABLE_UNKNOWN:
      /* Every row is put without a condition but the header's, which this
       * write leaves alone: doing it again is the same as once. */
      mux_count_retry (core->counters, MUX_REASON_WRITE_UNKNOWN);
      write_again (core, job, RETRY_MS);
      if (last)
        job_reread (core, job);
      break;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD:
      mux_count_retry (core->counters, MUX_REASON_STORE_DOWN);
      write_again (core, job, STORE_PAUSE_MS);
      break;
    }
}

static uint32_t
dirty_parts (const Job *job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < job_parts (&job->header); i++)
    count += job->dirty[i];
  return count < MUX_ROWS_MAX - 1 ? count : MUX_ROWS_MAX - 1;
}

static bool
fill_parts (Job *job, MuxTableCall *call)
{
  uint32_t row = 1;

  job_row_key ("open", job->id, call->rows[0].key);
  call->rows[0].rev = job->rev;
  call->rows[0].check_only = true;
  for (uint32_t i = 0; i < job_parts (&job->header); i++)
    {
      if (!job->dirty[i] || row == call->row_count)
        continue;
      job_part_key (job->id, i, call->rows[row].key);
      call->rows[row].rev = MUX_REV_ANY;
      call->rows[row].value = job_part_to_blob (job, i);
      if (call->rows[row++].value == NULL)
        return false;
      job->dirty[i] = 0;
    }
  return true;
}

static MuxTableCall *
parts_call (Job *job)
{
  MuxTableCall *call
      = mux_table_call_new (MUX_TABLE_TXN, 1 + dirty_parts (job));

  if (call == NULL || fill_parts (job, call))
    return call;
  mux_table_call_free (call);
  return NULL;
}

/* The last write moves the job from the open ones to the ended ones. */
static MuxTableCall *
end_call (Job *job)
{
  uint32_t parts = job_parts (&job->header);
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, 2 + parts);

  if (call == NULL)
    return NULL;
  job->header.state = job->header.cancel       ? JOB_CANCELLED
                      : job->header.failed > 0 ? JOB_FAILED
                                               : JOB_DONE;
  job_row_key ("open", job->id, call->rows[0].key);
  call->rows[0].rev = job->rev;
  job_row_key ("done", job->id, call->rows[1].key);
  call->rows[1].rev = MUX_REV_ANY;
  call->rows[1].value = job_header_to_blob (&job->header);
  for (uint32_t i = 0; i < parts; i++)
    {
      job_part_key (job->id, i, call->rows[2 + i].key);
      call->rows[2 + i].rev = MUX_REV_ANY;
    }
  if (call->rows[1].value != NULL)
    return call;
  mux_table_call_free (call);
  return NULL;
}

void
job_write (MuxCore *core, Job *job)
{
  MuxTableCall *call;
  bool last = job->ended;

  if (job->writing || job->reading || core->now_ms < job->write_ms
      || core->now_ms < core->jobs->next_write_ms)
    return;
  call = last ? end_call (job) : parts_call (job);
  memcpy (job->written, job->pending,
          job->pending_count * sizeof *job->written);
  job->written_count = job->pending_count;
  job->pending_count = 0;
  job->dirty_any = false;
  for (uint32_t i = 0; !last && i < job_parts (&job->header); i++)
    job->dirty_any = job->dirty_any || job->dirty[i];
  if (call != NULL && call_table (core, call, write_done, job->id, last))
    {
      job->writing = true;
      core->jobs->next_write_ms
          = core->now_ms + 1000 / (int64_t) core->opt.writes_per_s;
      return;
    }
  write_again (core, job, RETRY_MS);
}

void
job_ended (MuxCore *core, Job *job)
{
  core_log (core, 6, "job_ended", "class=%s state=%s done=%u failed=%u",
            job->header.class_name, job_state_name (job->header.state),
            job->header.done, job->header.failed);
  mux_count (core->counters, MUX_COUNT_JOBS_DONE, 1);
  job_waits_tell (core, &job->header);
  job_free (core, job);
}

static void
reread_done (MuxCore *core, MuxId id, uint64_t aux, const MuxTableReply *reply)
{
  Job *job = job_find (core, id);
  JobHeader header;

  (void) aux;
  if (job == NULL)
    return;
  job->reading = false;
  if (reply->status != MUX_TABLE_OK || reply->row_count < 2)
    {
      job->write_ms = core->now_ms + core_jitter (core, RETRY_MS);
      job_reread (core, job);
      return;
    }
  if (job_header_from_blob (reply->rows[1].value, &header))
    {
      /* Our own last write whose answer was lost, or another home's. */
      job->header = header;
      job_ended (core, job);
      return;
    }
  if (!job_header_from_blob (reply->rows[0].value, &header)
      || strcmp (header.home, core->name) != 0
      || header.home_incarnation != core->opt.incarnation)
    {
      job_drop (core, job);
      return;
    }
  job->rev = reply->rows[0].rev;
  if (header.cancel && !job->header.cancel)
    job_cancel (core, job);
}

void
job_reread (MuxCore *core, Job *job)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 2);

  if (call == NULL || job->reading)
    {
      mux_table_call_free (call);
      return;
    }
  job_row_key ("open", job->id, call->rows[0].key);
  job_row_key ("done", job->id, call->rows[1].key);
  job->reading = call_table (core, call, reread_done, job->id, 0);
}
