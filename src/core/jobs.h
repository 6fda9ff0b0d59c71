#ifndef CORE_JOBS_H
#define CORE_JOBS_H

#include "task.h"

/* Jobs are recorded in the store before they are acknowledged, so that any
 * daemon can adopt those of a home that died. */
Jobs *jobs_new (void);
void jobs_free (Jobs *jobs);
/** jobs_clear() - answers all waiting callers and frees every job; call it
 * before jobs_free() */
void jobs_clear (MuxCore *core);
/** jobs_request() - handles every MUX_CORE_JOB_* request */
void jobs_request (MuxCore *core, const MuxCoreRequest *request);
void jobs_tick (MuxCore *core);
int64_t jobs_wake_ms (const MuxCore *core);
/** jobs_member_dead() - schedules a scan for jobs that lost their home */
void jobs_member_dead (MuxCore *core, const char *name);
/** jobs_member_new() - called on the first contact with a daemon */
void jobs_member_new (MuxCore *core);
/** jobs_row_changed() - a peer changed the row of this job */
void jobs_row_changed (MuxCore *core, MuxId id);
/** jobs_record_placement() - a job's task was granted room: writes its
 * placement, then sends it TASK_EV_ROW_WRITTEN (or drops it, if the job has
 * another home now) */
void jobs_record_placement (MuxCore *core, Task *task);
/** jobs_gang_task_granted() - @task of a gang has been granted room */
void jobs_gang_task_granted (MuxCore *core, Task *task);
/** jobs_gang_task_refused() - the owner refused @task's gang, or is lost */
void jobs_gang_task_refused (MuxCore *core, Task *task, MuxReason reason);
/** jobs_task_ended() - a task has ended; the caller frees it afterwards.  Must
 * not end other tasks in the same call, as their list is being walked. */
void jobs_task_ended (MuxCore *core,
                      const Task *task,
                      MuxOutcome outcome,
                      MuxReason reason,
                      MuxTaskState state,
                      const MuxBlob *result);
/** jobs_caller_disconnected() - the caller of a JOB_WAIT has disconnected */
void jobs_caller_disconnected (MuxCore *core, uint64_t call_id);
/** jobs_all_recorded() - whether a stopping daemon may exit: nothing is left to
 * write that a daemon which adopts the jobs would miss */
bool jobs_all_recorded (MuxCore *core);

#endif
