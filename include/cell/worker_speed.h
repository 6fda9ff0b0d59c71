#ifndef CELL_WORKER_SPEED_H
#define CELL_WORKER_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Estimates how fast workers run tasks, from the runs observed there.
 *
 * A speed is relative to the mean of the workers of a pool and is kept as its
 * natural logarithm, with a variance.  Neither the time that a step takes at
 * speed one nor the workers' speeds are known at first: the runs of one step on
 * several workers tell them apart, as the step's own factor is common to them.
 * The worker's own runs are left out where its step's time is estimated, so
 * that they do not confirm what was assumed of it.
 */

/* Runs of one step that are kept; the oldest make room for later ones. */
#define MUX_STEP_RUNS_MAX 48
/* Speeds are published within these bounds, in thousandths of the mean. */
#define MUX_SPEED_MILLI_MIN 100
#define MUX_SPEED_MILLI_MAX 5000

/**
 * struct MuxWorkerSpeed - estimate for one worker; all zero: not observed
 * @mean: of the logarithm of its speed
 * @variance: of the estimate of @mean
 * @runs: that it is based on, up to MUX_SPEED_RUNS_MAX
 * @faster: cumulative sum of residuals, to detect that the worker has become
 *   faster
 * @slower: likewise, slower
 */
typedef struct
{
  double mean;
  double variance;
  uint32_t runs;
  double faster;
  double slower;
} MuxWorkerSpeed;

#define MUX_SPEED_RUNS_MAX 250
/* Variance of a worker that was not observed, the largest there is. */
#define MUX_SPEED_VARIANCE_MAX 0.25

/**
 * struct MuxSpeedSample - one observation of a worker
 * @log: logarithm of expected time at speed one over the time taken
 * @variance: of that, for what is uncertain of both times
 * @runs: that it is the mean of
 */
typedef struct
{
  double log;
  double variance;
  uint32_t runs;
} MuxSpeedSample;

/**
 * enum MuxSpeedClass - coarse speed, for people
 */
typedef enum
{
  MUX_SPEED_USUAL,
  MUX_SPEED_SLOW,
  MUX_SPEED_FAST,
} MuxSpeedClass;

/**
 * struct MuxStepRun - a run of a step
 * @worker: number of its worker
 * @learned: the worker's speed was updated by it
 * @took_log: logarithm of its time in ms
 * @variance: of @took_log, for the delays of measurement alone
 */
typedef struct
{
  uint32_t worker;
  bool learned;
  double took_log;
  double variance;
} MuxStepRun;

/**
 * struct MuxStepRuns - the latest runs of one step
 * @count: used entries of @run
 * @unlearned: of these, not learned from yet
 */
typedef struct
{
  uint32_t count;
  uint32_t unlearned;
  MuxStepRun run[MUX_STEP_RUNS_MAX];
} MuxStepRuns;

/**
 * struct MuxStepTime - what is known of a step's time at speed one otherwise
 * @log: logarithm of the expected time in ms
 * @variance: of @log
 */
typedef struct
{
  double log;
  double variance;
} MuxStepTime;

/** mux_worker_speed_begin() - start the estimate of a worker from the mean of
 * its pool or kind, whose logarithm is @prior_log */
void mux_worker_speed_begin (MuxWorkerSpeed *speed, double prior_log);
/** mux_worker_speed_observe() - update the estimate by a sample */
void mux_worker_speed_observe (MuxWorkerSpeed *speed, MuxSpeedSample sample);
/** mux_worker_speed_age() - move the estimate of a worker without runs towards
 * the prior, so that a wrong one does not last for want of runs
 * @passed_ms: time since the last update */
void mux_worker_speed_age (MuxWorkerSpeed *speed,
                           double prior_log,
                           int64_t passed_ms);
/** mux_worker_speed_is_known() - whether it is exact enough to compare with
 * others */
bool mux_worker_speed_is_known (const MuxWorkerSpeed *speed);
/** mux_worker_speed_is_valid() - whether a stored estimate is in range */
bool mux_worker_speed_is_valid (const MuxWorkerSpeed *speed);
/** mux_worker_speed_to_milli() - the speed in thousandths of the mean
 * @previous: last published value, kept unless the new one differs noticeably;
 *   0: none */
uint32_t mux_worker_speed_to_milli (double log, uint32_t previous);
MuxSpeedClass mux_speed_class (uint32_t speed_milli, MuxSpeedClass previous);
const char *mux_speed_class_name (MuxSpeedClass speed_class);

/** mux_worker_speeds_differ() - whether some workers of a pool are
 * significantly faster than the others
 * @speed: those that are known
 * @scratch: space for @count numbers
 * @before: the previous result, for hysteresis */
bool mux_worker_speeds_differ (const MuxWorkerSpeed *speed,
                               uint32_t count,
                               double *scratch,
                               bool before);

/** mux_step_runs_add() - add a run, not learned from yet */
void mux_step_runs_add (MuxStepRuns *runs,
                        uint32_t worker,
                        double took_ms,
                        double uncertain_ms);
/** mux_step_runs_learn() - update the speeds of the workers that have runs in
 * @runs which were not learned from
 * @speed: by entry of @runs: the estimate of its worker; NULL: the worker is
 *   gone */
void mux_step_runs_learn (MuxStepRuns *runs,
                          MuxStepTime time,
                          MuxWorkerSpeed *const *speed);

#endif
