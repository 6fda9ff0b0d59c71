#ifndef CORE_TASK_PRIVATE_H
#define CORE_TASK_PRIVATE_H

#include "task.h"
#include "ticket.h"

/* Shared by the task_*.c files. */

/* Retry advice for callers that are answered "unknown". */
#define UNKNOWN_RETRY_MS 1000

/** task_unknown_retry_ms() - time after which a caller that is answered
 * "unknown" may retry; 0: never, as its retry could not be distinguished from
 * new work */
uint32_t task_unknown_retry_ms (const Task *task);

/** task_new() - a task on which nothing has been done yet; NULL: out of memory
 */
Task *task_new (MuxCore *core, const TaskOptions *options);
/** task_add_waiter() - adds a caller to be answered; false: out of memory */
bool task_add_waiter (MuxCore *core,
                      Task *task,
                      uint64_t call_id,
                      int64_t expires_ms);
/**
 * task_request_refused() - answers a request that can't be accepted
 *
 * Return: whether it was answered.
 */
bool task_request_refused (MuxCore *core,
                           const MuxCoreRequest *request,
                           const MuxClassSpec *spec);
/** task_begin_ticket() - starts a task under a ticket's grant; false: out of
 * memory */
bool task_begin_ticket (MuxCore *core,
                        const MuxCoreRequest *request,
                        const MuxClassSpec *spec,
                        const Ticket *ticket);
/** task_join() - a repeated submission at this daemon: both get the same answer
 */
void task_join (MuxCore *core, Task *task, const MuxCoreRequest *request);
/** task_start_now() - sends the start of a granted task and enters STARTED */
void task_start_now (MuxCore *core, Task *task);
/** task_set_timer() - sets a TIMER event in @after_ms, replacing the one set
 * before */
void task_set_timer (MuxCore *core, Task *task, int64_t after_ms);
/** task_set_attempt() - makes @attempt the current attempt, with its own id */
void task_set_attempt (MuxCore *core, Task *task, uint32_t attempt);
/** task_request_room() - chooses an owner and requests room from it */
void task_request_room (MuxCore *core, Task *task);
/** task_repeat_request() - sends the request again to the same owner, as the
 * message may be lost */
void task_repeat_request (MuxCore *core, Task *task);
/** task_room_elsewhere() - whether another owner has room for it at once; never
 * for a gang, whose tasks must stay with one owner */
bool task_room_elsewhere (MuxCore *core, const Task *task);
/** task_cancel_request() - withdraws the request at the owner */
void task_cancel_request (MuxCore *core, Task *task);
/** task_owners_exhausted() - whether no owner is left to try for this attempt
 */
bool task_owners_exhausted (MuxCore *core, const Task *task);
/** task_mark_owner_refused() - excludes @owner from the rest of this attempt */
void task_mark_owner_refused (Task *task, const char *owner);
/** task_end_grant() - reports to the owner how the granted attempt ended */
void
task_end_grant (MuxCore *core, Task *task, MuxTaskState state, uint32_t ran_ms);
/** task_release_unwanted_grant() - returns a grant that no task waits for */
void task_release_unwanted_grant (MuxCore *core, const MuxPeerMsg *grant);

/* Calls to the worker in task->placement; each reply becomes one event. */
void task_call_start (MuxCore *core, Task *task);
void task_call_fetch (MuxCore *core, Task *task, uint32_t wait_ms);
void task_call_forget (MuxCore *core, Task *task);
void task_call_stop (MuxCore *core, Task *task);

/** task_finish() - answers all callers and frees the task */
void task_finish (MuxCore *core,
                  Task *task,
                  MuxOutcome outcome,
                  MuxReason reason,
                  uint32_t retry_ms,
                  MuxTaskState state,
                  MuxBlob *result);
/** task_mark_waiters_refused() - marks the present callers to be refused */
void task_mark_waiters_refused (Task *task);
/** task_respond_refused() - answers the marked callers; false: no other caller
 * waits */
bool task_respond_refused (MuxCore *core, Task *task, MuxOutcome outcome);
/** task_detach_callers() - answers all callers; the task goes on without them
 */
void task_detach_callers (MuxCore *core,
                          Task *task,
                          MuxOutcome outcome,
                          MuxReason reason,
                          uint32_t retry_ms);
void task_free (MuxCore *core, Task *task);

/** task_poll_soon() - polls a job's running task soon, as the daemon that would
 * report its end may be lost */
void task_poll_soon (MuxCore *core, Task *task);

#endif
