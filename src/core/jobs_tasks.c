#include "config.h"
#include "jobs_private.h"

#include <stdlib.h>
#include <string.h>

/* The tasks of a job: made for its slots, recorded as placed and as ended. */

/* Longest delay of the write of an ended task, which goes along with the next
 * placement if there is one before. */
#define LAZY_WRITE_MS 2000

static bool
slot_is_final (const Slot *slot)
{
  return slot->state >= SLOT_DONE;
}

static void
mark_dirty (MuxCore *core, Job *job, uint32_t index, bool urgent)
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
check_ended (MuxCore *core, Job *job)
{
  if (job->final_count < job->header.task_count)
    return;
  job->ended = true;
  job->dirty_any = true;
  job->urgent = true;
  job->write_ms = core->now_ms;
}

static void
end_slot (MuxCore *core, Job *job, uint32_t index, SlotState state)
{
  Slot *slot = &job->slots[index];

  if (slot_is_final (slot))
    return;
  slot->state = state;
  job->final_count++;
  if (state == SLOT_DONE)
    job->header.done++;
  else
    job->header.failed++;
  mark_dirty (core, job, index, false);
  check_ended (core, job);
}

/*
 * Out of memory when the Task is made.  If the slot counted as handled, no Task
 * would be made for it again, and the job would never end.  It goes back to the
 * slots without one, which are retried each second.
 */
static void
defer_task (Job *job, uint32_t index)
{
  Slot *slot = &job->slots[index];

  slot->has_task = false;
  job->active_count--;
  job->unplaced_count -= slot->state == SLOT_NEW;
  if (index < job->next_new)
    job->next_new = index;
}

/* Return: false: out of memory. */
static bool
make_task (MuxCore *core, Job *job, uint32_t index, const MuxClassSpec *spec)
{
  Slot *slot = &job->slots[index];
  bool gang = spec->kind == MUX_KIND_GANG && job_none_placed (job);
  TaskOptions options = { .key = mux_id_derive (job->id, index),
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
  bool created;

  slot->has_task = true;
  job->active_count++;
  memcpy (at.worker, slot->worker, sizeof at.worker);
  memcpy (at.addr, slot->addr, sizeof at.addr);
  if (slot->state != SLOT_NEW)
    {
      created = task_resume (core, &options, &at);
    }
  else
    {
      job->unplaced_count++;
      created = task_begin (core, &options);
    }
  if (!created)
    defer_task (job, index);
  return created;
}

void
job_activate_tasks (MuxCore *core, Job *job)
{
  const MuxClassSpec *spec = config_class (core, job->header.class_name);
  uint32_t allowed;

  if (spec == NULL || !job->loaded || job->ended || job->dropped
      || core->stopping)
    return;
  /* The limit does not apply to tasks that are placed. */
  allowed = job->unplaced_count < UNPLACED_TASKS_MAX
                ? UNPLACED_TASKS_MAX - job->unplaced_count
                : 0;
  if (spec->kind == MUX_KIND_GANG)
    allowed = job->header.task_count;
  /* Room still booked from before is granted at once, which calls this function
   * again, so the index moves on before the Task is made. */
  while (job->next_new < job->header.task_count && allowed > 0)
    {
      uint32_t index = job->next_new++;
      const Slot *slot = &job->slots[index];

      /* Of a cancelled job only tasks that may run are handled: they have to be
       * found before they can be stopped. */
      if (slot_is_final (slot) || slot->has_task
          || (job->header.cancel_requested && slot->state != SLOT_PLACED))
        continue;
      if (slot->state == SLOT_NEW)
        allowed--;
      if (!make_task (core, job, index, spec))
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
  /* Slots that were not read yet look new; this is called again after adoption.
   */
  if (!job->loaded)
    return;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      Task *task = task_find (core, mux_id_derive (job->id, i));

      if (task != NULL)
        task_event (core, task, &event);
      else if (job->slots[i].state == SLOT_NEW)
        end_slot (core, job, i, SLOT_CANCELLED);
    }
  check_ended (core, job);
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
      Task *task = task_find (core, mux_id_derive (job->id, i));

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
  mark_dirty (core, job, task->job_index, true);
  job_activate_tasks (core, job);
}

static SlotState
final_slot_state (const Task *task, MuxOutcome outcome, MuxReason reason)
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
  end_slot (core, job, task->job_index,
            final_slot_state (task, outcome, reason));
}
