#include "task_steps.h"

/* Steps that find out the outcome of a start: RESOLVING, FOLLOWING. */

/* Consecutive calls without a reply after which callers are answered "unknown".
 */
#define UNANSWERED_MAX 4

void
task_resolve (MuxCore *core, Task *task)
{
  task->state = TASK_RESOLVING;
  task_call_forget (core, task);
  task_set_timer (core, task, WORKER_TIMEOUT_MS + RETRY_MS);
}

void
step_start_no_reply (MuxCore *core, Task *task, const TaskEvent *event)
{
  mux_count_retry (core->counters, event->reason);
  task_resolve (core, task);
}

void
step_resolve_again (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_resolve (core, task);
}

/* After UNANSWERED_MAX calls without a reply the callers are answered
 * "unknown", and the task is handled further without them. */
void
step_no_reply (MuxCore *core, Task *task, const TaskEvent *event)
{
  mux_count_retry (core->counters, event->reason);
  task->unanswered_calls++;
  if (task->unanswered_calls >= UNANSWERED_MAX && task->waiters != NULL)
    task_detach_callers (core, task, MUX_OUTCOME_UNKNOWN,
                         MUX_REASON_UNKNOWN_FATE, task_unknown_retry_ms (task));
  task_set_timer (core, task,
                  core_jitter (core, task->unanswered_calls < UNANSWERED_MAX
                                         ? RETRY_MS * 2
                                         : UNKNOWN_RETRY_MS));
}

void
step_tombstoned (MuxCore *core, Task *task, const TaskEvent *event)
{
  mux_count (core->counters, MUX_COUNT_SETTLED_NEVER, 1);
  task_end_grant (core, task, MUX_TASK_FORGOTTEN, 0);
  task_next_attempt (core, task, event->reason);
}

void
step_resolved_ended (MuxCore *core, Task *task, const TaskEvent *event)
{
  mux_count (core->counters, MUX_COUNT_SETTLED_RAN, 1);
  step_ended (core, task, event);
}

/*
 * The worker no longer knows whether this attempt ran, as after a restart.  Its
 * previous incarnation has ended, so nothing of it still runs and idempotent
 * work may be started again.  Other work may have run once and must not run
 * again; its outcome stays unknown permanently.
 */
void
step_worker_state_lost (MuxCore *core, Task *task, const TaskEvent *event)
{
  task_end_grant (core, task, MUX_TASK_ABSENT, 0);
  task->may_have_run = true;
  if (task->idempotent && !task->ticketed
      && (task->has_job || task->waiters != NULL))
    task_next_attempt (core, task, event->reason);
  else
    task_finish_unknown (core, task, MUX_REASON_UNKNOWN_FATE);
}

void
step_absent (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  if (!task->absent_once)
    {
      /* Its home may be about to start it: check once more. */
      task->absent_once = true;
      task_set_timer (core, task, core_jitter (core, ABSENT_RECHECK_MS));
      return;
    }
  task_call_forget (core, task);
  task_set_timer (core, task, WORKER_TIMEOUT_MS + RETRY_MS);
}
