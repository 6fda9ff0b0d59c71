#include "cell/worker_speed.h"

#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Variance of the speed of a worker that was not observed: a standard deviation
 * of 0.5 covers two classes with a ratio of 2.4. */
#define PRIOR_VARIANCE MUX_SPEED_VARIANCE_MAX
/* Growth of the variance with each run: with a variance of 0.08 of one
 * observation, half of the weight is on the last 20 runs. */
#define RUN_VARIANCE 1e-4
/* A residual counts as at most so many standard deviations: 3% of runs take 7
 * times as long as expected. */
#define RESIDUAL_MAX 2.0
/* A change is detected by the sums of the residuals, in standard deviations:
 * each counts as at most RESIDUAL_SUM_MAX, less RESIDUAL_DRIFT, so that
 * residuals around 0 add up to nothing.  At RESIDUAL_SUM the speed has changed:
 * four runs of three times the expected time, or four stragglers almost in a
 * row, which is rare. */
#define RESIDUAL_SUM_MAX 2.5
#define RESIDUAL_DRIFT 1.0
#define RESIDUAL_SUM 5.0
/* Variance of the estimate then.  Its runs are counted anew, so that it is
 * compared with others only once the change has proved to last. */
#define CHANGED_VARIANCE 0.2
/* Variance of the logarithm of run times inside a step. */
#define TASK_VARIANCE 0.09
/* Run times inside a step farther from their median count as this far. */
#define TASK_LOG_DIFF_MAX 0.9
/* With fewer runs the expected time of a step is used instead of the median. */
#define MEDIAN_RUNS_MIN 3
/* Known enough to be compared: standard deviation, and runs. */
#define KNOWN_VARIANCE_MAX 0.03
#define KNOWN_RUNS_MIN 12
/* Time in which an idle worker's estimate moves to the prior, to 1/e. */
#define AGE_MS 600000.0
/* Growth of the variance of an idle worker, by ms. */
#define AGE_VARIANCE 1e-7
/* Ratio of speeds from which on a pool's workers differ, and below which they
 * no longer do. */
#define RATIO_MIN 1.3
#define RATIO_KEEP 1.2
/* The same for a group of less than FEW workers, or FEW_PERCENT of them: of 350
 * uniform ones some have three stragglers among their first dozen runs. */
#define RATIO_FEW 1.6
#define FEW 4
#define FEW_PERCENT 10
/* A speed is certain but for so many standard deviations.  The lowest of 350
 * estimates of equal speeds is 3 below them, the mean of the lowest tenth 1.8.
 */
#define CERTAIN_DEVIATIONS 1.5
#define CERTAIN_DEVIATIONS_FEW 3.0
#define SPEEDS_MIN 4
/* A published speed changes if the new one differs by this much. */
#define PUBLISHED_DIFF_PERCENT 5
#define PERCENT 100
#define MILLI 1000.0
/* Bounds of the classes, and the hysteresis. */
#define SLOW_MILLI 850
#define FAST_MILLI 1150
#define CLASS_MARGIN_MILLI 30
/* Bound of a stored logarithm. */
#define LOG_MAX 5.0

void
mux_worker_speed_begin (MuxWorkerSpeed *speed, double prior_log)
{
  *speed = (MuxWorkerSpeed){ .mean = prior_log, .variance = PRIOR_VARIANCE };
}

static double
clamp (double value, double max)
{
  return fmax (-max, fmin (max, value));
}

static double
add_residual (double sum, double residual)
{
  return fmax (0, sum + clamp (residual, RESIDUAL_SUM_MAX) - RESIDUAL_DRIFT);
}

static void
detect_change (MuxWorkerSpeed *speed, double residual)
{
  speed->faster = add_residual (speed->faster, residual);
  speed->slower = add_residual (speed->slower, -residual);
  if (speed->faster < RESIDUAL_SUM && speed->slower < RESIDUAL_SUM)
    return;
  speed->variance = CHANGED_VARIANCE;
  speed->runs = 0;
  speed->faster = 0;
  speed->slower = 0;
}

void
mux_worker_speed_observe (MuxWorkerSpeed *speed, MuxSpeedSample sample)
{
  double residual = sample.log - speed->mean;
  double range;
  double gain;

  speed->variance
      = fmin (speed->variance + RUN_VARIANCE * sample.runs, PRIOR_VARIANCE);
  detect_change (speed, residual / sqrt (speed->variance + sample.variance));
  range = RESIDUAL_MAX * sqrt (speed->variance + sample.variance);
  gain = speed->variance / (speed->variance + sample.variance);
  speed->mean = clamp (speed->mean + gain * clamp (residual, range), LOG_MAX);
  speed->variance *= 1 - gain;
  speed->runs += sample.runs;
  if (speed->runs > MUX_SPEED_RUNS_MAX)
    speed->runs = MUX_SPEED_RUNS_MAX;
}

void
mux_worker_speed_age (MuxWorkerSpeed *speed,
                      double prior_log,
                      int64_t passed_ms)
{
  speed->mean += (prior_log - speed->mean) * -expm1 (-passed_ms / AGE_MS);
  speed->variance
      = fmin (speed->variance + AGE_VARIANCE * passed_ms, PRIOR_VARIANCE);
}

bool
mux_worker_speed_is_known (const MuxWorkerSpeed *speed)
{
  return speed->runs >= KNOWN_RUNS_MIN && speed->variance <= KNOWN_VARIANCE_MAX;
}

bool
mux_worker_speed_is_valid (const MuxWorkerSpeed *speed)
{
  return fabs (speed->mean) <= LOG_MAX && speed->variance > 0
         && speed->variance <= PRIOR_VARIANCE && speed->runs > 0
         && speed->runs <= MUX_SPEED_RUNS_MAX;
}

uint32_t
mux_worker_speed_to_milli (double log, uint32_t previous)
{
  double milli = MILLI * exp (log);
  double diff = fabs (milli - previous);

  milli = fmax (MUX_SPEED_MILLI_MIN, fmin (MUX_SPEED_MILLI_MAX, milli));
  if (previous != 0 && diff * PERCENT < previous * PUBLISHED_DIFF_PERCENT)
    return previous;
  return (uint32_t) lround (milli);
}

MuxSpeedClass
mux_speed_class (uint32_t speed_milli, MuxSpeedClass previous)
{
  uint32_t slow = SLOW_MILLI;
  uint32_t fast = FAST_MILLI;

  if (previous == MUX_SPEED_SLOW)
    slow += CLASS_MARGIN_MILLI;
  if (previous == MUX_SPEED_FAST)
    fast -= CLASS_MARGIN_MILLI;
  if (speed_milli < slow)
    return MUX_SPEED_SLOW;
  return speed_milli > fast ? MUX_SPEED_FAST : MUX_SPEED_USUAL;
}

const char *
mux_speed_class_name (MuxSpeedClass speed_class)
{
  static const char *const name[] = { [MUX_SPEED_USUAL] = "usual",
                                      [MUX_SPEED_SLOW] = "slow",
                                      [MUX_SPEED_FAST] = "fast" };

  return name[speed_class];
}

/* Return: logarithm of the speed, moved towards the mean of all by so many
 * standard deviations. */
static double
certain_log (const MuxWorkerSpeed *speed, double deviations)
{
  return speed->mean - clamp (speed->mean, deviations * sqrt (speed->variance));
}

static int
compare (const void *x, const void *y)
{
  double a = *(const double *) x;
  double b = *(const double *) y;

  return (a > b) - (a < b);
}

static bool
is_few (uint32_t group, uint32_t count)
{
  uint32_t smaller = group * 2 < count ? group : count - group;

  return smaller < FEW || smaller * PERCENT < count * FEW_PERCENT;
}

/* Return: the largest ratio, as a logarithm, between the mean speeds of the
 * fastest workers and the others, where the smaller of these groups is @few. */
static double
largest_ratio (const double *sorted, uint32_t count, bool few)
{
  double largest = 0;
  double sum = 0;
  double below = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += sorted[i];
  for (uint32_t i = 1; i < count; i++)
    {
      below += sorted[i - 1];
      if (is_few (i, count) == few)
        largest = fmax (largest, (sum - below) / (count - i) - below / i);
    }
  return largest;
}

bool
mux_worker_speeds_differ (const MuxWorkerSpeed *speed,
                          uint32_t count,
                          double *scratch,
                          bool before)
{
  if (count < SPEEDS_MIN)
    return false;
  for (int few = 0; few <= 1; few++)
    {
      double ratio = few ? RATIO_FEW : RATIO_MIN;

      for (uint32_t i = 0; i < count; i++)
        scratch[i] = certain_log (&speed[i], few ? CERTAIN_DEVIATIONS_FEW
                                                 : CERTAIN_DEVIATIONS);
      qsort (scratch, count, sizeof *scratch, compare);
      if (largest_ratio (scratch, count, few)
          >= log (before ? RATIO_KEEP : ratio))
        return true;
    }
  return false;
}

void
mux_step_runs_add (MuxStepRuns *runs,
                   uint32_t worker,
                   double took_ms,
                   double uncertain_ms)
{
  double relative = uncertain_ms / took_ms;

  if (runs->count == MUX_STEP_RUNS_MAX)
    {
      runs->unlearned -= !runs->run[0].learned;
      runs->count--;
      memmove (&runs->run[0], &runs->run[1], runs->count * sizeof runs->run[0]);
    }
  runs->run[runs->count++] = (MuxStepRun){ .worker = worker,
                                           .took_log = log (took_ms),
                                           .variance = relative * relative };
  runs->unlearned++;
}

/* Times of the runs at speed one, without stragglers. */
typedef struct
{
  double log[MUX_STEP_RUNS_MAX];
  double variance[MUX_STEP_RUNS_MAX];
} StepTimes;

static double
median (const double *value, uint32_t count)
{
  double sorted[MUX_STEP_RUNS_MAX] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t j = i;

      for (; j > 0 && sorted[j - 1] > value[i]; j--)
        sorted[j] = sorted[j - 1];
      sorted[j] = value[i];
    }
  return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
}

static void
fill_times (StepTimes *times,
            const MuxStepRuns *runs,
            MuxStepTime time,
            MuxWorkerSpeed *const *speed)
{
  double center = time.log;
  double max = TASK_LOG_DIFF_MAX + sqrt (time.variance);

  for (uint32_t i = 0; i < runs->count; i++)
    {
      const MuxStepRun *run = &runs->run[i];

      times->log[i] = run->took_log + (speed[i] != NULL ? speed[i]->mean : 0);
      times->variance[i]
          = TASK_VARIANCE + run->variance
            + (speed[i] != NULL ? speed[i]->variance : PRIOR_VARIANCE);
    }
  if (runs->count >= MEDIAN_RUNS_MIN)
    {
      center = median (times->log, runs->count);
      max = TASK_LOG_DIFF_MAX;
    }
  for (uint32_t i = 0; i < runs->count; i++)
    times->log[i] = center + clamp (times->log[i] - center, max);
}

/* Return: time of the step at speed one, by its runs on other workers. */
static MuxStepTime
time_without (const StepTimes *times,
              const MuxStepRuns *runs,
              MuxStepTime time,
              uint32_t worker)
{
  double weight = 1 / time.variance;
  double sum = time.log * weight;

  for (uint32_t i = 0; i < runs->count; i++)
    if (runs->run[i].worker != worker)
      {
        weight += 1 / times->variance[i];
        sum += times->log[i] / times->variance[i];
      }
  return (MuxStepTime){ sum / weight, 1 / weight };
}

/* Combines the worker's runs from @first on into one sample, as what is wrong
 * with the step's time is wrong with all of them. */
static void
learn_worker (MuxStepRuns *runs,
              uint32_t first,
              MuxStepTime time,
              MuxWorkerSpeed *speed)
{
  MuxSpeedSample sample = { 0 };
  double variance = 0;

  for (uint32_t i = first; i < runs->count; i++)
    {
      MuxStepRun *run = &runs->run[i];
      double range;
      double residual;

      if (run->learned || run->worker != runs->run[first].worker)
        continue;
      run->learned = true;
      range = RESIDUAL_MAX
              * sqrt (PRIOR_VARIANCE + TASK_VARIANCE + time.variance);
      residual = time.log - run->took_log - speed->mean;
      sample.log += clamp (residual, range);
      variance += TASK_VARIANCE + run->variance;
      sample.runs++;
    }
  sample.log = speed->mean + sample.log / sample.runs;
  sample.variance = variance / sample.runs / sample.runs + time.variance;
  mux_worker_speed_observe (speed, sample);
}

void
mux_step_runs_learn (MuxStepRuns *runs,
                     MuxStepTime time,
                     MuxWorkerSpeed *const *speed)
{
  StepTimes times;

  fill_times (&times, runs, time, speed);
  for (uint32_t i = 0; i < runs->count; i++)
    if (!runs->run[i].learned && speed[i] != NULL)
      learn_worker (runs, i,
                    time_without (&times, runs, time, runs->run[i].worker),
                    speed[i]);
    else
      runs->run[i].learned = true;
  runs->unlearned = 0;
}
