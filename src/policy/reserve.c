#include "internal.h"

#include <math.h>

/* Others than urgent may always hold this part of the cell, so that sustained
 * urgent overload does not starve them. */
#define FLOOR_PPM 50000u
/* The promise is aimed at with this much to spare, for errors of the
 * forecast. */
#define MISS_MARGIN 4.0
/* Part of the way down that the reserve_target goes at each tick. */
#define FALL 0.05
#define BETA_STEP 0.1
#define BETA_MAX 4.0

/**
 * struct Demand - urgent work forecast
 * @tasks: mean number running at once: arrivals times run time
 * @rate: arrivals per ms
 * @within_ms: the shortest wait promised
 * @miss: the smallest share that may miss it
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
 * Room above the mean so that only the share allowed waits longer than
 * promised: those who wait are served at the rate of the room above the mean,
 * so that the chance of a wait falls exponentially with its length.
 */
static double
swing (const Demand *demand)
{
  double spread = sqrt (demand->tasks);
  double turns = demand->within_ms * demand->rate / demand->tasks;
  double beta = BETA_STEP;

  while (beta < BETA_MAX
         && mux_wait_probability (beta) * exp (-beta * spread * turns)
                > demand->miss / MISS_MARGIN)
    beta += BETA_STEP;
  return beta * spread;
}

void
mux_reserve_update (MuxSched *sched)
{
  Demand demand = forecast_demand (sched);
  double idle = (double) sched->urgent_room_max * sched->cell.idle_ppm / 1e6;
  double more, want;

  if (demand.tasks <= 0)
    {
      sched->reserve_target = 0;
      return;
    }
  /* What is kept above the mean stands idle on average, so that the idle
   * target of the cell bounds it. */
  more = swing (&demand);
  want = demand.tasks + fmin (more, idle);
  /* Deferrable tasks come in at each dip and stay for long, so the reserve
   * rises at once and falls slowly. */
  sched->reserve_target = fmax (
      want, sched->reserve_target + (want - sched->reserve_target) * FALL);
}

static MuxSize
largest_urgent (const MuxSched *sched)
{
  MuxSize most = { 0 };

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *class = sched->class_at[i];
      MuxSize size = class->size;

      if (!class->configured || !class->urgent)
        continue;
      most.cpu_milli
          = size.cpu_milli > most.cpu_milli ? size.cpu_milli : most.cpu_milli;
      most.mem_mib = size.mem_mib > most.mem_mib ? size.mem_mib : most.mem_mib;
      most.slots = size.slots > most.slots ? size.slots : most.slots;
    }
  return most;
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

  /* What the holder is going to take is no spare room for anybody else, be
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
