#include "task_steps.h"

/* Steps that find out what became of a start: SETTLING, FOLLOWING. */

/* Calls without an answer after which a caller is told "unknown". */
#define LOST_MAX 4

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

/* No answer again.  After some tries the callers hear "unknown" at once, and
 * the task is minded further without them. */
void
step_no_reply (MuxCore *core, Task *task, const TaskEvent *event)
{
  mux_count_retry (core->counters, event->reason);
  task->unanswered_calls++;
  if (task->unanswered_calls >= LOST_MAX && task->waiters != NULL)
    task_detach_callers (core, task, MUX_OUTCOME_UNKNOWN,
                         MUX_REASON_UNKNOWN_FATE, task_unknown_retry_ms (task));
  task_set_timer (core, task,
                  core_jitter (core, task->unanswered_calls < LOST_MAX
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
 * Failure: the worker restarted and has forgotten whether this attempt ran.
 * Its former life is over, so nothing of it runs any more: idempotent work
 * may be done again.  Other work may have run once already and must not
 * again; its fate stays unknown for good.
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
      /* Its home may be just about to start it: look once more. */
      task->absent_once = true;
      task_set_timer (core, task, core_jitter (core, ABSENT_RECHECK_MS));
      return;
    }
  task_call_forget (core, task);
  task_set_timer (core, task, WORKER_TIMEOUT_MS + RETRY_MS);
}
