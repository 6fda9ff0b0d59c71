#include "config.h"
#include "jobs_private.h"

#include <stdlib.h>
#include <string.h>

/* An ended task is written with the next placement, at the latest then. */
#define LAZY_WRITE_MS 2000

static bool
slot_final (const Slot *slot)
{
  return slot->state >= SLOT_DONE;
}

static void
mark (MuxCore *core, Job *job, uint32_t index, bool urgent)
{
  job->dirty[index / TASKS_PER_PART] = 1;
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
  if (job->final_count < job->header.task_count)
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
  job->final_count++;
  if (state == SLOT_DONE)
    job->header.done++;
  else
    job->header.failed++;
  mark (core, job, index, false);
  look_ended (core, job);
}

/*
 * Failure: memory is out when a task is made.  Counted as minded it would be
 * given to nobody again, and the job would never end.  It stays with the ones
 * not given yet, which are looked at each second.
 */
static void
give_later (Job *job, uint32_t index)
{
  Slot *slot = &job->slots[index];

  slot->has_task = false;
  job->active_count--;
  job->unplaced_count -= slot->state == SLOT_NEW;
  if (index < job->next_new)
    job->next_new = index;
}

/* False: memory is out. */
static bool
give_task (MuxCore *core, Job *job, uint32_t index, const MuxClassSpec *spec)
{
  Slot *slot = &job->slots[index];
  bool gang = spec->kind == MUX_KIND_GANG && job_none_placed (job);
  TaskOptions options = { .key = mux_id_of_part (job->id, index),
                          .spec = spec,
                          .body = job->body,
                          .expires_ms = INT64_MAX,
                          .job = job->id,
                          .job_index = index,
                          .in_gang = gang,
                          .attempt = slot->attempt == 0 ? 1 : slot->attempt };
  Intent at = { .attempt = options.attempt,
                .incarnation = slot->incarnation,
                .not_after_ms = slot->not_after_ms };
  bool given;

  slot->has_task = true;
  job->active_count++;
  memcpy (at.worker, slot->worker, sizeof at.worker);
  memcpy (at.addr, slot->addr, sizeof at.addr);
  if (slot->state != SLOT_NEW)
    {
      given = task_resume (core, &options, &at);
    }
  else
    {
      job->unplaced_count++;
      given = task_begin (core, &options);
    }
  if (!given)
    give_later (job, index);
  return given;
}

void
job_activate_tasks (MuxCore *core, Job *job)
{
  const MuxClassSpec *spec = config_class (core, job->header.class_name);
  uint32_t room;

  if (spec == NULL || !job->loaded || job->ended || job->dropped
      || core->stopping)
    return;
  /* Tasks that run need no window. */
  room = job->unplaced_count < WINDOW_TASKS ? WINDOW_TASKS - job->unplaced_count
                                            : 0;
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
      if (slot_final (slot) || slot->has_task
          || (job->header.cancel_requested && slot->state != SLOT_PLACED))
        continue;
      if (slot->state == SLOT_NEW)
        room--;
      if (!give_task (core, job, index, spec))
        return;
    }
  if (spec->kind == MUX_KIND_GANG && job->unplaced_count > 0)
    job_gang_begin (core, job);
}

void
job_cancel (MuxCore *core, Job *job)
{
  TaskEvent event = { .kind = TASK_EV_CANCEL, .reason = MUX_REASON_CANCELLED };

  job->header.cancel_requested = true;
  /* Slots that were not read yet look new; adoption comes back to this. */
  if (!job->loaded)
    return;
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
jobs_record_placement (MuxCore *core, Task *task)
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
    job->unplaced_count--;
  slot->state = SLOT_PLACED;
  slot->attempt = task->attempt;
  slot->incarnation = task->placement.incarnation;
  slot->not_after_ms = task->placement.not_after_ms;
  memcpy (slot->worker, task->placement.worker, sizeof slot->worker);
  memcpy (slot->addr, task->placement.addr, sizeof slot->addr);
  if (job->pending_count < job->header.task_count)
    job->pending_keys[job->pending_count++] = task->key;
  mark (core, job, task->job_index, true);
  job_activate_tasks (core, job);
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
    job->unplaced_count--;
  job->slots[task->job_index].has_task = false;
  job->active_count--;
  slot_end (core, job, task->job_index, slot_of (task, outcome, reason));
}
