#ifndef CELL_RUN_TIME_H
#define CELL_RUN_TIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Estimates how long runs of a queue take, from the runs that were observed.
 *
 * Declared run times may be wrong by any factor, the same for all jobs or
 * different for each.  The expected time lies between the usual time of the
 * queue and the declared time, nearer to the one that had the smaller error so
 * far: both are averaged as logarithms, weighted by the inverse of their
 * variances.
 */

/* Most queues that are tracked. */
#define MUX_RUN_TIMES_MAX 64

/**
 * struct MuxRunTime - statistics of one queue, of logarithms of milliseconds
 * @queue: hash of its name
 * @count: runs observed, up to the number that the means cover
 * @mean: of the times that runs took
 * @variance: of these times
 * @error_mean: of the logarithm of declared time over time taken
 * @error_variance: of that logarithm
 */
typedef struct
{
  uint64_t queue;
  uint32_t count;
  double mean;
  double variance;
  double error_mean;
  double error_variance;
} MuxRunTime;

/**
 * struct MuxRunTimes - statistics of all queues; all zero: nothing was observed
 */
typedef struct
{
  uint32_t count;
  MuxRunTime item[MUX_RUN_TIMES_MAX];
} MuxRunTimes;

/** mux_run_time_find() - the queue's entry, created if it is new
 * Return: NULL if MUX_RUN_TIMES_MAX queues are tracked already. */
MuxRunTime *mux_run_time_find (MuxRunTimes *times, uint64_t queue);
/** mux_run_time_record() - record that a run with the declared time
 * @declared_ms took @took_ms */
void mux_run_time_record (MuxRunTimes *times,
                          uint64_t queue,
                          uint32_t declared_ms,
                          int64_t took_ms);
/** mux_run_time_expect() - expected time of a run; the declared one until
 * enough runs were observed */
uint32_t mux_run_time_expect (const MuxRunTimes *times,
                              uint64_t queue,
                              uint32_t declared_ms);
/** mux_run_time_estimate() - logarithm of the expected time of a run, and its
 * variance
 * @log_ms: set to it
 * Return: the variance. */
double mux_run_time_estimate (const MuxRunTimes *times,
                              uint64_t queue,
                              uint32_t declared_ms,
                              double *log_ms);
/** mux_run_times_relearn() - give what was observed so far the weight of a few
 * runs, after the speed that times refer to has changed */
void mux_run_times_relearn (MuxRunTimes *times);
/** mux_run_time_is_valid() - whether an entry received from another daemon is
 * in range */
bool mux_run_time_is_valid (const MuxRunTime *time);

#endif
