#ifndef POLICY_SCHED_H
#define POLICY_SCHED_H

#include "base/error.h"
#include "base/id.h"
#include "base/reason.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * The decisions of one owner over the workers it holds: admission, order,
 * placement, reserve, gangs, quotas, learning, breakers, targets at risk.
 * Pure: no I/O, no clock, no allocation on the placement path once warm.
 * Times are milliseconds on the caller's clock.
 */
typedef struct MuxSched MuxSched;

#define MUX_NO_WORKER UINT32_MAX

/**
 * struct MuxSchedOptions - construction
 * @seed: for jitter and probing
 * @queue_max: most tasks waiting in all
 * @tasks_hint: tasks expected at once, waiting and booked; sizes the tables
 */
typedef struct
{
  uint64_t seed;
  uint32_t queue_max;
  uint32_t tasks_hint;
} MuxSchedOptions;

MuxSched *mux_sched_new (const MuxSchedOptions *options);
void mux_sched_free (MuxSched *sched);

/* Configuration.  Setting again replaces; false: memory is out. */
bool mux_sched_class_set (MuxSched *sched, const MuxClassSpec *spec);
/** mux_sched_class_remove() - what waits is dropped as UNKNOWN_CLASS by the
 * next mux_sched_next(); what runs stays booked */
void mux_sched_class_remove (MuxSched *sched, const char *name);
bool mux_sched_product_set (MuxSched *sched, const MuxProductSpec *spec);
void mux_sched_product_remove (MuxSched *sched, const char *name);
void mux_sched_cell_set (MuxSched *sched, const MuxCellSpec *spec);
/** mux_sched_share_set() - share of the cell's capacity that this owner
 * holds, in millionths: its part of quotas is quota times share */
void mux_sched_share_set (MuxSched *sched, uint32_t share_ppm);

/* Workers, by a dense index that the scheduler hands out. */
/** mux_sched_worker_add() - MUX_NO_WORKER when memory is out */
uint32_t mux_sched_worker_add (MuxSched *sched,
                               const char *name,
                               const char *rack,
                               MuxSize capacity);
/** mux_sched_worker_resize() - what is booked stays booked */
void
mux_sched_worker_resize (MuxSched *sched, uint32_t worker, MuxSize capacity);
/** mux_sched_worker_usable() - false: no new work (leaving, not claimed) */
void
mux_sched_worker_set_usable (MuxSched *sched, uint32_t worker, bool usable);
/** mux_sched_worker_remove() - drops its bookings too; the index is reused */
void mux_sched_worker_remove (MuxSched *sched, uint32_t worker);

/**
 * struct MuxTaskAsk - a task that wants a place
 * @task: unique
 * @group: gang it is part of; none: alone
 * @group_count: tasks of that gang; they are placed once all have asked and
 *   all fit at once
 * @class_name: its class
 * @start_by_ms: its target for the start
 * @give_up_ms: after this it is dropped with MUX_REASON_DEADLINE
 * @avoid: worker not to use (it just failed there), or MUX_NO_WORKER
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
 * struct MuxVerdict - answer of the admission
 * @reason: MUX_REASON_NONE when it waits now; otherwise why not, among
 *   UNKNOWN_CLASS, NEVER_FITS, QUEUE_FULL, DEADLINE, QUOTA, OVERLOAD,
 *   NO_WORKERS, KEY_IN_USE (it waits or runs already), INTERNAL
 * @retry_ms: when to come back, from the forecast
 */
typedef struct
{
  MuxReason reason;
  uint32_t retry_ms;
} MuxAdmitResult;

MuxAdmitResult
mux_sched_submit (MuxSched *sched, const MuxTaskRequest *ask, int64_t now_ms);
/** mux_sched_cancel() - true when it waited and is dropped, without a word */
bool mux_sched_cancel (MuxSched *sched, MuxId task);

/**
 * struct MuxPlacement - one decision
 * @task: the task
 * @worker: where it is now booked; MUX_NO_WORKER: it is dropped
 * @size: what is booked
 * @reason: why dropped
 * @retry_ms: when to come back, if dropped
 */
typedef struct
{
  MuxId task;
  uint32_t worker;
  MuxSize size;
  MuxReason reason;
  uint32_t retry_ms;
} MuxPlacement;

/** mux_sched_next() - the next decision; false: none can be made now.  The
 * tasks of a gang come one after the other without a false between. */
bool mux_sched_next (MuxSched *sched, int64_t now_ms, MuxPlacement *out);
/** mux_sched_wake_ms() - when mux_sched_next() may have more without any
 * other event; INT64_MAX: never */
int64_t mux_sched_wake_ms (const MuxSched *sched);

/** mux_sched_adopt() - a task found on a worker: book it, whatever fits */
bool mux_sched_adopt (MuxSched *sched,
                      MuxId task,
                      const char *class_name,
                      uint32_t worker,
                      MuxSize size);

/**
 * enum MuxTaskEnd - how a booked task ended, for the learner and the breaker
 */
typedef enum
{
  MUX_END_OK,       /* ran well */
  MUX_END_FAILED,   /* the task itself failed on its worker */
  MUX_END_NO_START, /* certainly never started */
  MUX_END_LOST,     /* its worker was lost or restarted */
  MUX_END_STOPPED,  /* cancelled or stopped */
} MuxTaskEnd;

/** mux_sched_started() - it was seen running */
void mux_sched_started (MuxSched *sched, MuxId task, int64_t now_ms);
/** mux_sched_used() - usage report of a booked task that runs on: learned
 * from, and its booking grows to it when it uses more than was booked */
void mux_sched_report_usage (MuxSched *sched, MuxId task, MuxSize used);
/** mux_sched_ended() - unbook; false: it was not booked
 * @used: as reported; all 0 when not known */
bool mux_sched_ended (MuxSched *sched,
                      MuxId task,
                      MuxTaskEnd end,
                      uint32_t ran_ms,
                      MuxSize used,
                      int64_t now_ms);
/** mux_sched_booked_on() - worker of a booked task, or MUX_NO_WORKER */
uint32_t mux_sched_booked_on (const MuxSched *sched, MuxId task);

/**
 * struct MuxSchedStats - the books at a glance
 * @total: capacity of usable workers
 * @free: of which free
 * @room: of which on workers whose breaker is closed
 * @queued: tasks waiting
 * @booked: tasks booked
 * @oldest_ms: wait of the one waiting longest
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
/** mux_sched_worker_free() - what is free on one worker */
MuxSize mux_sched_worker_free (const MuxSched *sched, uint32_t worker);

/**
 * enum MuxRiskCause - what binds a target at risk
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
  MUX_RISK_STORE_DOWN, /* added by the core */
} MuxRiskCause;

const char *mux_risk_cause_name (MuxRiskCause cause);

/**
 * struct MuxRisk - one class's outlook
 * @class_name: the class
 * @target_ppm: share of starts promised inside target
 * @forecast_ppm: share forecast over the next minute
 * @at_risk: the forecast is below the target
 * @cause: what binds
 * @cure: capacity that would cure it, as far as can be told
 * @queued: tasks of it waiting
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

/** mux_sched_risk() - fill up to @cap entries, those at risk first
 * Return: entries filled. */
uint32_t
mux_sched_risk (MuxSched *sched, int64_t now_ms, MuxRisk *out, uint32_t cap);

#endif
