#ifndef CELL_ADMISSION_H
#define CELL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Overload control: which new jobs a cell takes.  For each queue the planner
 * counts what waits and measures how fast it is placed; the quotient is how
 * long a new job waits.  One that would begin too late is refused at once.  No
 * I/O and no clock: times are passed in.
 */

/* Queues that are told apart; those of any other are never refused here. */
#define MUX_ADMISSION_QUEUES_MAX 64
/* Longest wait that is told. */
#define MUX_ADMISSION_WAIT_MAX_MS 60000

/**
 * struct MuxAdmissionQueue - one queue
 * @queue: hash of its name and priority
 * @priority: 0 is served first
 * @service: hash of the pool that runs its tasks
 * @waiting: steps that wait and can still be in time
 * @work: of their tasks, in core-milliseconds
 * @aged: @work, times the thousandths of its slack that each has waited
 * @placed: core-milliseconds placed since the last count
 * @placed_tasks: tasks, the same
 * @placed_waited_ms: sum of how long these had waited
 * @rate: core-milliseconds placed in a second, while something waited
 * @busy_ms: how long something waited, in all counts
 * @pool_milli: of the pool that runs its tasks, as counted last; 0: not known
 * @free_milli: of it, what nothing runs on
 * @held_milli: of it, what its tasks run on
 * @later_milli: what those of queues run on that are served later
 * @sojourn_ms: how long its tasks wait before they are placed, in the mean
 * @unplaced_ms: since when none was
 * @least_sojourn_ms: of the queues of the pool of which tasks are placed
 * @first_work: of queues that are served first, and whose backlog stands
 * @first_rate: of these
 * @later_rate: of the queues of the pool that are served later
 * @wait_ms: of a new job; 0: it is placed as it comes
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
} MuxAdmissionQueue;

/**
 * struct MuxAdmission - all queues
 * @counted_ms: time of the last count
 * @count: used entries of @queue
 */
typedef struct
{
  int64_t counted_ms;
  uint32_t count;
  MuxAdmissionQueue queue[MUX_ADMISSION_QUEUES_MAX];
} MuxAdmission;

/**
 * struct MuxAdmissionJob - a new job
 * @queue: hash of the name and priority of its queue
 * @slack_ms: how long it may wait in all and still end in time
 * @turns: steps that it waits for one after the other
 * @spread: any number that differs between jobs
 */
typedef struct
{
  uint64_t queue;
  int64_t slack_ms;
  uint32_t chain_length;
  uint64_t jitter_seed;
} MuxAdmissionJob;

/**
 * struct MuxAdmissionStep - a step that waits and is worth something
 * @priority: of its queue
 * @service: hash of the pool that runs its tasks
 * @work: of its tasks, in core-milliseconds
 * @late: it can't be in time any more
 * @waited_ms: since its turn came
 * @slack_ms: from there to its latest start
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

/** mux_admission_work() - core-milliseconds of some tasks, at least one */
int64_t
mux_admission_work (uint32_t tasks, uint32_t cpu_milli, uint32_t estimate_ms);
/** mux_admission_reset() - forget what was measured, not what was told */
void mux_admission_reset (MuxAdmission *admission, int64_t now_ms);
/** mux_admission_find() - the queue's entry, made if needed; NULL: there are
 * too many */
MuxAdmissionQueue *mux_admission_find (MuxAdmission *admission, uint64_t queue);
/** mux_admission_placed() - a task of the queue was started, after @waited_ms
 */
void mux_admission_placed (MuxAdmission *admission,
                           uint64_t queue,
                           int64_t work,
                           int64_t waited_ms);
/** mux_admission_count_begin() - before each count of what waits */
void mux_admission_count_begin (MuxAdmission *admission);
/** mux_admission_waits() - such a step of the queue waits */
void mux_admission_add_waiting (MuxAdmission *admission,
                                uint64_t queue,
                                const MuxAdmissionStep *step);
/** mux_admission_holds() - a task of the queue runs */
void mux_admission_add_running (MuxAdmission *admission,
                                uint64_t queue,
                                int64_t milli);
/** mux_admission_count_end() - all that waits has been counted */
void mux_admission_count_end (MuxAdmission *admission, int64_t now_ms);
/**
 * mux_admission_judge() - how long new jobs of the queues of a pool wait
 * @pool_milli: its processors, in thousandths; 0: not known
 * @free_milli: those that nothing runs on
 */
void mux_admission_update_pool (MuxAdmission *admission,
                                uint64_t service,
                                int64_t pool_milli,
                                int64_t free_milli);
/** mux_admission_has_room() - what waits there does not wait for processors */
bool mux_admission_has_room (const MuxAdmissionQueue *queue);
/** mux_admission_taken() - a job was taken since the last count */
void
mux_admission_accepted (MuxAdmission *admission, uint64_t queue, int64_t work);
/** mux_admission_wait_ms() - of a new job of the queue */
int64_t mux_admission_wait_ms (const MuxAdmission *admission, uint64_t queue);
/** mux_admission_retry_ms() - when to come again; 0: the job is taken */
uint32_t mux_admission_retry_ms (const MuxAdmission *admission,
                                 const MuxAdmissionJob *job);

#endif
