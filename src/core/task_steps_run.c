#include "task_steps.h"

#include "commit.h"

/* Steps of a task that was started: STARTED, RUNNING, STOPPING. */

/* A job's running task is looked at, if nobody tells of its end, after its
 * declared run time, then after twice that and so on, within these bounds; one
 * that declares none, first after the time below. */
#define JOB_LOOK_MIN_MS 500
#define JOB_LOOK_FIRST_MS 10000
#define JOB_LOOK_MAX_MS 1200000
/* Times that a failed run of idempotent work is tried again. */
#define FAILED_RETRIES 2
/* Longest that a fetch waits for a request's end. */
#define FETCH_WAIT_MS 5000

void
task_start_now (MuxCore *core, Task *task)
{
  task->state = TASK_STARTED;
  task->unanswered_calls = 0;
  task_call_start (core, task);
}

static bool
try_again (const Task *task)
{
  if (!task->idempotent || task->cancelled || task->ticketed)
    return false;
  /* A long-running service is meant to run until it is cancelled. */
  if (task->kind == MUX_KIND_LONG_RUNNING)
    return true;
  return (task->has_job || task->waiters != NULL)
         && task->retries < FAILED_RETRIES;
}

void
step_ended (MuxCore *core, Task *task, const TaskEvent *event)
{
  const MuxWorkerReply *reply = event->reply;

  task->may_have_run = true;
  task_end_grant (core, task, reply->state, reply->ran_ms);
  switch (reply->state)
    {
    case MUX_TASK_DONE:
      task_finish (core, task, MUX_OUTCOME_DONE, MUX_REASON_NONE, 0,
                   reply->state, reply->result);
      return;
    case MUX_TASK_DONE_GONE:
      task_finish (core, task, MUX_OUTCOME_DONE, MUX_REASON_ALREADY_RAN, 0,
                   reply->state, NULL);
      return;
    default:
      break;
    }
  if (try_again (task))
    task_next_attempt (core, task, MUX_REASON_TASK_FAILED);
  else
    task_finish (core, task, MUX_OUTCOME_FAILED,
                 task->cancelled ? MUX_REASON_CANCELLED
                                 : MUX_REASON_TASK_FAILED,
                 0, reply->state, reply->result);
}

void
step_not_started (MuxCore *core, Task *task, const TaskEvent *event)
{
  task_end_grant (core, task, MUX_TASK_ABSENT, 0);
  /* Under a ticket an earlier submission may have run in the life that the
   * worker has forgotten. */
  if (task->ticketed && event->reason == MUX_REASON_FENCED_INCARNATION)
    {
      task_finish_unknown (core, task, MUX_REASON_UNKNOWN_FATE);
      return;
    }
  if (event->reason != MUX_REASON_FENCED_TOMBSTONE || !task->keyed)
    {
      task_next_attempt (core, task, event->reason);
      return;
    }
  /* Somebody put this attempt down to make the next one: follow that. */
  mux_count_retry (core->counters, event->reason);
  task->state = TASK_READING;
  commit_read (core, task);
}

/*
 * Failure: an owner of many workers lists their tasks rarely, and a job of
 * short tasks would wait for each list.  Its home looks by itself, soon after
 * the end is due, then ever more rarely: declared run times are often far too
 * short, and looks at thousands of long tasks would be all that a daemon does.
 * A lost word of a task's end so delays its job by about the task's run time.
 */
static int64_t
job_look_ms (const Task *task)
{
  int64_t look_ms = task->run_ms;

  if (look_ms == 0)
    look_ms = JOB_LOOK_FIRST_MS;
  if (look_ms < JOB_LOOK_MIN_MS)
    look_ms = JOB_LOOK_MIN_MS;
  for (uint32_t i = 0; i < task->poll_count && look_ms < JOB_LOOK_MAX_MS; i++)
    look_ms *= 2;
  return look_ms < JOB_LOOK_MAX_MS ? look_ms : JOB_LOOK_MAX_MS;
}

void
task_poll_soon (MuxCore *core, Task *task)
{
  task->poll_count = 0;
  task_set_timer (core, task, core_jitter (core, JOB_LOOK_FIRST_MS));
}

static void
await_end (MuxCore *core, Task *task)
{
  if (task->has_job)
    {
      task_set_timer (core, task, core_jitter (core, job_look_ms (task)));
      task->poll_count++;
      return;
    }
  task_set_timer (core, task, FETCH_WAIT_MS + WORKER_TIMEOUT_MS * 2);
  task_call_fetch (core, task, FETCH_WAIT_MS);
}

void
step_running (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task->may_have_run = true;
  task->unanswered_calls = 0;
  if (task->cancelled)
    {
      task->state = TASK_STOPPING;
      task_call_stop (core, task);
      task_set_timer (core, task, WORKER_TIMEOUT_MS);
      return;
    }
  task->state = TASK_RUNNING;
  await_end (core, task);
}

/* While the start is still out, a probe that finds it running only shows that
 * the start's own connection may yet bring the end. */
void
step_start_running (MuxCore *core, Task *task, const TaskEvent *event)
{
  task->unanswered_calls = 0;
  if (task->has_job)
    {
      step_running (core, task, event);
      return;
    }
  task->may_have_run = true;
  task_set_timer (core, task, FETCH_WAIT_MS + WORKER_TIMEOUT_MS);
  task_call_fetch (core, task, FETCH_WAIT_MS);
}

/* The start is still on its way; its own reply will say what became of it. */
void
step_start_not_arrived (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_set_timer (core, task, core_jitter (core, ABSENT_RECHECK_MS));
}

void
step_poll (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_call_fetch (core, task, 0);
  task_set_timer (core, task, WORKER_TIMEOUT_MS * 2);
}

void
step_await_end (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  if (task->has_job)
    task_call_fetch (core, task, 0);
  await_end (core, task);
}

void
step_stop_again (MuxCore *core, Task *task, const TaskEvent *event)
{
  (void) event;
  task_call_stop (core, task);
  task_set_timer (core, task, WORKER_TIMEOUT_MS);
}
