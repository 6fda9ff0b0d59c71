#include "internal.h"

#include <math.h>

/* Time constants of MuxRate.fast and MuxRate.slow. */
#define FAST_MS 3000.0
#define SLOW_MS 30000.0
/* The declared run time, as prior, counts as this many observations. */
#define PRIOR_WEIGHT 8u
/* Reports needed before a size is learned from them. */
#define SIZE_REPORTS_MIN 20u
/* The learned size is this quantile of the reported usage. */
#define SIZE_QUANTILE_PPM 990000u
/* Bound of the learned size, as a multiple of the declared one: larger reports
 * are more likely errors of the worker's accounting. */
#define SIZE_FACTOR_MAX 8u
/* The mean run time is taken over about this many ms of arrivals, within
 * bounds in observations. */
#define MEAN_OVER_MS 10000.0
#define MEAN_WEIGHT_MIN 64.0
#define MEAN_WEIGHT_MAX 4096.0

void
mux_rate_update (MuxRate *rate, double dt_ms)
{
  double current = rate->count / dt_ms;

  rate->count = 0;
  rate->fast += (current - rate->fast) * (1 - exp (-dt_ms / FAST_MS));
  rate->slow += (current - rate->slow) * (1 - exp (-dt_ms / SLOW_MS));
}

double
mux_rate_estimate (const MuxRate *rate)
{
  return rate->fast > rate->slow ? rate->fast : rate->slow;
}

void
mux_learn_reset (MuxClass *class)
{
  class->run_hist = (MuxHist){ 0 };
  class->cpu_hist = (MuxHist){ 0 };
  class->mem_hist = (MuxHist){ 0 };
  class->run_mean_ms = class->spec.run_ms;
  if (class->spec.run_ms > 0)
    mux_hist_add (&class->run_hist, class->spec.run_ms, PRIOR_WEIGHT);
}

void
mux_learn_usage (MuxClass *class, MuxSize used)
{
  if (used.cpu_milli > 0)
    mux_hist_add (&class->cpu_hist, used.cpu_milli, 1);
  if (used.mem_mib > 0)
    mux_hist_add (&class->mem_hist, used.mem_mib, 1);
  class->reports++;
}

void
mux_learn_end (MuxClass *class, uint32_t ran_ms, MuxSize used)
{
  double weight;

  if (ran_ms > 0)
    {
      mux_hist_add (&class->run_hist, ran_ms, 1);
      weight = fmax (MEAN_WEIGHT_MIN, class->arrivals.slow * MEAN_OVER_MS);
      weight = fmin (weight, MEAN_WEIGHT_MAX);
      weight = fmin (weight, class->run_hist.count);
      class->run_mean_ms += (ran_ms - class->run_mean_ms) / weight;
    }
  mux_learn_usage (class, used);
}

static uint32_t
learned_size (const MuxHist *hist,
              uint32_t declared,
              uint32_t largest,
              bool below)
{
  uint32_t observed = mux_hist_quantile (hist, SIZE_QUANTILE_PPM);
  uint64_t bound = (uint64_t) declared * SIZE_FACTOR_MAX;

  if (hist->count < SIZE_REPORTS_MIN || (observed <= declared && !below))
    return declared;
  if (declared > 0 && observed > bound)
    observed = (uint32_t) bound;
  /* A learned size must still fit into the largest worker. */
  return observed > largest && largest >= declared ? largest : observed;
}

MuxSize
mux_learn_size (const MuxSched *sched, const MuxClass *class)
{
  MuxSize size = class->spec.size;
  MuxSize largest = { 0 };
  bool below = sched->tuning.below_declared;

  if (sched->tuning.no_learning)
    return class->size;

  size.slots = size.slots == 0 ? 1 : size.slots;
  for (uint32_t w = 0; w < sched->workers; w++)
    {
      const MuxWorker *worker = &sched->worker[w];

      if (!worker->present || !mux_fits (size, worker->capacity))
        continue;
      if (worker->capacity.cpu_milli + (uint64_t) worker->capacity.mem_mib
          > (uint64_t) largest.cpu_milli + largest.mem_mib)
        largest = worker->capacity;
    }
  size.cpu_milli = learned_size (&class->cpu_hist, size.cpu_milli,
                                 largest.cpu_milli, below);
  size.mem_mib
      = learned_size (&class->mem_hist, size.mem_mib, largest.mem_mib, below);
  return size;
}

uint32_t
mux_learn_run_quantile_ms (const MuxClass *class, uint32_t ppm)
{
  if (class->run_hist.count == 0 || class->spec.kind == MUX_KIND_LONG_RUNNING)
    return UINT32_MAX;
  return mux_hist_quantile (&class->run_hist, ppm);
}
