#include "task_steps.h"

#include "commit.h"
#include "jobs.h"
#include "member.h"

#include <stdio.h>
#include <string.h>

/* Steps of a task that looks for room: WAITING, ASKING, HOLDING. */

/* Longest pause before a refused ask is made again. */
#define ASK_PAUSE_MAX_MS 5000

void
task_pause_then_ask (MuxCore *core, Task *task, int64_t pause_ms)
{
  task->state = TASK_WAITING;
  task_wake (core, task, core_jitter (core, pause_ms));
}

void
task_ask_fresh (MuxCore *core, Task *task)
{
  task->state = TASK_ASKING;
  task->asks = 0;
  memset (task->tried, 0, sizeof task->tried);
  task_ask (core, task);
}

void
step_ask (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_ask_fresh (core, task);
}

void
step_ask_repeat (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  /* Who was asked may be dead and not known to be, or long busy. */
  if (task_room_elsewhere (core, task))
    {
      task_ask_cancel (core, task);
      task_ask_fresh (core, task);
      return;
    }
  task_ask_repeat (core, task);
}

void
step_granted (MuxCore *core, Task *task, const TaskEvent *event)
{
  const MuxPeerMsg *msg = event->msg;

  task->granted = true;
  task->at = (Intent){ .attempt = task->attempt,
                       .grant = ++core->next_grant,
                       .incarnation = msg->incarnation,
                       .home_incarnation = core->opt.incarnation,
                       .not_after_ms = msg->not_after_ms,
                       .at_ms = core->wall_ms };
  mux_name_copy (task->at.worker, msg->worker);
  mux_name_copy (task->at.home, core->name);
  snprintf (task->at.addr, sizeof task->at.addr, "%s", msg->worker_addr);
  task->epoch = msg->epoch;
  task->size = msg->size;
  if (task->minting)
    {
      ticket_granted (core, task, msg);
      return;
    }
  if (task->in_gang)
    {
      task->state = TASK_HOLDING;
      jobs_gang_held (core, task);
      return;
    }
  if (task->has_job)
    {
      task_record (core, task);
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
task_give_back (MuxCore *core, Task *task)
{
  if (task->granted)
    task_grant_end (core, task, MUX_TASK_ABSENT, 0);
  else
    task_ask_cancel (core, task);
}

void
task_gang_wait (MuxCore *core, Task *task)
{
  task_give_back (core, task);
  task->owner[0] = 0;
  task->state = TASK_WAITING;
  task->wake_ms = 0;
  /* A new number: a late grant of the last round can't be taken for one of
   * the next. */
  task_attempt_set (core, task, task->attempt + 1);
}

void
task_record (MuxCore *core, Task *task)
{
  task->in_gang = false;
  task->state = TASK_RECORDING;
  jobs_record (core, task);
}

/* Whether asking again later can't help the one who waits now. */
static bool
refusal_final (MuxCore *core, const Task *task, MuxReason reason)
{
  switch (reason)
    {
    case MUX_REASON_NEVER_FITS:
      /* It speaks of one owner's workers; a job was accepted and waits. */
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

  /* Advice for callers may be minutes; a job must not sleep through room. */
  if (pause_ms > ASK_PAUSE_MAX_MS)
    pause_ms = ASK_PAUSE_MAX_MS;
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
      jobs_gang_refused (core, task, event->reason);
      return;
    }
  if (task->owner[0] != 0)
    {
      task_refused_by (task, task->owner);
      if (!task_asked_all (core, task))
        {
          task_ask (core, task);
          return;
        }
    }
  /* A stopping daemon with nobody left to ask gives up, and says so at once
   * rather than at the caller's own time limit. */
  if (core->stopping && task->owner[0] == 0 && !task->has_job)
    task_finish_not_run (core, task, MUX_REASON_STOPPING, RETRY_MS * 10);
  else if (refusal_final (core, task, event->reason))
    task_finish_not_run (core, task, event->reason, event->retry_ms);
  else
    task_pause_then_ask (core, task, pause_ms);
}
