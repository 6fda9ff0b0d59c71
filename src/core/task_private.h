#ifndef CORE_TASK_PRIVATE_H
#define CORE_TASK_PRIVATE_H

#include "task.h"
#include "ticket.h"

/* Shared by the files of the task's life. */

/* When a caller told "unknown" may ask again. */
#define UNKNOWN_RETRY_MS 1000

/** task_unknown_retry_ms() - when a caller told "unknown" may ask again; 0:
 * never, as nothing would tell the same work from new */
uint32_t task_unknown_retry_ms (const Task *task);

/** task_make() - a task that nothing has been done for; NULL: memory is out */
Task *task_new (MuxCore *core, const TaskOptions *options);
/** task_add_waiter() - a caller that gets its answer; false: memory is out */
bool
task_add_waiter (MuxCore *core, Task *task, uint64_t call, int64_t give_up_ms);
/** task_request_refused() - answers a request that can't be taken */
bool task_request_refused (MuxCore *core,
                           const MuxCoreRequest *ask,
                           const MuxClassSpec *spec);
/** task_begin_ticket() - start under a ticket's grant; false: memory is out */
bool task_begin_ticket (MuxCore *core,
                        const MuxCoreRequest *ask,
                        const MuxClassSpec *spec,
                        const Ticket *ticket);
/** task_join() - the same work again at this daemon: one answer for both */
void task_join (MuxCore *core, Task *task, const MuxCoreRequest *ask);
/** task_start_now() - send the start of a granted task */
void task_start_now (MuxCore *core, Task *task);
/** task_wake() - a TIMER event in @after_ms, in place of any set before */
void task_set_timer (MuxCore *core, Task *task, int64_t after_ms);
/** task_attempt_set() - make attempt number @attempt the present one */
void task_set_attempt (MuxCore *core, Task *task, uint32_t attempt);
/** task_ask() - choose an owner and ask it for room */
void task_request_room (MuxCore *core, Task *task);
/** task_ask_repeat() - the same owner again: the message may be lost */
void task_repeat_request (MuxCore *core, Task *task);
/** task_room_elsewhere() - another owner than the one asked could place it at
 * once; never for a gang, whose tasks must stay with one owner */
bool task_room_elsewhere (MuxCore *core, const Task *task);
/** task_ask_cancel() - tell the owner that the ask is void */
void task_cancel_request (MuxCore *core, Task *task);
/** task_asked_all() - no owner is left to ask for this attempt */
bool task_owners_exhausted (MuxCore *core, const Task *task);
/** task_refused_by() - do not ask @owner again for this attempt */
void task_mark_owner_refused (Task *task, const char *owner);
/** task_grant_end() - tell the owner how the granted attempt ended */
void
task_end_grant (MuxCore *core, Task *task, MuxTaskState state, uint32_t ran_ms);
/** task_release_stray() - a grant that is not wanted (any more) */
void task_release_unwanted_grant (MuxCore *core, const MuxPeerMsg *grant);

/* Calls to the worker in task->at; each reply becomes one event. */
void task_call_start (MuxCore *core, Task *task);
void task_call_fetch (MuxCore *core, Task *task, uint32_t wait_ms);
void task_call_forget (MuxCore *core, Task *task);
void task_call_stop (MuxCore *core, Task *task);

/** task_finish() - answer everybody and free the task */
void task_finish (MuxCore *core,
                  Task *task,
                  MuxOutcome outcome,
                  MuxReason reason,
                  uint32_t retry_ms,
                  MuxTaskState state,
                  MuxBlob *result);
/** task_mark_refused() - whoever waits now is about to be refused */
void task_mark_waiters_refused (Task *task);
/** task_tell_refused() - answer those; false: nobody else waits */
bool task_respond_refused (MuxCore *core, Task *task, MuxOutcome outcome);
/** task_detach() - answer everybody; the task goes on without them */
void task_detach_callers (MuxCore *core,
                          Task *task,
                          MuxOutcome outcome,
                          MuxReason reason,
                          uint32_t retry_ms);
void task_free (MuxCore *core, Task *task);

/** task_look_soon() - a job's running task may have lost who tells of its end
 */
void task_poll_soon (MuxCore *core, Task *task);

#endif
