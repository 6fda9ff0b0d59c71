#ifndef CORE_TASK_STEPS_H
#define CORE_TASK_STEPS_H

#include "task_private.h"

/* The steps that the table in task_steps.c runs for an event in a state, and
 * functions that they share.  Any of them may free the task, so it must not be
 * used after the call. */

/* Pause before a second poll for an attempt that was absent. */
#define ABSENT_RECHECK_MS 300

/** task_finish_not_run() - ends it: this submission started nothing.  A keyed
 * task is answered only after its row has been read (REFUSING). */
void task_finish_not_run (MuxCore *core,
                          Task *task,
                          MuxReason reason,
                          uint32_t retry_ms);
/** task_finish_unknown() - ends it; it may have run */
void task_finish_unknown (MuxCore *core, Task *task, MuxReason reason);
/** task_next_attempt() - the current attempt has certainly ended or will never
 * start: goes on with the next number, whose id no worker has seen */
void task_next_attempt (MuxCore *core, Task *task, MuxReason reason);
/** task_request_room_again() - requests room, also from owners that refused
 * before */
void task_request_room_again (MuxCore *core, Task *task);
/** task_request_room_later() - does so after @pause_ms plus jitter; WAITING
 * until then */
void task_request_room_later (MuxCore *core, Task *task, int64_t pause_ms);
/** task_release_room() - releases the room granted to it, or withdraws its
 * request */
void task_release_room (MuxCore *core, Task *task);
/** task_write_row() - has its intent written (RECORDING), after which it may
 * start */
void task_write_row (MuxCore *core, Task *task);
/** task_row_is_own() - whether @intent was written for the grant that it holds
 */
bool
task_row_is_own (const MuxCore *core, const Task *task, const Intent *intent);
/** task_resolve() - finds out whether it was started, or keeps it from ever
 * starting at its worker (RESOLVING) */
void task_resolve (MuxCore *core, Task *task);

/* Requests for room: WAITING, REQUESTING, HOLDING (task_steps_grant.c). */
/** step_request_room() - the pause is over: requests room, from any owner */
void step_request_room (MuxCore *core, Task *task, const TaskEvent *event);
/** step_repeat_request() - no reply yet: repeats the request, or moves to an
 * owner with room */
void step_repeat_request (MuxCore *core, Task *task, const TaskEvent *event);
/** step_granted() - starts the task, or first has its placement recorded, or
 * waits for its gang (HOLDING) */
void step_granted (MuxCore *core, Task *task, const TaskEvent *event);
/** step_refused() - tries the next owner; with none left it pauses (WAITING),
 * or ends if waiting can't help */
void step_refused (MuxCore *core, Task *task, const TaskEvent *event);

/* Its row: RECORDING, READING (task_steps_row.c). */
/** step_row_written() - starts the task */
void step_row_written (MuxCore *core, Task *task, const TaskEvent *event);
/** step_row_found() - starts the task if the row is its own, else follows the
 * attempt that the row names */
void step_row_found (MuxCore *core, Task *task, const TaskEvent *event);
/** step_row_absent() - writes the row if the task holds a grant, else pauses */
void step_row_absent (MuxCore *core, Task *task, const TaskEvent *event);
/** step_row_unknown() - reads the row to learn whether the write took effect */
void step_row_unknown (MuxCore *core, Task *task, const TaskEvent *event);
/** step_store_down() - starts idempotent work without its row; other work ends
 * "not run", a job's task pauses */
void step_store_down (MuxCore *core, Task *task, const TaskEvent *event);

/* Refusal: REFUSING (task_steps_refuse.c). */
/** step_refusal_unchecked() - the row could not be read in time: answers
 * "unknown" */
void step_refusal_unchecked (MuxCore *core, Task *task, const TaskEvent *event);
/** step_refusal_confirmed() - there is no row: answers "not run" */
void step_refusal_confirmed (MuxCore *core, Task *task, const TaskEvent *event);
/** step_refusal_row_found() - follows another submission's attempt if a caller
 * still waits, else answers */
void step_refusal_row_found (MuxCore *core, Task *task, const TaskEvent *event);

/* Start and run: STARTED, RUNNING, STOPPING (task_steps_run.c). */
/** step_ended() - ends the task; makes another attempt if the run failed and
 * may be retried */
void step_ended (MuxCore *core, Task *task, const TaskEvent *event);
/** step_not_started() - makes the next attempt, or reads the row for the one
 * that another submission has made */
void step_not_started (MuxCore *core, Task *task, const TaskEvent *event);
/** step_running() - awaits or polls the end (RUNNING); stops a cancelled task
 * (STOPPING) */
void step_running (MuxCore *core, Task *task, const TaskEvent *event);
/** step_start_running() - awaits the end on a second connection beside the
 * start's */
void step_start_running (MuxCore *core, Task *task, const TaskEvent *event);
/** step_start_not_arrived() - checks again after a pause */
void step_start_not_arrived (MuxCore *core, Task *task, const TaskEvent *event);
/** step_poll() - fetches the state from the worker */
void step_poll (MuxCore *core, Task *task, const TaskEvent *event);
/** step_await_end() - fetches the state again, at the pace of a job or of a
 * waiting caller */
void step_await_end (MuxCore *core, Task *task, const TaskEvent *event);
/** step_stop_again() - repeats the stop */
void step_stop_again (MuxCore *core, Task *task, const TaskEvent *event);

/* Starts of unknown outcome: RESOLVING, FOLLOWING (task_steps_resolve.c). */
/** step_start_no_reply() - the start may have taken effect: resolves it
 * (RESOLVING) */
void step_start_no_reply (MuxCore *core, Task *task, const TaskEvent *event);
/** step_resolve_again() - repeats the request for a tombstone */
void step_resolve_again (MuxCore *core, Task *task, const TaskEvent *event);
/** step_no_reply() - retries after a pause; after some tries answers the
 * callers "unknown" */
void step_no_reply (MuxCore *core, Task *task, const TaskEvent *event);
/** step_tombstoned() - releases the room and makes the next attempt */
void step_tombstoned (MuxCore *core, Task *task, const TaskEvent *event);
/** step_resolved_ended() - it was started and has ended: as step_ended() */
void step_resolved_ended (MuxCore *core, Task *task, const TaskEvent *event);
/** step_worker_state_lost() - starts idempotent work again; other work ends as
 * "unknown" */
void step_worker_state_lost (MuxCore *core, Task *task, const TaskEvent *event);
/** step_absent() - checks once more, then requests a tombstone */
void step_absent (MuxCore *core, Task *task, const TaskEvent *event);

/* Time limit and cancellation, in all states (task_steps_end.c). */
/** step_expired_before_start() - releases the room and ends "not run" */
void
step_expired_before_start (MuxCore *core, Task *task, const TaskEvent *event);
/** step_expired_after_start() - answers the callers "unknown" and goes on; ends
 * if no caller was left */
void
step_expired_after_start (MuxCore *core, Task *task, const TaskEvent *event);
/** step_cancel_before_start() - releases the room and ends as cancelled */
void
step_cancel_before_start (MuxCore *core, Task *task, const TaskEvent *event);
/** step_cancel_after_start() - resolves whether it was started; if so it is
 * then stopped */
void
step_cancel_after_start (MuxCore *core, Task *task, const TaskEvent *event);
/** step_cancel_running() - stops it */
void step_cancel_running (MuxCore *core, Task *task, const TaskEvent *event);

#endif
