#include "internal.h"

#include <math.h>

/* Tasks per ms below which the rate of ends is unknown and the forecast wait
 * is 0. */
#define RATE_MIN 1e-6
/* Lower bound of that rate, as part of the rate at full capacity. */
#define CAPACITY_FLOOR 0.1
#define RETRY_MIN_MS 100u
#define RETRY_MAX_MS 300000u

uint32_t
mux_jitter (MuxSched *sched, uint32_t ms)
{
  uint64_t quarter = ms / 4;

  sched->rng_state ^= sched->rng_state << 13;
  sched->rng_state ^= sched->rng_state >> 7;
  sched->rng_state ^= sched->rng_state << 17;
  return (uint32_t) (ms - quarter + sched->rng_state % (2 * quarter + 1));
}

/* Waiting tasks of @class in its late queue.  The queues count a gang once, so
 * their ratio is applied to the number of tasks. */
static double
late_tasks (const MuxClass *class)
{
  double late = class->queue[MUX_QUEUE_LATE].count;
  double all = late + class->queue[MUX_QUEUE_ON_TIME].count;

  return late > 0 ? class->waiting * late / all : 0;
}

/* Part of @other's on-time tasks whose deadline is before that of a new task
 * of @class, assuming that their deadlines are spread evenly. */
static double
share_before (const MuxClass *class, const MuxClass *other, int64_t now_ms)
{
  double mine = class->spec.start_within_ms;
  double last = other->spec.start_within_ms;
  const MuxHeapNode *first = mux_queue_head (other, MUX_QUEUE_ON_TIME);
  double head;

  if (other->urgent != class->urgent)
    return other->urgent ? 1 : 0;
  if (first == NULL || last <= mine)
    return 1;
  head = (double) (first->key - now_ms);
  return head >= mine ? 0 : (mine - head) / (last - head);
}

/* On-time tasks that go before a new one of @class. */
static double
tasks_before (const MuxSched *sched, const MuxClass *class, int64_t now_ms)
{
  double tasks = 0;

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *other = sched->class_at[i];

      if (other->configured && other->waiting > 0)
        tasks += (other->waiting - late_tasks (other))
                 * share_before (class, other, now_ms);
    }
  return tasks;
}

/*
 * Wait in ms of a new deferrable task behind @before on-time tasks, when tasks
 * end at @rate per ms.  Late tasks get MUX_LATE_SHARE of the starts.  If the
 * new task can't start on time, it will be late itself, behind all that are
 * late by then, and that share is all they get.
 */
static double
deferrable_wait (const MuxSched *sched,
                 const MuxClass *class,
                 double before,
                 double rate)
{
  double within = class->spec.start_within_ms;
  double late = 0;
  double timely_rate;

  for (uint32_t i = 0; i < sched->classes; i++)
    late += late_tasks (sched->class_at[i]);
  timely_rate = late > 0 ? rate * (1 - MUX_LATE_SHARE) : rate;
  if (before <= within * timely_rate || !mux_late_applies (sched, class))
    return before / timely_rate;
  late += before - within * timely_rate;
  return fmax (within, late / (rate * MUX_LATE_SHARE));
}

/*
 * Rate in tasks per ms at which running tasks like those of @class (urgent or
 * deferrable) end.  It is derived from what runs, not from recent starts:
 * starts are few when admission refuses most tasks, so a forecast based on
 * them would keep confirming itself.
 */
static double
ends_per_ms (const MuxSched *sched, const MuxClass *class)
{
  double floor
      = class->run_mean_ms > 0
            ? CAPACITY_FLOOR * (double) class->fit_count / class->run_mean_ms
            : 0;
  double rate = 0;

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *other = sched->class_at[i];

      if (other->urgent == class->urgent && other->run_mean_ms > 0)
        rate += other->booked / other->run_mean_ms;
    }
  return rate > floor ? rate : floor;
}

/* Estimate of the tasks of @class that fit now.  Without it, a job that submits
 * all its tasks at once to an idle cell would be refused as if it were full. */
static double
startable_now (const MuxSched *sched, const MuxClass *class)
{
  double kept = sched->reserve_target - sched->urgent_running;
  double tasks = UINT32_MAX;

  if (sched->index.shape[class->shape].fits.count == 0)
    return 0;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double size = mux_size_dim (class->size, d);

      if (size > 0 && (double) sched->free[d] / size < tasks)
        tasks = (double) sched->free[d] / size;
    }
  if (!class->urgent && kept > 0)
    tasks -= kept;
  return tasks > 0 ? tasks : 0;
}

uint32_t
mux_forecast_wait_ms (const MuxSched *sched,
                      const MuxClass *class,
                      int64_t now_ms)
{
  double now = startable_now (sched, class);
  double before = tasks_before (sched, class, now_ms) - now;
  double rate, wait;

  if (before < 0)
    return 0;
  rate = ends_per_ms (sched, class);
  if (class->run_mean_ms > 0)
    rate += now / class->run_mean_ms;
  if (rate < RATE_MIN)
    return 0;
  wait = class->urgent ? before / rate
                       : deferrable_wait (sched, class, before, rate);
  return wait < UINT32_MAX / 2 ? (uint32_t) wait : UINT32_MAX / 2;
}

uint32_t
mux_forecast_retry_ms (MuxSched *sched, const MuxClass *class, int64_t now_ms)
{
  uint32_t wait = class->shape != MUX_NONE
                      ? mux_forecast_wait_ms (sched, class, now_ms)
                      : 0;

  wait = wait < RETRY_MIN_MS ? RETRY_MIN_MS : wait;
  return mux_jitter (sched, wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS);
}
