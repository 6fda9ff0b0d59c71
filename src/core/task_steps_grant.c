#include "task_steps.h"

#include "commit.h"
#include "jobs.h"
#include "member.h"

#include <stdio.h>
#include <string.h>

/* Steps of a task that requests room: WAITING, REQUESTING, HOLDING. */

/* Longest pause before room is requested again.  Owners' advice to callers may
 * be minutes; a job's task must not miss room for so long. */
#define REQUEST_PAUSE_MAX_MS 5000

void
task_request_room_later (MuxCore *core, Task *task, int64_t pause_ms)
{
  task->state = TASK_WAITING;
  task_set_timer (core, task, core_jitter (core, pause_ms));
}

void
task_request_room_again (MuxCore *core, Task *task)
{
  task->state = TASK_REQUESTING;
  task->owners_tried = 0;
  memset (task->refused_by, 0, sizeof task->refused_by);
  task_request_room (core, task);
}

void
step_request_room (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_request_room_again (core, task);
}

void
step_repeat_request (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  /* The owner may be dead without being known to be, or busy for long. */
  if (task_room_elsewhere (core, task))
    {
      task_cancel_request (core, task);
      task_request_room_again (core, task);
      return;
    }
  task_repeat_request (core, task);
}

void
step_granted (MuxCore *core, Task *task, const TaskEvent *event)
{
  const MuxPeerMsg *msg = event->msg;

  task->granted = true;
  task->placement = (Intent){ .attempt = task->attempt,
                              .grant_number = ++core->next_grant,
                              .incarnation = msg->incarnation,
                              .home_incarnation = core->opt.incarnation,
                              .not_after_ms = msg->not_after_ms,
                              .at_ms = core->wall_ms };
  mux_name_copy (task->placement.worker, msg->worker);
  mux_name_copy (task->placement.home, core->name);
  snprintf (task->placement.addr, sizeof task->placement.addr, "%s",
            msg->worker_addr);
  task->epoch = msg->epoch;
  task->size = msg->size;
  if (task->for_ticket)
    {
      ticket_granted (core, task, msg);
      return;
    }
  if (task->in_gang)
    {
      task->state = TASK_HOLDING;
      jobs_gang_task_granted (core, task);
      return;
    }
  if (task->has_job)
    {
      task_record_placement (core, task);
      return;
    }
  if (!task->keyed || (task->idempotent && commit_store_down (core)))
    {
      task_start_now (core, task);
      return;
    }
  task_write_row (core, task);
}

void
task_release_room (MuxCore *core, Task *task)
{
  if (task->granted)
    task_end_grant (core, task, MUX_TASK_ABSENT, 0);
  else
    task_cancel_request (core, task);
}

void
task_gang_release (MuxCore *core, Task *task)
{
  task_release_room (core, task);
  task->owner[0] = 0;
  task->state = TASK_WAITING;
  task->timer_ms = 0;
  /* The new attempt number keeps a late grant of this round from being taken
   * for one of the next. */
  task_set_attempt (core, task, task->attempt + 1);
}

void
task_record_placement (MuxCore *core, Task *task)
{
  task->in_gang = false;
  task->state = TASK_RECORDING;
  jobs_record_placement (core, task);
}

/* Whether requesting again later can't help the caller that waits now. */
static bool
refusal_is_final (MuxCore *core, const Task *task, MuxReason reason)
{
  switch (reason)
    {
    case MUX_REASON_NEVER_FITS:
      /* Says something of one owner's workers only.  A job was accepted, so it
       * waits. */
      return !task->has_job && !members_could_hold (core, task->size);
    case MUX_REASON_KIND_MISMATCH:
      return true;
    case MUX_REASON_QUEUE_FULL:
    case MUX_REASON_DEADLINE:
    case MUX_REASON_QUOTA:
    case MUX_REASON_OVERLOAD:
      return !task->has_job;
    default:
      return false;
    }
}

void
step_refused (MuxCore *core, Task *task, const TaskEvent *event)
{
  int64_t pause_ms = event->retry_ms > RETRY_MS ? event->retry_ms : RETRY_MS;

  if (pause_ms > REQUEST_PAUSE_MAX_MS)
    pause_ms = REQUEST_PAUSE_MAX_MS;
  if (event->reason != MUX_REASON_NO_WORKERS || task->owner[0] != 0)
    mux_count_retry (core->counters, event->reason);
  task->last_reason = event->reason;
  task->last_retry_ms = event->retry_ms;
  if (event->reason == MUX_REASON_KEY_IN_USE && task->keyed)
    {
      task->state = TASK_READING;
      commit_read (core, task);
      return;
    }
  if (task->in_gang)
    {
      jobs_gang_task_refused (core, task, event->reason);
      return;
    }
  if (task->owner[0] != 0)
    {
      task_mark_owner_refused (task, task->owner);
      if (!task_owners_exhausted (core, task))
        {
          task_request_room (core, task);
          return;
        }
    }
  /* A stopping daemon with no owner left to try answers at once rather than at
   * the caller's time limit. */
  if (core->stopping && task->owner[0] == 0 && !task->has_job)
    task_finish_not_run (core, task, MUX_REASON_STOPPING, RETRY_MS * 10);
  else if (refusal_is_final (core, task, event->reason))
    task_finish_not_run (core, task, event->reason, event->retry_ms);
  else
    task_request_room_later (core, task, pause_ms);
}
