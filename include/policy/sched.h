#ifndef POLICY_SCHED_H
#define POLICY_SCHED_H

#include "base/error.h"
#include "base/id.h"
#include "base/reason.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Scheduler core of one owner, for the workers that it owns: admission
 * control, order, placement, reserve for urgent work, gangs, quotas, learning
 * of task sizes and run times, circuit breakers, targets at risk.
 * It does no I/O and reads no clock; placement allocates no memory once the
 * tables have grown to their working size.  Times are milliseconds on the
 * caller's clock.
 */
typedef struct MuxSched MuxSched;

#define MUX_NO_WORKER UINT32_MAX

/**
 * struct MuxSchedOptions - options of mux_sched_new()
 * @seed: of the random numbers for jitter
 * @queue_max: maximum number of waiting tasks, all classes together; 0: default
 * @tasks_hint: tasks expected at once, waiting and booked; initial size of the
 *   tables
 */
typedef struct
{
  uint64_t seed;
  uint32_t queue_max;
  uint32_t tasks_hint;
} MuxSchedOptions;

MuxSched *mux_sched_new (const MuxSchedOptions *options);
void mux_sched_free (MuxSched *sched);

/* Configuration.  Setting the same name again replaces it.  Functions that
 * return bool return false when out of memory. */
bool mux_sched_class_set (MuxSched *sched, const MuxClassSpec *spec);
/** mux_sched_class_remove() - removes a class: its waiting tasks are dropped
 * with MUX_REASON_UNKNOWN_CLASS by mux_sched_next(), its running ones stay
 * booked */
void mux_sched_class_remove (MuxSched *sched, const char *name);
bool mux_sched_product_set (MuxSched *sched, const MuxProductSpec *spec);
/** mux_sched_product_remove() - removes the quota of a product; its classes
 * stay */
void mux_sched_product_remove (MuxSched *sched, const char *name);
void mux_sched_cell_set (MuxSched *sched, const MuxCellSpec *spec);
/** mux_sched_share_set() - sets this owner's share of the cell's capacity, in
 * millionths; it applies that share of each quota */
void mux_sched_share_set (MuxSched *sched, uint32_t share_ppm);

/* Workers are referred to by a dense index that mux_sched_worker_add()
 * returns. */
/** mux_sched_worker_add() - adds a worker
 * Return: its index, or MUX_NO_WORKER when out of memory. */
uint32_t mux_sched_worker_add (MuxSched *sched,
                               const char *name,
                               const char *rack,
                               MuxSize capacity);
/** mux_sched_worker_resize() - changes the capacity; bookings stay */
void
mux_sched_worker_resize (MuxSched *sched, uint32_t worker, MuxSize capacity);
/** mux_sched_worker_set_usable() - false: it gets no new tasks, e.g. while it
 * is drained, unreachable or not held by this owner */
void
mux_sched_worker_set_usable (MuxSched *sched, uint32_t worker, bool usable);
/** mux_sched_worker_remove() - removes a worker and its bookings; the index may
 * be reused */
void mux_sched_worker_remove (MuxSched *sched, uint32_t worker);

/**
 * struct MuxTaskRequest - a task to be placed
 * @task: unique id
 * @group: id of its gang; none: not part of a gang
 * @group_count: number of tasks of that gang; they are placed once all have
 *   been submitted and all fit at the same time
 * @class_name: its class
 * @start_by_ms: deadline of the start
 * @expires_ms: if still waiting then, it is dropped with MUX_REASON_DEADLINE
 * @avoid: worker not to use, such as one where it just failed, or
 *   MUX_NO_WORKER
 */
typedef struct
{
  MuxId task;
  MuxId group;
  uint32_t group_count;
  const char *class_name;
  int64_t start_by_ms;
  int64_t expires_ms;
  uint32_t avoid;
} MuxTaskRequest;

/**
 * struct MuxAdmitResult - result of admission control
 * @reason: MUX_REASON_NONE when the task was queued; otherwise why it was
 *   refused: UNKNOWN_CLASS, NEVER_FITS, QUEUE_FULL, DEADLINE, QUOTA, OVERLOAD,
 *   NO_WORKERS, KEY_IN_USE (it waits or runs already), INTERNAL
 * @retry_ms: delay after which to retry, from the forecast wait
 */
typedef struct
{
  MuxReason reason;
  uint32_t retry_ms;
} MuxAdmitResult;

MuxAdmitResult mux_sched_submit (MuxSched *sched,
                                 const MuxTaskRequest *request,
                                 int64_t now_ms);
/** mux_sched_cancel() - removes a waiting task; mux_sched_next() does not
 * return it
 * Return: false: it is unknown or booked. */
bool mux_sched_cancel (MuxSched *sched, MuxId task);

/**
 * struct MuxPlacement - one decision
 * @task: the task
 * @worker: where it is now booked; MUX_NO_WORKER: it is dropped
 * @size: resources booked for it
 * @reason: why it was dropped
 * @retry_ms: if dropped, delay after which to retry
 */
typedef struct
{
  MuxId task;
  uint32_t worker;
  MuxSize size;
  MuxReason reason;
  uint32_t retry_ms;
} MuxPlacement;

/** mux_sched_next() - returns the next decision in @out.  The tasks of a gang
 * are returned by successive calls.
 * Return: false: nothing can be decided now. */
bool mux_sched_next (MuxSched *sched, int64_t now_ms, MuxPlacement *out);
/** mux_sched_wake_ms() - time at which mux_sched_next() is to be called even if
 * nothing else happens until then; INT64_MAX: never */
int64_t mux_sched_wake_ms (const MuxSched *sched);

/** mux_sched_adopt() - books a task that is found running on a worker, even
 * beyond the worker's capacity
 * Return: false: out of memory, or there is no such worker. */
bool mux_sched_adopt (MuxSched *sched,
                      MuxId task,
                      const char *class_name,
                      uint32_t worker,
                      MuxSize size);

/**
 * enum MuxTaskEnd - how a booked task ended, for learning and the breaker
 */
typedef enum
{
  MUX_END_OK,       /* succeeded */
  MUX_END_FAILED,   /* the task itself failed on its worker */
  MUX_END_NO_START, /* known not to have started */
  MUX_END_LOST,     /* its worker was lost or restarted */
  MUX_END_STOPPED,  /* cancelled or stopped */
} MuxTaskEnd;

/** mux_sched_started() - a booked task was reported running */
void mux_sched_started (MuxSched *sched, MuxId task, int64_t now_ms);
/** mux_sched_report_usage() - usage of a booked task that goes on running: the
 * class learns from it, and the booking grows if the task uses more than was
 * booked */
void mux_sched_report_usage (MuxSched *sched, MuxId task, MuxSize used);
/** mux_sched_ended() - removes the booking of a task that ended
 * @used: its usage as reported; all 0: not known
 * Return: false: it was not booked. */
bool mux_sched_ended (MuxSched *sched,
                      MuxId task,
                      MuxTaskEnd end,
                      uint32_t ran_ms,
                      MuxSize used,
                      int64_t now_ms);
/** mux_sched_booked_on() - returns the worker of a booked task, or
 * MUX_NO_WORKER */
uint32_t mux_sched_booked_on (const MuxSched *sched, MuxId task);

/**
 * struct MuxSchedStats - summary of capacity and load
 * @total: capacity of usable workers
 * @free: part of @total that is not booked
 * @available: part of @free on workers whose breaker is closed
 * @queued: waiting tasks
 * @booked: booked tasks
 * @oldest_wait_ms: time since the oldest waiting task was submitted
 */
typedef struct
{
  MuxSize total;
  MuxSize free;
  MuxSize available;
  uint32_t queued;
  uint32_t booked;
  uint32_t oldest_wait_ms;
} MuxSchedStats;

MuxSchedStats mux_sched_stats (const MuxSched *sched, int64_t now_ms);
/** mux_sched_worker_free() - returns what is not booked on one worker */
MuxSize mux_sched_worker_free (const MuxSched *sched, uint32_t worker);

/**
 * enum MuxRiskCause - the constraint that puts a target at risk
 */
typedef enum
{
  MUX_RISK_NONE,
  MUX_RISK_QUOTA,
  MUX_RISK_CPU,
  MUX_RISK_MEMORY,
  MUX_RISK_ACCELS,
  MUX_RISK_SLOTS,
  MUX_RISK_GANG,
  MUX_RISK_WORKERS_FAILING,
  MUX_RISK_STORE_DOWN, /* set by src/core, never by the scheduler */
} MuxRiskCause;

const char *mux_risk_cause_name (MuxRiskCause cause);

/**
 * struct MuxRisk - forecast of one class against its target
 * @class_name: the class
 * @target_ppm: promised share of starts within the target wait, in millionths
 * @forecast_ppm: that share as forecast for the next minute
 * @at_risk: the forecast is below the target
 * @cause: the binding constraint, if @at_risk
 * @shortfall: estimate of the capacity that would have to be added
 * @queued: waiting tasks of the class
 * @p99_wait_ms: 99th percentile of its recent waits
 */
typedef struct
{
  char class_name[MUX_NAME_LEN];
  uint32_t target_ppm;
  uint32_t forecast_ppm;
  bool at_risk;
  MuxRiskCause cause;
  MuxSize shortfall;
  uint32_t queued;
  uint32_t p99_wait_ms;
} MuxRisk;

/** mux_sched_risk() - fills up to @cap entries, those at risk first
 * Return: entries filled. */
uint32_t
mux_sched_risk (MuxSched *sched, int64_t now_ms, MuxRisk *out, uint32_t cap);

#endif
