#include "task_steps.h"

typedef void (*TaskStep) (MuxCore *core, Task *task, const TaskEvent *event);

/* The step for each event in each state.  An event without a step arrived too
 * late to matter in that state; it is counted and ignored.
 * docs/design/task-life.md has the same table with the reasons. */
static const TaskStep steps[TASK_STATE_COUNT][TASK_EVENT_COUNT] = {
  [TASK_WAITING] = {
    [TASK_EV_TIMER] = step_request_room,
    [TASK_EV_EXPIRED] = step_expired_before_start,
    [TASK_EV_CANCEL] = step_cancel_before_start,
  },
  [TASK_REQUESTING] = {
    [TASK_EV_TIMER] = step_repeat_request,
    [TASK_EV_GRANTED] = step_granted,
    [TASK_EV_REFUSED] = step_refused,
    [TASK_EV_EXPIRED] = step_expired_before_start,
    [TASK_EV_CANCEL] = step_cancel_before_start,
  },
  [TASK_HOLDING] = {
    [TASK_EV_REFUSED] = step_refused,
    [TASK_EV_CANCEL] = step_cancel_before_start,
  },
  [TASK_RECORDING] = {
    [TASK_EV_ROW_WRITTEN] = step_row_written,
    [TASK_EV_ROW_FOUND] = step_row_found,
    [TASK_EV_ROW_ABSENT] = step_row_absent,
    [TASK_EV_ROW_UNKNOWN] = step_row_unknown,
    [TASK_EV_STORE_DOWN] = step_store_down,
    [TASK_EV_EXPIRED] = step_expired_before_start,
    [TASK_EV_CANCEL] = step_cancel_before_start,
  },
  [TASK_READING] = {
    [TASK_EV_ROW_FOUND] = step_row_found,
    [TASK_EV_ROW_ABSENT] = step_row_absent,
    [TASK_EV_STORE_DOWN] = step_store_down,
    [TASK_EV_EXPIRED] = step_expired_before_start,
    [TASK_EV_CANCEL] = step_cancel_before_start,
  },
  [TASK_REFUSING] = {
    [TASK_EV_TIMER] = step_refusal_unchecked,
    [TASK_EV_ROW_FOUND] = step_refusal_row_found,
    [TASK_EV_ROW_ABSENT] = step_refusal_confirmed,
    [TASK_EV_STORE_DOWN] = step_refusal_unchecked,
    [TASK_EV_EXPIRED] = step_refusal_unchecked,
  },
  [TASK_STARTED] = {
    [TASK_EV_TIMER] = step_poll,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_RUNNING] = step_start_running,
    [TASK_EV_ABSENT] = step_start_not_arrived,
    [TASK_EV_NOT_STARTED] = step_not_started,
    [TASK_EV_TOMBSTONED] = step_tombstoned,
    [TASK_EV_WORKER_STATE_LOST] = step_worker_state_lost,
    [TASK_EV_NO_REPLY] = step_start_no_reply,
    [TASK_EV_EXPIRED] = step_expired_after_start,
    [TASK_EV_CANCEL] = step_cancel_after_start,
  },
  [TASK_RUNNING] = {
    [TASK_EV_TIMER] = step_await_end,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_RUNNING] = step_running,
    [TASK_EV_ABSENT] = step_worker_state_lost,
    [TASK_EV_WORKER_STATE_LOST] = step_worker_state_lost,
    [TASK_EV_NO_REPLY] = step_no_reply,
    [TASK_EV_EXPIRED] = step_expired_after_start,
    [TASK_EV_CANCEL] = step_cancel_running,
  },
  [TASK_RESOLVING] = {
    [TASK_EV_TIMER] = step_resolve_again,
    [TASK_EV_ENDED] = step_resolved_ended,
    [TASK_EV_RUNNING] = step_running,
    [TASK_EV_NOT_STARTED] = step_tombstoned,
    [TASK_EV_TOMBSTONED] = step_tombstoned,
    [TASK_EV_WORKER_STATE_LOST] = step_worker_state_lost,
    [TASK_EV_NO_REPLY] = step_no_reply,
    [TASK_EV_EXPIRED] = step_expired_after_start,
    [TASK_EV_CANCEL] = step_cancel_after_start,
  },
  [TASK_FOLLOWING] = {
    [TASK_EV_TIMER] = step_poll,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_RUNNING] = step_running,
    [TASK_EV_ABSENT] = step_absent,
    [TASK_EV_TOMBSTONED] = step_tombstoned,
    [TASK_EV_WORKER_STATE_LOST] = step_worker_state_lost,
    [TASK_EV_NO_REPLY] = step_no_reply,
    [TASK_EV_EXPIRED] = step_expired_after_start,
    [TASK_EV_CANCEL] = step_cancel_after_start,
  },
  [TASK_STOPPING] = {
    [TASK_EV_TIMER] = step_stop_again,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_RUNNING] = step_running,
    [TASK_EV_ABSENT] = step_worker_state_lost,
    [TASK_EV_TOMBSTONED] = step_tombstoned,
    [TASK_EV_WORKER_STATE_LOST] = step_worker_state_lost,
    [TASK_EV_NO_REPLY] = step_no_reply,
    [TASK_EV_EXPIRED] = step_expired_after_start,
  },
};

void
task_event (MuxCore *core, Task *task, const TaskEvent *event)
{
  TaskStep step = steps[task->state][event->kind];

  if (step == NULL)
    {
      mux_count (core->counters, MUX_COUNT_EVENTS_DROPPED, 1);
      return;
    }
  step (core, task, event);
}

const char *
task_state_name (TaskState state)
{
  static const char *const names[TASK_STATE_COUNT]
      = { "waiting", "asking",  "holding",  "recording", "reading", "refusing",
          "started", "running", "settling", "following", "stopping" };

  return names[state];
}
