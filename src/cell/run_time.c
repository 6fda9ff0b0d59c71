#include "cell/run_time.h"

#include <math.h>
#include <stddef.h>

/* Runs that the means cover; the latest ones have most weight. */
#define MEAN_RUNS 150
/* With fewer runs the declared time is used. */
#define RUNS_MIN 12
/* Lower bound of variances: no declared time is exact, and runs that took the
 * same time so far may still differ later. */
#define VARIANCE_MIN 0.0025
/* An observed time includes the delay of the order and of the report of the
 * end.  An expected time whose logarithm differs by less than this from that of
 * the declared one counts as equal to it. */
#define SAME_LOG_DIFF 0.15
/* Variance of the logarithm of a declared time while too few runs were
 * observed. */
#define DECLARED_VARIANCE 1.0
/* Bound of logarithms of milliseconds, positive and negative. */
#define LOG_MAX 30.0

static const MuxRunTime *
find (const MuxRunTimes *times, uint64_t queue)
{
  for (uint32_t i = 0; i < times->count; i++)
    if (times->item[i].queue == queue)
      return &times->item[i];
  return NULL;
}

MuxRunTime *
mux_run_time_find (MuxRunTimes *times, uint64_t queue)
{
  MuxRunTime *entry;

  for (uint32_t i = 0; i < times->count; i++)
    if (times->item[i].queue == queue)
      return &times->item[i];
  if (times->count == MUX_RUN_TIMES_MAX)
    return NULL;
  entry = &times->item[times->count++];
  *entry = (MuxRunTime){ .queue = queue };
  return entry;
}

static void
update_mean (double *mean, double *variance, double value, uint32_t count)
{
  double share = 1.0 / count;
  double diff = value - *mean;

  *mean += diff * share;
  *variance += (diff * (value - *mean) - *variance) * share;
}

void
mux_run_time_record (MuxRunTimes *times,
                     uint64_t queue,
                     uint32_t declared_ms,
                     int64_t took_ms)
{
  MuxRunTime *time = mux_run_time_find (times, queue);
  double took_log;

  if (time == NULL || took_ms <= 0 || declared_ms == 0)
    return;
  took_log = log ((double) took_ms);
  if (time->count < MEAN_RUNS)
    time->count++;
  update_mean (&time->mean, &time->variance, took_log, time->count);
  update_mean (&time->error_mean, &time->error_variance,
               log (declared_ms) - took_log, time->count);
}

static double
weight (double variance)
{
  return 1.0 / (variance > VARIANCE_MIN ? variance : VARIANCE_MIN);
}

static bool
has_enough_runs (const MuxRunTime *time)
{
  return time != NULL && time->count >= RUNS_MIN;
}

double
mux_run_time_estimate (const MuxRunTimes *times,
                       uint64_t queue,
                       uint32_t declared_ms,
                       double *log_ms)
{
  const MuxRunTime *time = find (times, queue);
  double declared_log = log (declared_ms > 0 ? declared_ms : 1);
  double usual;
  double declared;
  double all;
  double diff;

  *log_ms = declared_log;
  if (!has_enough_runs (time))
    return DECLARED_VARIANCE;
  usual = weight (time->variance);
  declared = weight (time->error_variance);
  all = usual + declared;
  diff = declared_log - time->error_mean - time->mean;
  *log_ms = (time->mean * usual + (declared_log - time->error_mean) * declared)
            / all;
  /* Where the two are far apart at least one is wrong: a queue whose jobs were
   * all alike so far has one of another size. */
  return 1 / all + diff * diff * usual * declared / (all * all);
}

void
mux_run_times_relearn (MuxRunTimes *times)
{
  for (uint32_t i = 0; i < times->count; i++)
    if (times->item[i].count > RUNS_MIN)
      times->item[i].count = RUNS_MIN;
}

uint32_t
mux_run_time_expect (const MuxRunTimes *times,
                     uint64_t queue,
                     uint32_t declared_ms)
{
  double expected;
  double ms;

  if (!has_enough_runs (find (times, queue)) || declared_ms == 0)
    return declared_ms;
  (void) mux_run_time_estimate (times, queue, declared_ms, &expected);
  if (fabs (expected - log (declared_ms)) < SAME_LOG_DIFF)
    return declared_ms;
  ms = exp (expected);
  return ms < UINT32_MAX ? (uint32_t) ms : UINT32_MAX;
}

static bool
is_within (double value, double min)
{
  return value >= min && value <= LOG_MAX;
}

bool
mux_run_time_is_valid (const MuxRunTime *time)
{
  return time->count <= MEAN_RUNS && is_within (time->mean, -LOG_MAX)
         && is_within (time->error_mean, -LOG_MAX)
         && is_within (time->variance, 0)
         && is_within (time->error_variance, 0);
}
