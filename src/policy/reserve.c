#include "internal.h"

#include <math.h>

/* Deferrable tasks may always hold this part of the cell, so that sustained
 * urgent overload does not starve them. */
#define FLOOR_PPM 50000u
/* Safety margin for forecast errors: the reserve is sized for a share of late
 * starts smaller than promised by this factor. */
#define MISS_MARGIN 4.0
/* Part of the difference by which reserve_target falls per tick. */
#define FALL_PER_TICK 0.05
/* Step and upper bound of the search for beta, in standard deviations. */
#define BETA_STEP 0.1
#define BETA_MAX 4.0

/**
 * struct Demand - forecast urgent work
 * @tasks: mean number of running tasks: arrival rate times mean run time
 * @rate: arrival rate per ms
 * @within_ms: shortest promised wait of the urgent classes
 * @miss: smallest share of starts that may exceed the promised wait
 */
typedef struct
{
  double tasks;
  double rate;
  double within_ms;
  double miss;
} Demand;

static Demand
forecast_demand (const MuxSched *sched)
{
  Demand demand = { .within_ms = 1e9, .miss = 1 };

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *class = sched->class_at[i];
      double rate = mux_rate_estimate (&class->arrivals);
      double miss = (1e6 - class->spec.start_share_ppm) / 1e6;

      if (!class->configured || !class->urgent || rate <= 0
          || class->spec.kind == MUX_KIND_LONG_RUNNING)
        continue;
      demand.tasks += rate * class->run_mean_ms;
      demand.rate += rate;
      demand.within_ms = fmin (demand.within_ms, class->spec.start_within_ms);
      demand.miss = fmin (demand.miss, miss);
    }
  return demand;
}

double
mux_wait_probability (double beta)
{
  double density = exp (-beta * beta / 2) / sqrt (2 * M_PI);
  double below = erfc (-beta / M_SQRT2) / 2;

  return 1 / (1 + beta * below / density);
}

/*
 * Headroom above the mean number of running tasks such that no more than the
 * allowed share of starts exceeds the promised wait.  The number running is
 * taken as Poisson, with standard deviation sqrt (tasks).  The queue drains at
 * the rate of the headroom, so the probability of a wait falls exponentially
 * with its length.
 */
static double
headroom (const Demand *demand)
{
  double deviation = sqrt (demand->tasks);
  double wait_in_runs = demand->within_ms * demand->rate / demand->tasks;
  double beta = BETA_STEP;

  while (beta < BETA_MAX
         && mux_wait_probability (beta) * exp (-beta * deviation * wait_in_runs)
                > demand->miss / MISS_MARGIN)
    beta += BETA_STEP;
  return beta * deviation;
}

void
mux_reserve_update (MuxSched *sched)
{
  Demand demand = forecast_demand (sched);
  double idle_max
      = (double) sched->urgent_room_max * sched->cell.idle_ppm / 1e6;
  double margin, target;

  if (demand.tasks <= 0)
    {
      sched->reserve_target = 0;
      return;
    }
  /* The headroom is idle on average, so the cell's target for idle capacity
   * bounds it. */
  margin = headroom (&demand);
  target = demand.tasks + fmin (margin, idle_max);
  /* Deferrable tasks fill each dip of the target and run long, so the target
   * rises at once and falls slowly. */
  sched->reserve_target
      = fmax (target, sched->reserve_target
                          + (target - sched->reserve_target) * FALL_PER_TICK);
}

static MuxSize
largest_urgent (const MuxSched *sched)
{
  MuxSize largest = { 0 };

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *class = sched->class_at[i];
      MuxSize size = class->size;

      if (!class->configured || !class->urgent)
        continue;
      largest.cpu_milli = size.cpu_milli > largest.cpu_milli
                              ? size.cpu_milli
                              : largest.cpu_milli;
      largest.mem_mib
          = size.mem_mib > largest.mem_mib ? size.mem_mib : largest.mem_mib;
      largest.slots = size.slots > largest.slots ? size.slots : largest.slots;
    }
  return largest;
}

void
mux_reserve_update_worker (MuxSched *sched, uint32_t w)
{
  MuxWorker *worker = &sched->worker[w];
  bool open = worker->level != MUX_NONE && sched->urgent_size.slots > 0;
  uint32_t now
      = open ? mux_size_fit_count (sched->urgent_size, worker->free) : 0;

  sched->urgent_room = sched->urgent_room - worker->urgent_room + now;
  worker->urgent_room = now;
}

void
mux_reserve_recompute (MuxSched *sched)
{
  sched->urgent_size = largest_urgent (sched);
  sched->urgent_room_max = 0;
  for (uint32_t w = 0; w < sched->workers; w++)
    {
      const MuxWorker *worker = &sched->worker[w];

      mux_reserve_update_worker (sched, w);
      if (worker->present && worker->usable && sched->urgent_size.slots > 0)
        sched->urgent_room_max
            += mux_size_fit_count (sched->urgent_size, worker->capacity);
    }
}

bool
mux_reserve_allows_loss (const MuxSched *sched, uint64_t loss, bool holder)
{
  double kept = fmax (0, sched->reserve_target - sched->urgent_running);

  /* Room that the holder is going to take is not spare for other tasks, be
   * it free now or lent to urgent tasks. */
  if (!holder)
    kept += (double) sched->reservation.urgent_room_taken;
  return sched->tuning.no_reserve || loss == 0
         || (double) sched->urgent_room >= kept + (double) loss;
}

bool
mux_reserve_allows (const MuxSched *sched,
                    const MuxClass *class,
                    uint32_t w,
                    bool holder)
{
  const MuxWorker *worker = &sched->worker[w];
  MuxSize then = mux_size_sub (worker->free, class->size);
  uint32_t room = sched->urgent_size.slots > 0
                      ? mux_size_fit_count (sched->urgent_size, then)
                      : 0;

  return mux_reserve_allows_loss (sched, worker->urgent_room - room, holder);
}

bool
mux_reserve_below_floor (const MuxSched *sched,
                         const MuxClass *class,
                         uint32_t n)
{
  if (sched->deferrable_booked[MUX_DIM_SLOTS] == 0)
    return true;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t need = (uint64_t) n * mux_size_dim (class->size, d);
      uint64_t floor = sched->total[d] / 1000000 * FLOOR_PPM
                       + sched->total[d] % 1000000 * FLOOR_PPM / 1000000;

      if (sched->deferrable_booked[d] + need > floor)
        return false;
    }
  return true;
}
