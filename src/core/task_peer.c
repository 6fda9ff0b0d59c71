#include "task_private.h"

#include <string.h>

/* Messages from owners to the homes of tasks. */

static Task *
task_of_attempt (MuxCore *core, MuxId id)
{
  Task *task;

  HASH_FIND (by_id, core->tasks_by_id, &id, sizeof id, task);
  return task;
}

static void
on_grant (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = task_of_attempt (core, msg->task);
  TaskEvent event = { .kind = TASK_EV_GRANTED, .msg = msg };

  if (task != NULL && strcmp (task->owner, msg->from) == 0)
    {
      if (task->state == TASK_REQUESTING)
        task_event (core, task, &event);
      return;
    }
  /* No task waits for this owner's grant any more; its room must not stay
   * booked. */
  task_release_unwanted_grant (core, msg);
}

static void
on_refused (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = task_of_attempt (core, msg->task);
  TaskEvent event = { .kind = TASK_EV_REFUSED,
                      .msg = msg,
                      .reason = msg->reason,
                      .retry_ms = msg->retry_ms };

  if (task != NULL && task->state == TASK_REQUESTING
      && strcmp (task->owner, msg->from) == 0)
    task_event (core, task, &event);
}

static void
on_ended (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = task_of_attempt (core, msg->task);
  TaskEvent event = { .kind = TASK_EV_WORKER_STATE_LOST,
                      .reason = MUX_REASON_FENCED_INCARNATION };

  if (task == NULL)
    return;
  if (msg->state != MUX_TASK_ABSENT)
    {
      /* Only says that there is something to fetch; the result itself comes
       * from the worker. */
      task->granted = false;
      if (task->state == TASK_RUNNING || task->state == TASK_STARTED)
        task_call_fetch (core, task, 0);
      return;
    }
  if (strcmp (msg->worker, task->placement.worker) == 0)
    task_event (core, task, &event);
}

void
tasks_peer_message (MuxCore *core, const MuxPeerMsg *msg)
{
  switch (msg->verb)
    {
    case MUX_PEER_GRANT:
      on_grant (core, msg);
      break;
    case MUX_PEER_GRANT_REFUSED:
      on_refused (core, msg);
      break;
    default:
      on_ended (core, msg);
      break;
    }
}
