#include "task_steps.h"

typedef void (*TaskStep) (MuxCore *core, Task *task, const TaskEvent *event);

/* Every event in every state; an empty place is an event that comes too late
 * to matter there, and is counted.  docs/design/task-life.md has the same
 * table with the reasons. */
static const TaskStep steps[TASK_STATE_COUNT][TASK_EVENT_COUNT] = {
  [TASK_WAITING] = {
    [TASK_EV_TIMER] = step_ask,
    [TASK_EV_GIVE_UP] = step_give_up_early,
    [TASK_EV_CANCEL] = step_cancel_early,
  },
  [TASK_ASKING] = {
    [TASK_EV_TIMER] = step_ask_repeat,
    [TASK_EV_GRANTED] = step_granted,
    [TASK_EV_REFUSED] = step_refused,
    [TASK_EV_GIVE_UP] = step_give_up_early,
    [TASK_EV_CANCEL] = step_cancel_early,
  },
  [TASK_HOLDING] = {
    [TASK_EV_REFUSED] = step_refused,
    [TASK_EV_CANCEL] = step_cancel_early,
  },
  [TASK_RECORDING] = {
    [TASK_EV_ROW_WRITTEN] = step_row_written,
    [TASK_EV_ROW_FOUND] = step_row_found,
    [TASK_EV_ROW_ABSENT] = step_row_absent,
    [TASK_EV_ROW_UNKNOWN] = step_row_unknown,
    [TASK_EV_STORE_DOWN] = step_store_down,
    [TASK_EV_GIVE_UP] = step_give_up_early,
    [TASK_EV_CANCEL] = step_cancel_early,
  },
  [TASK_READING] = {
    [TASK_EV_ROW_FOUND] = step_row_found,
    [TASK_EV_ROW_ABSENT] = step_row_absent,
    [TASK_EV_STORE_DOWN] = step_store_down,
    [TASK_EV_GIVE_UP] = step_give_up_early,
    [TASK_EV_CANCEL] = step_cancel_early,
  },
  [TASK_REFUSING] = {
    [TASK_EV_TIMER] = step_refusal_late,
    [TASK_EV_ROW_FOUND] = step_refusal_row,
    [TASK_EV_ROW_ABSENT] = step_refusal_true,
    [TASK_EV_STORE_DOWN] = step_refusal_late,
    [TASK_EV_GIVE_UP] = step_refusal_late,
  },
  [TASK_STARTED] = {
    [TASK_EV_TIMER] = step_look,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_SEEN_RUNNING] = step_probe_running,
    [TASK_EV_ABSENT] = step_not_there_yet,
    [TASK_EV_NOT_STARTED] = step_not_started,
    [TASK_EV_NEVER] = step_never,
    [TASK_EV_OTHER_LIFE] = step_other_life,
    [TASK_EV_LOST] = step_start_lost,
    [TASK_EV_GIVE_UP] = step_give_up_late,
    [TASK_EV_CANCEL] = step_cancel_late,
  },
  [TASK_RUNNING] = {
    [TASK_EV_TIMER] = step_await,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_SEEN_RUNNING] = step_seen_running,
    [TASK_EV_ABSENT] = step_other_life,
    [TASK_EV_OTHER_LIFE] = step_other_life,
    [TASK_EV_LOST] = step_lost,
    [TASK_EV_GIVE_UP] = step_give_up_late,
    [TASK_EV_CANCEL] = step_cancel_running,
  },
  [TASK_SETTLING] = {
    [TASK_EV_TIMER] = step_settle_again,
    [TASK_EV_ENDED] = step_settled_ended,
    [TASK_EV_SEEN_RUNNING] = step_seen_running,
    [TASK_EV_NOT_STARTED] = step_never,
    [TASK_EV_NEVER] = step_never,
    [TASK_EV_OTHER_LIFE] = step_other_life,
    [TASK_EV_LOST] = step_lost,
    [TASK_EV_GIVE_UP] = step_give_up_late,
    [TASK_EV_CANCEL] = step_cancel_late,
  },
  [TASK_FOLLOWING] = {
    [TASK_EV_TIMER] = step_look,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_SEEN_RUNNING] = step_seen_running,
    [TASK_EV_ABSENT] = step_absent,
    [TASK_EV_NEVER] = step_never,
    [TASK_EV_OTHER_LIFE] = step_other_life,
    [TASK_EV_LOST] = step_lost,
    [TASK_EV_GIVE_UP] = step_give_up_late,
    [TASK_EV_CANCEL] = step_cancel_late,
  },
  [TASK_STOPPING] = {
    [TASK_EV_TIMER] = step_stop_again,
    [TASK_EV_ENDED] = step_ended,
    [TASK_EV_SEEN_RUNNING] = step_seen_running,
    [TASK_EV_ABSENT] = step_other_life,
    [TASK_EV_NEVER] = step_never,
    [TASK_EV_OTHER_LIFE] = step_other_life,
    [TASK_EV_LOST] = step_lost,
    [TASK_EV_GIVE_UP] = step_give_up_late,
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
