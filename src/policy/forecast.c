#include "internal.h"

/* A flow this small is no measurement; the class's capacity is then used. */
#define RATE_MIN 1e-6
#define CAPACITY_FLOOR 0.1
#define RETRY_MIN_MS 100u
#define RETRY_MAX_MS 300000u

uint32_t
mux_jitter (MuxSched *sched, uint32_t ms)
{
  uint64_t quarter = ms / 4;

  sched->random ^= sched->random << 13;
  sched->random ^= sched->random >> 7;
  sched->random ^= sched->random << 17;
  return (uint32_t) (ms - quarter + sched->random % (2 * quarter + 1));
}

/* Who goes before a new task of @class, and how fast those leave. */
static void
queue_before (const MuxSched *sched,
              const MuxClass *class,
              double *tasks,
              double *rate)
{
  *tasks = 0;
  *rate = 0;
  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *other = sched->class_at[i];

      if (!other->configured)
        continue;
      if (other->urgent == class->urgent)
        *rate += mux_flow_rate (&other->starts);
      if (other->urgent == class->urgent || other->urgent)
        *tasks += other->waiting;
    }
}

uint32_t
mux_forecast_wait_ms (MuxSched *sched, const MuxClass *class)
{
  double tasks, rate, floor, wait;

  if (sched->index.shape[class->shape].fits.count > 0 && class->waiting == 0)
    return 0;
  queue_before (sched, class, &tasks, &rate);
  floor = class->run_mean_ms > 0
              ? CAPACITY_FLOOR * (double) class->fit_count / class->run_mean_ms
              : 0;
  rate = rate > floor ? rate : floor;
  if (rate < RATE_MIN)
    return 0;
  wait = tasks / rate;
  return wait < UINT32_MAX / 2 ? (uint32_t) wait : UINT32_MAX / 2;
}

uint32_t
mux_forecast_retry_ms (MuxSched *sched, const MuxClass *class)
{
  uint32_t wait
      = class->shape != MUX_NONE ? mux_forecast_wait_ms (sched, class) : 0;

  wait = wait < RETRY_MIN_MS ? RETRY_MIN_MS : wait;
  return mux_jitter (sched, wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS);
}
