#ifndef CORE_TASK_STEPS_H
#define CORE_TASK_STEPS_H

#include "task_private.h"

/* The steps that the table in task_steps.c names, and what they share.  After
 * a step, and after any of these, the task may be gone. */

/* Pause before an attempt that was absent is looked for again. */
#define ABSENT_RECHECK_MS 300

/** task_finish_not_run() - end it, nothing was started by this submission: at
 * once, or, of a key, when its row has been read */
void task_finish_not_run (MuxCore *core,
                          Task *task,
                          MuxReason reason,
                          uint32_t retry_ms);
/** task_finish_unknown() - end it; it may have run */
void task_finish_unknown (MuxCore *core, Task *task, MuxReason reason);
/** task_next_attempt() - this attempt is over for certain: go on with the next
 * number, whose id no worker has seen */
void task_next_attempt (MuxCore *core, Task *task, MuxReason reason);
/** task_ask_fresh() - ask for room, also owners that refused before */
void task_request_room_anew (MuxCore *core, Task *task);
/** task_pause_then_ask() - the same after @pause_ms with jitter */
void task_request_room_later (MuxCore *core, Task *task, int64_t pause_ms);
/** task_give_back() - the room that it holds, or has asked for */
void task_release_room (MuxCore *core, Task *task);
/** task_write_row() - have its intent written; then it may start */
void task_write_row (MuxCore *core, Task *task);
/** task_wrote_row() - @intent is that of the grant at hand */
bool
task_row_is_own (const MuxCore *core, const Task *task, const Intent *intent);
/** task_settle() - find out at its worker, or have it never start there */
void task_resolve (MuxCore *core, Task *task);

/* Looking for room (task_steps_ask.c). */
void step_request_room (MuxCore *core, Task *task, const TaskEvent *event);
void step_repeat_request (MuxCore *core, Task *task, const TaskEvent *event);
void step_granted (MuxCore *core, Task *task, const TaskEvent *event);
void step_refused (MuxCore *core, Task *task, const TaskEvent *event);

/* Its row (task_steps_row.c). */
void step_row_written (MuxCore *core, Task *task, const TaskEvent *event);
void step_row_found (MuxCore *core, Task *task, const TaskEvent *event);
void step_row_absent (MuxCore *core, Task *task, const TaskEvent *event);
void step_row_unknown (MuxCore *core, Task *task, const TaskEvent *event);
void step_store_down (MuxCore *core, Task *task, const TaskEvent *event);

/* About to be refused (task_steps_refuse.c). */
void step_refusal_unchecked (MuxCore *core, Task *task, const TaskEvent *event);
void step_refusal_confirmed (MuxCore *core, Task *task, const TaskEvent *event);
void step_refusal_row_found (MuxCore *core, Task *task, const TaskEvent *event);

/* Started (task_steps_run.c). */
void step_ended (MuxCore *core, Task *task, const TaskEvent *event);
void step_not_started (MuxCore *core, Task *task, const TaskEvent *event);
void step_running (MuxCore *core, Task *task, const TaskEvent *event);
void step_start_running (MuxCore *core, Task *task, const TaskEvent *event);
void step_start_not_arrived (MuxCore *core, Task *task, const TaskEvent *event);
void step_poll (MuxCore *core, Task *task, const TaskEvent *event);
void step_await_end (MuxCore *core, Task *task, const TaskEvent *event);
void step_stop_again (MuxCore *core, Task *task, const TaskEvent *event);

/* What became of a start (task_steps_settle.c). */
void step_start_no_reply (MuxCore *core, Task *task, const TaskEvent *event);
void step_resolve_again (MuxCore *core, Task *task, const TaskEvent *event);
void step_no_reply (MuxCore *core, Task *task, const TaskEvent *event);
void step_tombstoned (MuxCore *core, Task *task, const TaskEvent *event);
void step_resolved_ended (MuxCore *core, Task *task, const TaskEvent *event);
void step_worker_state_lost (MuxCore *core, Task *task, const TaskEvent *event);
void step_absent (MuxCore *core, Task *task, const TaskEvent *event);

/* Time over, or cancelled (task_steps_end.c). */
void
step_expired_before_start (MuxCore *core, Task *task, const TaskEvent *event);
void
step_expired_after_start (MuxCore *core, Task *task, const TaskEvent *event);
void
step_cancel_before_start (MuxCore *core, Task *task, const TaskEvent *event);
void
step_cancel_after_start (MuxCore *core, Task *task, const TaskEvent *event);
void step_cancel_running (MuxCore *core, Task *task, const TaskEvent *event);

#endif
