#include "internal.h"

#include <math.h>

/* Standard normal quantiles for the shares that targets state. */
static double
normal_quantile (uint32_t ppm)
{
  if (ppm >= 999000)
    return 3.1;
  if (ppm >= 990000)
    return 2.4;
  return ppm >= 950000 ? 1.7 : 1.3;
}

/*
 * Tasks of the class that should be able to run at once.  Arrivals times run
 * time is their mean number and its square root their spread.  A task that
 * may wait takes the room of those that end in the meantime, so a long target
 * with short run times needs hardly more than the mean.
 */
static double
wanted_at_once (const MuxClass *class)
{
  double mean = mux_flow_rate (&class->arrivals) * class->run_mean_ms;
  double spread = normal_quantile (class->spec.start_share_ppm) * sqrt (mean);
  double turn = class->run_mean_ms > 0
                    ? class->spec.start_within_ms / class->run_mean_ms
                    : 0;
  double excess = spread - mean * turn;

  return mean + (excess > 0 ? excess : 0);
}

void
mux_reserve_update (MuxSched *sched)
{
  double sum[MUX_DIMS] = { 0 };

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *class = sched->class_at[i];
      double more;

      if (!class->configured || !class->urgent
          || class->spec.kind == MUX_KIND_LONG_RUNNING)
        continue;
      more = wanted_at_once (class) - class->booked;
      if (more <= 0)
        continue;
      for (uint32_t d = 0; d < MUX_DIMS; d++)
        sum[d] += more * mux_size_dim (class->size, d);
    }
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double most = (double) sched->total[d] * sched->cell.idle_ppm / 1e6;

      sched->reserve[d] = (uint64_t) (sum[d] < most ? sum[d] : most);
    }
}

bool
mux_reserve_leaves (const MuxSched *sched,
                    const MuxClass *class,
                    uint32_t n,
                    bool holder)
{
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t need = (uint64_t) n * mux_size_dim (class->size, d);
      /* What drains for the holder is no spare room for anybody else. */
      uint64_t kept = sched->reserve[d] + (holder ? 0 : sched->hold.free[d]);

      if (need > 0 && sched->free[d] < need + kept)
        return false;
    }
  return true;
}
