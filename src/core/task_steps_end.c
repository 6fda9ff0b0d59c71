#include "task_steps.h"

#include "retry_budget.h"

/* Ends of attempts and tasks, and the answers to their callers. */

/* Most doublings of the pause between attempts. */
#define BACKOFF_DOUBLINGS 5

void
task_finish_unknown (MuxCore *core, Task *task, MuxReason reason)
{
  task_finish (core, task, MUX_OUTCOME_UNKNOWN, reason,
               task_unknown_retry_ms (task), MUX_TASK_ABSENT, NULL);
}

void
task_next_attempt (MuxCore *core, Task *task, MuxReason reason)
{
  uint32_t doublings = task->retries;

  mux_count_retry (core->counters, reason);
  task->last_reason = reason;
  task->last_retry_ms = RETRY_MS;
  task->granted = false;
  task->fetch_in_flight = false;
  task->absent_once = false;
  task->unanswered_calls = 0;
  task->in_gang = false;
  task->group = (MuxId){ 0, 0 };
  task->group_count = 0;
  if (task->waiters == NULL && !task->has_job)
    {
      task_free (core, task);
      return;
    }
  if (task->cancelled)
    {
      task_finish_not_run (core, task, MUX_REASON_CANCELLED, 0);
      return;
    }
  /* If the ticket were also brought to another daemon, a further attempt would
   * be a second run.  The caller gets a new ticket instead. */
  if (task->ticketed)
    {
      task_finish_not_run (core, task, reason, 0);
      return;
    }
  task_set_attempt (core, task, task->attempt + 1);
  task->retries++;
  if (!retry_budget_spend (core, task->class_name) && !task->has_job)
    {
      task_finish_not_run (core, task, MUX_REASON_RETRY_BUDGET, RETRY_MS * 10);
      return;
    }
  if (doublings == 0)
    {
      task_request_room_again (core, task);
      return;
    }
  if (doublings > BACKOFF_DOUBLINGS)
    doublings = BACKOFF_DOUBLINGS;
  task_request_room_later (core, task, (int64_t) RETRY_MS << (doublings - 1));
}

void
step_expired_before_start (MuxCore *core, Task *task, const TaskEvent *event)
{
  MuxReason reason = task->last_reason;

  (void) event;
  task_release_room (core, task);
  if (reason == MUX_REASON_NONE)
    reason = MUX_REASON_DEADLINE;
  task_finish_not_run (core, task, reason, task->last_retry_ms);
}

void
step_expired_after_start (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  if (task->waiters == NULL)
    {
      task_free (core, task);
      return;
    }
  task_detach_callers (core, task, MUX_OUTCOME_UNKNOWN, MUX_REASON_UNKNOWN_FATE,
                       task_unknown_retry_ms (task));
}

void
step_cancel_before_start (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_release_room (core, task);
  task_finish_not_run (core, task, MUX_REASON_CANCELLED, 0);
}

void
step_cancel_after_start (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task->cancelled = true;
  task_resolve (core, task);
}

void
step_cancel_running (MuxCore *core, Task *task, const TaskEvent *event)
{
  task->cancelled = true;
  step_running (core, task, event);
}
