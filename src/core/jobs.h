#ifndef CORE_JOBS_H
#define CORE_JOBS_H

#include "task.h"

/* Jobs: recorded before they are acknowledged, carried on by any daemon. */
Jobs *jobs_new (void);
void jobs_free (Jobs *jobs);
/** jobs_clear() - answer who waits and free every job; before jobs_free() */
void jobs_clear (MuxCore *core);
/** jobs_ask() - every MUX_ASK_JOB_* */
void jobs_request (MuxCore *core, const MuxCoreRequest *ask);
void jobs_tick (MuxCore *core);
int64_t jobs_wake_ms (const MuxCore *core);
/** jobs_member_dead() - its jobs want a new home */
void jobs_member_dead (MuxCore *core, const char *name);
/** jobs_member_new() - a daemon is heard for the first time */
void jobs_member_new (MuxCore *core);
/** jobs_hint() - a peer changed the row of this job */
void jobs_row_changed (MuxCore *core, MuxId id);
/** jobs_record() - a job's task was granted room: write where, then send it
 * TASK_EV_ROW_WRITTEN (or drop it, if the job has another home now) */
void jobs_record_placement (MuxCore *core, Task *task);
/** jobs_gang_held() - @task of a gang has room */
void jobs_gang_task_granted (MuxCore *core, Task *task);
/** jobs_gang_refused() - an owner won't hold @task's gang, or is lost */
void jobs_gang_task_refused (MuxCore *core, Task *task, MuxReason reason);
/** jobs_task_ended() - for good; the task is freed by the caller after.  It
 * must not end other tasks in the same call: their lists are being walked. */
void jobs_task_ended (MuxCore *core,
                      const Task *task,
                      MuxOutcome outcome,
                      MuxReason reason,
                      MuxTaskState state,
                      const MuxBlob *result);
/** jobs_caller_gone() - a JOB_WAIT's caller hung up */
void jobs_caller_disconnected (MuxCore *core, uint64_t call);
/** jobs_give_away() - stopping: write no more, peers will adopt */
bool jobs_all_recorded (MuxCore *core);

#endif
