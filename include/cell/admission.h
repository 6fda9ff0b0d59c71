#ifndef CELL_ADMISSION_H
#define CELL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Admission control: decides which new jobs a cell accepts.  For each queue the
 * planner counts the work that waits and measures the rate at which it is
 * placed on workers; their quotient is the expected wait of a new job.  A job
 * that would start too late is refused at once.  Does no I/O and reads no
 * clock: times are passed in.
 */

/* Most queues that are tracked at a time; jobs of further ones are not refused
 * here. */
#define MUX_ADMISSION_QUEUES_MAX 64
/* Longest expected wait that is reported. */
#define MUX_ADMISSION_WAIT_MAX_MS 60000

/**
 * struct MuxAdmissionQueue - backlog and service rate of one queue
 * @queue: hash of its name and priority
 * @priority: 0 is served first
 * @service: hash of the name of the worker pool that runs its tasks
 * @waiting: steps that wait and can still end in time
 * @work: of their tasks, in core-milliseconds
 * @aged_work: sum over the steps of work times the fraction of its slack, in
 *   thousandths, that the step has waited
 * @placed_work: core-milliseconds placed since the last count
 * @placed_tasks: tasks placed since the last count
 * @placed_wait_sum_ms: sum of the times these tasks had waited
 * @rate: core-milliseconds placed per second while something waited
 * @busy_ms: total time in which something waited
 * @pool_milli: capacity of the pool at the last count, in thousandths of a
 *   processor; 0: not known
 * @free_milli: part of it on which nothing runs
 * @running_milli: part of it used by running tasks of this queue
 * @lower_priority_milli: part of it used by tasks of queues that are served
 *   later
 * @sojourn_ms: mean time that its tasks wait before they are placed
 * @since_placed_ms: time since the last task was placed, while something waited
 * @min_sojourn_ms: smallest @sojourn_ms among the queues of the pool that have
 *   tasks placed; 0: none has
 * @higher_priority_work: work of queues with a standing backlog that are served
 *   before this one
 * @higher_priority_rate: rate of these queues
 * @lower_priority_rate: rate of the queues of the pool that are served later
 * @wait_ms: expected wait of a new job; 0: it is placed at once
 * @unused_counts: counts ended since a step, task or job of it was last counted
 */
typedef struct
{
  uint64_t queue;
  uint32_t priority;
  uint64_t service;
  uint32_t waiting;
  int64_t work;
  int64_t aged_work;
  int64_t placed_work;
  int64_t placed_tasks;
  int64_t placed_wait_sum_ms;
  int64_t rate;
  int64_t busy_ms;
  int64_t pool_milli;
  int64_t free_milli;
  int64_t running_milli;
  int64_t lower_priority_milli;
  int64_t sojourn_ms;
  int64_t since_placed_ms;
  int64_t min_sojourn_ms;
  int64_t higher_priority_work;
  int64_t higher_priority_rate;
  int64_t lower_priority_rate;
  int64_t wait_ms;
  uint32_t unused_counts;
} MuxAdmissionQueue;

/**
 * struct MuxAdmission - state of all tracked queues
 * @counted_ms: time of the last count
 * @count: used entries of @queue
 * @untracked: steps, tasks and jobs that found no entry since the last count
 */
typedef struct
{
  int64_t counted_ms;
  uint32_t count;
  uint32_t untracked;
  MuxAdmissionQueue queue[MUX_ADMISSION_QUEUES_MAX];
} MuxAdmission;

/**
 * struct MuxAdmissionJob - a new job
 * @queue: hash of the name and priority of its queue
 * @slack_ms: how long it may wait in total and still end in time
 * @chain_length: steps that have to run one after the other
 * @jitter_seed: any number that differs between jobs
 */
typedef struct
{
  uint64_t queue;
  int64_t slack_ms;
  uint32_t chain_length;
  uint64_t jitter_seed;
} MuxAdmissionJob;

/**
 * struct MuxAdmissionStep - a waiting step whose result still has value
 * @priority: of its queue
 * @service: hash of the name of the worker pool that runs its tasks
 * @work: of its waiting tasks, in core-milliseconds
 * @late: it can no longer end in time
 * @waited_ms: time since it became ready
 * @slack_ms: time from there to its latest start
 */
typedef struct
{
  uint32_t priority;
  uint64_t service;
  int64_t work;
  bool late;
  int64_t waited_ms;
  int64_t slack_ms;
} MuxAdmissionStep;

/** mux_admission_work() - core-milliseconds of @tasks tasks, at least one */
int64_t
mux_admission_work (uint32_t tasks, uint32_t cpu_milli, uint32_t estimate_ms);
/** mux_admission_reset() - discard what was measured; expected waits received
 * from another planner stay */
void mux_admission_reset (MuxAdmission *admission, int64_t now_ms);
/** mux_admission_find() - the queue's entry, created if it is new; in a full
 * table it takes the place of the queue that was not used for longest
 * Return: NULL if all are in use, which counts in @untracked. */
MuxAdmissionQueue *mux_admission_find (MuxAdmission *admission, uint64_t queue);
/** mux_admission_clear_waits() - no queue is known to have a backlog; what was
 * measured stays */
void mux_admission_clear_waits (MuxAdmission *admission);
/** mux_admission_placed() - record that a task of the queue was started after
 * it had waited for @waited_ms */
void mux_admission_placed (MuxAdmission *admission,
                           uint64_t queue,
                           int64_t work,
                           int64_t waited_ms);
/** mux_admission_count_begin() - called before each count of what waits */
void mux_admission_count_begin (MuxAdmission *admission);
/** mux_admission_add_waiting() - count a waiting step of the queue */
void mux_admission_add_waiting (MuxAdmission *admission,
                                uint64_t queue,
                                const MuxAdmissionStep *step);
/** mux_admission_add_running() - count a running task of the queue, of @milli
 * thousandths of a processor */
void mux_admission_add_running (MuxAdmission *admission,
                                uint64_t queue,
                                int64_t milli);
/** mux_admission_count_end() - called when all that waits was counted; updates
 * the measured rates */
void mux_admission_count_end (MuxAdmission *admission, int64_t now_ms);
/**
 * mux_admission_update_pool() - update the expected wait of all queues of a
 * pool
 * @pool_milli: processors of the pool, in thousandths; 0: not known
 * @free_milli: those on which nothing runs
 */
void mux_admission_update_pool (MuxAdmission *admission,
                                uint64_t service,
                                int64_t pool_milli,
                                int64_t free_milli);
/** mux_admission_has_room() - whether the pool has processors free for the
 * queue, so that its steps wait for something else */
bool mux_admission_has_room (const MuxAdmissionQueue *queue);
/** mux_admission_accepted() - record that a job was accepted since the last
 * count */
void
mux_admission_accepted (MuxAdmission *admission, uint64_t queue, int64_t work);
/** mux_admission_pool_rate() - core-milliseconds of the pool's queues that are
 * placed per second while something waits; -1: not measured yet */
int64_t mux_admission_pool_rate (const MuxAdmission *admission,
                                 uint64_t service);
/** mux_admission_acceptable_ms() - longest wait that a new job may have */
int64_t mux_admission_acceptable_ms (const MuxAdmissionJob *job);
/** mux_admission_wait_ms() - expected wait of a new job of the queue */
int64_t mux_admission_wait_ms (const MuxAdmission *admission, uint64_t queue);
/** mux_admission_retry_ms() - delay after which the caller is to retry; 0: the
 * job is accepted */
uint32_t mux_admission_retry_ms (const MuxAdmission *admission,
                                 const MuxAdmissionJob *job);

#endif
