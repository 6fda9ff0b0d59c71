#include "task_steps.h"

#include "commit.h"

/* Steps of a task that was started: STARTED, RUNNING, STOPPING. */

/* A job's running task is polled, unless its end is reported first, after its
 * declared run time, then after twice that and so on, within these bounds; one
 * that declares none, first after JOB_POLL_FIRST_MS. */
#define JOB_POLL_MIN_MS 500
#define JOB_POLL_FIRST_MS 10000
#define JOB_POLL_MAX_MS 1200000
/* Retries of a failed run of idempotent work. */
#define FAILED_RETRIES 2
/* Longest that a fetch waits for the end of a task that a caller waits for. */
#define FETCH_WAIT_MS 5000

void
task_start_now (MuxCore *core, Task *task)
{
  task->state = TASK_STARTED;
  task->unanswered_calls = 0;
  task_call_start (core, task);
}

static bool
should_retry (const Task *task)
{
  if (!task->idempotent || task->cancelled || task->ticketed)
    return false;
  /* A long-running service is to run until it is cancelled. */
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
  if (should_retry (task))
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
  /* Under a ticket an earlier submission may have run in the incarnation whose
   * state the worker has lost. */
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
  /* Another submission set the tombstone to make the next attempt, which is
   * followed. */
  mux_count_retry (core->counters, event->reason);
  task->state = TASK_READING;
  commit_read (core, task);
}

/*
 * Interval until the next poll of a job's running task.  An owner of many
 * workers lists their tasks rarely, and a job of short tasks would wait for
 * each list, so the home polls by itself: soon after the end is due, then at
 * doubling intervals, since declared run times are often far too short and
 * polls of thousands of long tasks would keep a daemon busy.  A lost report of
 * a task's end delays its job by about the task's run time.
 */
static int64_t
job_poll_interval_ms (const Task *task)
{
  int64_t interval_ms = task->run_ms;

  if (interval_ms == 0)
    interval_ms = JOB_POLL_FIRST_MS;
  if (interval_ms < JOB_POLL_MIN_MS)
    interval_ms = JOB_POLL_MIN_MS;
  for (uint32_t i = 0; i < task->poll_count && interval_ms < JOB_POLL_MAX_MS;
       i++)
    interval_ms *= 2;
  return interval_ms < JOB_POLL_MAX_MS ? interval_ms : JOB_POLL_MAX_MS;
}

void
task_poll_soon (MuxCore *core, Task *task)
{
  task->poll_count = 0;
  task_set_timer (core, task, core_jitter (core, JOB_POLL_FIRST_MS));
}

static void
await_end (MuxCore *core, Task *task)
{
  if (task->has_job)
    {
      task_set_timer (core, task,
                      core_jitter (core, job_poll_interval_ms (task)));
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

/* The start call is still in flight, and a fetch has found the task running:
 * the start's own connection may still bring the result. */
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

/* The start call is still in flight; its own reply brings its outcome. */
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
