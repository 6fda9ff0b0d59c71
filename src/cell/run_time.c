#include "cell/run_time.h"

#include <math.h>
#include <stddef.h>

/* Runs that the means are over, the latest ones most. */
#define MEMORY_RUNS 150
/* Fewer say too little. */
#define RUNS_LEAST 12
/* Variances are taken as at least this: no declaration is exact, and runs that
 * were alike so far need not stay so. */
#define VARIANCE_LEAST 0.0025
/* What is seen of a run has the time of its order and of its end's way in it:
 * expectations that differ by less than this, as a logarithm, are alike. */
#define ALIKE 0.15
/* Logarithms of milliseconds, either way. */
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
  MuxRunTime *made;

  for (uint32_t i = 0; i < times->count; i++)
    if (times->item[i].queue == queue)
      return &times->item[i];
  if (times->count == MUX_RUN_TIMES_MAX)
    return NULL;
  made = &times->item[times->count++];
  *made = (MuxRunTime){ .queue = queue };
  return made;
}

static void
add (double *mean, double *variance, double value, uint32_t count)
{
  double part = 1.0 / count;
  double off = value - *mean;

  *mean += off * part;
  *variance += (off * (value - *mean) - *variance) * part;
}

void
mux_run_time_record (MuxRunTimes *times,
                     uint64_t queue,
                     uint32_t declared_ms,
                     int64_t took_ms)
{
  MuxRunTime *time = mux_run_time_find (times, queue);
  double taken;

  if (time == NULL || took_ms <= 0 || declared_ms == 0)
    return;
  taken = log ((double) took_ms);
  if (time->count < MEMORY_RUNS)
    time->count++;
  add (&time->mean, &time->variance, taken, time->count);
  add (&time->error_mean, &time->error_variance, log (declared_ms) - taken,
       time->count);
}

static double
weight (double variance)
{
  return 1.0 / (variance > VARIANCE_LEAST ? variance : VARIANCE_LEAST);
}

uint32_t
mux_run_time_expect (const MuxRunTimes *times,
                     uint64_t queue,
                     uint32_t declared_ms)
{
  const MuxRunTime *time = find (times, queue);
  double usual;
  double declared;
  double expected;
  double ms;

  if (time == NULL || time->count < RUNS_LEAST || declared_ms == 0)
    return declared_ms;
  usual = weight (time->variance);
  declared = weight (time->error_variance);
  expected
      = (time->mean * usual + (log (declared_ms) - time->error_mean) * declared)
        / (usual + declared);
  if (fabs (expected - log (declared_ms)) < ALIKE)
    return declared_ms;
  ms = exp (expected);
  return ms < UINT32_MAX ? (uint32_t) ms : UINT32_MAX;
}

static bool
is_within (double value, double least)
{
  return value >= least && value <= LOG_MAX;
}

bool
mux_run_time_is_valid (const MuxRunTime *time)
{
  return time->count <= MEMORY_RUNS && is_within (time->mean, -LOG_MAX)
         && is_within (time->error_mean, -LOG_MAX)
         && is_within (time->variance, 0)
         && is_within (time->error_variance, 0);
}
