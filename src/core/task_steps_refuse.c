#include "task_steps.h"

#include "commit.h"

/* Steps of a task that is about to be told "not run": REFUSING. */

/* How long a refusal waits for the key's row to be read. */
#define ROW_MS 250

static MuxOutcome
outcome_of (const Task *task)
{
  return task->may_have_run ? MUX_OUTCOME_FAILED : MUX_OUTCOME_NOT_RUN;
}

/*
 * Failure: the answer to a key's first submission is lost, and the second is
 * refused for want of room or of the table.  Told "not run", the caller would
 * take a new key, and the voucher is redeemed twice.  So a key's row is read
 * before that is said: where it can't be, the answer is "unknown".  A caller
 * who says that it never sent the key before needs no row for that.
 */
void
task_finish_not_run (MuxCore *core,
                     Task *task,
                     MuxReason reason,
                     uint32_t retry_ms)
{
  task->last_reason = reason;
  task->last_retry_ms = retry_ms;
  if (!task->keyed || task->key_is_new || task->waiters == NULL)
    {
      task_finish (core, task, outcome_of (task), reason, retry_ms,
                   MUX_TASK_ABSENT, NULL);
      return;
    }
  if (commit_store_down (core))
    {
      task_finish_unknown (core, task, reason);
      return;
    }
  task->state = TASK_REFUSING;
  task_mark_waiters_refused (task);
  task_set_timer (core, task, ROW_MS);
  /* With memory out the task has its answer and is gone after this. */
  commit_read (core, task);
}

/* Those who were refused hear so; for whoever joined since then the task
 * begins again. */
static void
tell (MuxCore *core, Task *task, MuxOutcome outcome)
{
  if (!task_respond_refused (core, task, outcome))
    {
      task_free (core, task);
      return;
    }
  task->last_reason = MUX_REASON_NONE;
  task->granted = false;
  task_request_room_anew (core, task);
}

/* The caller's limit may have passed long before: only the time set for the
 * row counts here. */
void
step_refusal_unchecked (MuxCore *core, Task *task, const TaskEvent *event)
{
  if (event->kind != TASK_EV_STORE_DOWN && core->now_ms < task->timer_ms)
    return;
  tell (core, task, MUX_OUTCOME_UNKNOWN);
}

void
step_refusal_confirmed (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  tell (core, task, outcome_of (task));
}

/* A row stands.  One that this submission wrote, or has settled, changes
 * nothing; another's attempt is followed for as long as the caller waits. */
void
step_refusal_row_found (MuxCore *core, Task *task, const TaskEvent *event)
{
  if (event->rev == task->row_rev
      || task_row_is_own (core, task, event->intent))
    tell (core, task, outcome_of (task));
  else if (core->now_ms >= task->expires_ms)
    tell (core, task, MUX_OUTCOME_UNKNOWN);
  else
    step_row_found (core, task, event);
}
