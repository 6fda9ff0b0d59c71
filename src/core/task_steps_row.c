#include "task_steps.h"

#include "commit.h"

#include <string.h>

/* Steps of a task whose row is written or read: RECORDING, READING. */

void
task_write_row (MuxCore *core, Task *task)
{
  task->state = TASK_RECORDING;
  if (!commit_put (core, task))
    {
      task_end_grant (core, task, MUX_TASK_ABSENT, 0);
      task_finish_not_run (core, task, MUX_REASON_INTERNAL, RETRY_MS);
    }
}

void
step_row_written (MuxCore *core, Task *task, const TaskEvent *event)
{
  task->row_rev = event->rev;
  task_start_now (core, task);
}

/*
 * An earlier submission of the key at this daemon may have written the row for
 * the same worker, and have run.  If its row were taken for that of the grant
 * at hand, the task would be started again; after a restart of the worker that
 * start is refused as certainly without effect, and the next attempt would run
 * the task a second time.  The grant's number distinguishes the two.
 */
bool
task_row_is_own (const MuxCore *core, const Task *task, const Intent *intent)
{
  return intent->attempt == task->attempt
         && intent->grant_number == task->placement.grant_number
         && intent->home_incarnation == core->opt.incarnation
         && strcmp (intent->home, core->name) == 0
         && strcmp (intent->worker, task->placement.worker) == 0
         && intent->incarnation == task->placement.incarnation;
}

/* Another attempt is on record.  This submission gets the result of that one,
 * or makes the next attempt once it is certain that that one never starts. */
void
step_row_found (MuxCore *core, Task *task, const TaskEvent *event)
{
  if (task->granted && task_row_is_own (core, task, event->intent))
    {
      step_row_written (core, task, event);
      return;
    }
  mux_count_retry (core->counters, MUX_REASON_FENCED_ROW);
  task_end_grant (core, task, MUX_TASK_ABSENT, 0);
  task->row_rev = event->rev;
  task->placement = *event->intent;
  task->absent_once = false;
  task->fetch_in_flight = false;
  task->unanswered_calls = 0;
  task_set_attempt (core, task, event->intent->attempt);
  task->state = TASK_FOLLOWING;
  task_call_fetch (core, task, 0);
  task_set_timer (core, task, WORKER_TIMEOUT_MS * 2);
}

void
step_row_absent (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task->row_rev = MUX_REV_ABSENT;
  if (!task->granted)
    {
      task_request_room_later (core, task, RETRY_MS);
      return;
    }
  task_write_row (core, task);
}

void
step_row_unknown (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  mux_count_retry (core->counters, MUX_REASON_WRITE_UNKNOWN);
  task->state = TASK_READING;
  commit_read (core, task);
}

/*
 * The start was not sent, whether or not the row was written, so the task has
 * not run and is answered so.  Idempotent work goes on without its row: while
 * the store is down, a second submission in another data centre can't be
 * distinguished from a first.
 */
void
step_store_down (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  if (task->idempotent && !task->has_job && task->granted)
    {
      mux_count_retry (core->counters, MUX_REASON_STORE_DOWN);
      task_start_now (core, task);
      return;
    }
  task_end_grant (core, task, MUX_TASK_ABSENT, 0);
  if (!task->has_job && !task->idempotent)
    {
      task_finish_not_run (core, task, MUX_REASON_STORE_DOWN, UNKNOWN_RETRY_MS);
      return;
    }
  mux_count_retry (core->counters, MUX_REASON_STORE_DOWN);
  task_request_room_later (core, task, UNKNOWN_RETRY_MS);
}
