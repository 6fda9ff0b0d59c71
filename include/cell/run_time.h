#ifndef CELL_RUN_TIME_H
#define CELL_RUN_TIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long runs of a queue take, by those that were seen.
 *
 * Declared times may be off by any factor, alike or differently for each job.
 * What a run will take is expected between the queue's usual time and the
 * declared one, nearer to the one that was off less so far: both are compared
 * as logarithms, weighted by the inverse of their variances.
 */

/* Queues that are told apart. */
#define MUX_RUN_TIMES_MAX 64

/**
 * struct MuxRunTime - of one queue, in logarithms of milliseconds
 * @queue: hash of its name
 * @count: runs seen, up to the number that the means are over
 * @mean: of what runs took
 * @variance: of that
 * @off_mean: of what was declared over what was taken
 * @off_variance: of that
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
 * struct MuxRunTimes - of all queues; all zero: nothing was seen
 */
typedef struct
{
  uint32_t count;
  MuxRunTime item[MUX_RUN_TIMES_MAX];
} MuxRunTimes;

/** mux_run_time_find() - made where it is new; NULL: there are too many */
MuxRunTime *mux_run_time_find (MuxRunTimes *times, uint64_t queue);
/** mux_run_time_note() - a run for which @declared_ms was given took so long */
void mux_run_time_record (MuxRunTimes *times,
                          uint64_t queue,
                          uint32_t declared_ms,
                          int64_t took_ms);
/** mux_run_time_expect() - what a run will take; as declared until enough were
 * seen */
uint32_t mux_run_time_expect (const MuxRunTimes *times,
                              uint64_t queue,
                              uint32_t declared_ms);
/** mux_run_time_is_valid() - it may come from elsewhere */
bool mux_run_time_is_valid (const MuxRunTime *time);

#endif
