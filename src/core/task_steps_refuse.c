#include "task_steps.h"

#include "commit.h"

/* Steps of a task that is about to be answered "not run": REFUSING. */

/* Longest that a refusal waits for the key's row to be read. */
#define ROW_READ_TIMEOUT_MS 250

static MuxOutcome
refusal_outcome (const Task *task)
{
  return task->may_have_run ? MUX_OUTCOME_FAILED : MUX_OUTCOME_NOT_RUN;
}

/*
 * The answer to a key's first submission may be lost, and its repetition be
 * refused for want of room or because the store is down.  If that were answered
 * "not run", the caller would use a new key, and the work would be done twice.
 * So the key's row is read before such an answer; if it can't be read, the
 * answer is "unknown".  A caller that says that the key is new needs no such
 * check.
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
      task_finish (core, task, refusal_outcome (task), reason, retry_ms,
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
  task_set_timer (core, task, ROW_READ_TIMEOUT_MS);
  /* Out of memory, this answers and frees the task. */
  commit_read (core, task);
}

/* Answers the callers that were marked; for callers that joined since then the
 * task begins again. */
static void
respond_to_refused (MuxCore *core, Task *task, MuxOutcome outcome)
{
  if (!task_respond_refused (core, task, outcome))
    {
      task_free (core, task);
      return;
    }
  task->last_reason = MUX_REASON_NONE;
  task->granted = false;
  task_request_room_again (core, task);
}

/* The row can't be read, or not in time.  The callers' time limit may have
 * passed before; only the timer set for the read counts here. */
void
step_refusal_unchecked (MuxCore *core, Task *task, const TaskEvent *event)
{
  if (event->kind != TASK_EV_STORE_DOWN && core->now_ms < task->timer_ms)
    return;
  respond_to_refused (core, task, MUX_OUTCOME_UNKNOWN);
}

void
step_refusal_confirmed (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  respond_to_refused (core, task, refusal_outcome (task));
}

/* The key has a row.  If this submission wrote it, or has resolved its attempt,
 * the refusal holds; another submission's attempt is followed as long as a
 * caller waits. */
void
step_refusal_row_found (MuxCore *core, Task *task, const TaskEvent *event)
{
  if (event->rev == task->row_rev
      || task_row_is_own (core, task, event->intent))
    respond_to_refused (core, task, refusal_outcome (task));
  else if (core->now_ms >= task->expires_ms)
    respond_to_refused (core, task, MUX_OUTCOME_UNKNOWN);
  else
    step_row_found (core, task, event);
}
